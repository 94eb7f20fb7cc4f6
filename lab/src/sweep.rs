//! Runs many cases one after the other and prints a table with the command of each.

use std::fmt;
use std::path;
use std::time;

use crate::fault;
use crate::profile;
use crate::report;
use crate::run;

/// Duration in seconds of a usual run.
const RUN_SECONDS: u64 = 8;

/// Duration in seconds of a run in which a promotion waits for a lease of ten seconds.
const LEASE_EXPIRY_RUN_SECONDS: u64 = 20;

/// Start and duration of each fault in seconds, as on the command line.
const FAULT_SCHEDULE: &str = "@2+3";

/// Numbers of proxies of the two profiles' systems.
const SMALL_PROXIES: usize = 3;
const LARGE_PROXIES: usize = 8;

/// Replication delays at which the policies of confirmation are compared.
const COMPARED_LAGS_MS: [u64; 3] = [1, 20, 200];

/// Replication delay of a usual run.
const DEFAULT_LAG_MS: u64 = 2;

/// One run of the sweep, with the arguments of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// Name of the profile.
    pub profile: &'static str,
    /// Number of proxies to start.
    pub proxies: usize,
    /// Seconds during which the callers send requests.
    pub seconds: u64,
    /// Seed of the run.
    pub seed: u64,
    /// Fault in the syntax of the command line, if any.
    pub fault: Option<String>,
    /// Name of the policy.
    pub policy: &'static str,
    /// Replication delay in milliseconds.
    pub lag_ms: u64,
}

impl Case {
    fn new(profile: &'static str, proxies: usize, seed: u64) -> Self {
        Self {
            profile,
            proxies,
            seconds: RUN_SECONDS,
            seed,
            fault: None,
            policy: "default",
            lag_ms: DEFAULT_LAG_MS,
        }
    }

    fn with_fault(self, fault: fault::Kind) -> Self {
        Self {
            fault: Some(format!("{fault}{FAULT_SCHEDULE}")),
            ..self
        }
    }

    fn with_policy(self, policy: &'static str) -> Self {
        Self { policy, ..self }
    }

    fn run(&self, program: &path::Path) -> eyre::Result<report::Report> {
        let faults = self.fault.iter().map(|text| text.parse());
        let profile = profile::Profile {
            lag: time::Duration::from_millis(self.lag_ms),
            ..self.profile.parse()?
        };
        let run = run::Run {
            program: program.to_owned(),
            profile,
            proxies: self.proxies,
            duration: time::Duration::from_secs(self.seconds),
            seed: self.seed,
            faults: faults.collect::<Result<_, _>>()?,
            policy: self.policy.parse()?,
        };
        run.execute()
    }

    /// Whether this case is another policy's counterpart of `base` under the default policy:
    /// all but the policy and the duration of the run are the same.
    fn compares_with(&self, base: &Self) -> bool {
        let expected = Self {
            policy: self.policy,
            seconds: self.seconds,
            ..base.clone()
        };
        *self == expected && self.policy != base.policy && base.policy == "default"
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "run --profile {} --proxies {} --seconds {} --seed {} --policy {} --lag {}ms",
            self.profile, self.proxies, self.seconds, self.seed, self.policy, self.lag_ms
        )?;
        self.fault
            .iter()
            .try_for_each(|fault| write!(f, " --fault {fault}"))
    }
}

/// All cases: each policy, replication delays, then each fault with each profile.
///
/// ```
/// use mangotray_lab::sweep;
/// let cases = sweep::cases(3);
/// let drain = cases.iter().filter(|case| case.to_string().contains("proxy-drain"));
/// assert_eq!(drain.count(), 2);
/// ```
#[must_use]
pub fn cases(seed: u64) -> Vec<Case> {
    let small = Case::new("tarapath", SMALL_PROXIES, seed);
    let large = Case::new("hoasen", LARGE_PROXIES, seed);
    let mut cases = Vec::new();
    for policy in ["default", "primary-only", "token-only"] {
        cases.push(small.clone().with_policy(policy));
        cases.push(large.clone().with_policy(policy));
    }
    for lag_ms in COMPARED_LAGS_MS {
        for policy in ["default", "unsafe-ack"] {
            let lagging = Case {
                lag_ms,
                ..small.clone()
            };
            cases.push(lagging.with_policy(policy));
        }
    }
    for kind in [fault::Kind::PrimaryCrash, fault::Kind::PrimaryPartition] {
        let slow = small.clone().with_fault(kind).with_policy("lease-expiry");
        cases.push(Case {
            seconds: LEASE_EXPIRY_RUN_SECONDS,
            ..slow
        });
    }
    cases.push(Case {
        lag_ms: COMPARED_LAGS_MS[2],
        ..small
            .clone()
            .with_fault(fault::Kind::PrimaryCrash)
            .with_policy("unsafe-ack")
    });
    for (_, kind) in fault::KINDS {
        cases.push(small.clone().with_fault(kind));
        cases.push(large.clone().with_fault(kind));
    }
    cases
}

/// Runs the cases whose command contains `only` and prints a table row after each. Then
/// prints the ratio of each other policy to the default policy. Returns the number of runs
/// that failed or violated a guarantee; violations under the policy `unsafe-ack`, which is
/// unsafe on purpose, are not counted.
#[must_use]
pub fn execute(program: &path::Path, seed: u64, only: &str) -> usize {
    let mut finished = Vec::new();
    let mut failures = 0;
    println!("{TABLE_HEADER}");
    let chosen = cases(seed).into_iter();
    for case in chosen.filter(|case| case.to_string().contains(only)) {
        match case.run(program) {
            Ok(report) => {
                println!("| `{case}` | {} |", table_cells(&report));
                let unsafe_by_intent = case.policy == "unsafe-ack";
                failures += usize::from(report.is_violated() && !unsafe_by_intent);
                finished.push((case, report));
            }
            Err(error) => {
                println!("| `{case}` | failed: {error} |");
                failures += 1;
            }
        }
    }
    println!("\n{RATIO_HEADER}");
    for (base, other) in compared_pairs(&finished) {
        println!("{}", ratio_row(base, other));
    }
    failures
}

const TABLE_HEADER: &str = "| Command | Replica share | Gap ms | Write p50 ms | Write p99 ms | \
    Read p50 ms | Read p99 ms | Confirmed | Lost | Doubled | Stale | Mixed | Foreign | \
    Not run but ran | Late | Settled |\n\
    |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

const RATIO_HEADER: &str = "| Baseline, over the same run under default | Replica share | Gap | \
    Write p50 | Write p99 |\n|---|---|---|---|---|";

type Finished = (Case, report::Report);

fn compared_pairs(finished: &[Finished]) -> impl Iterator<Item = (&Finished, &Finished)> {
    finished.iter().flat_map(|base| {
        let others = finished.iter();
        others
            .filter(|other| other.0.compares_with(&base.0))
            .map(move |other| (base, other))
    })
}

fn table_cells(report: &report::Report) -> String {
    let gap = report.failover_gap_ms;
    let cells = [
        report.replica_read_share.to_string(),
        gap.map_or("none".to_owned(), |gap| gap.to_string()),
        report.write_p50_ms.to_string(),
        report.write_p99_ms.to_string(),
        report.p50_ms.to_string(),
        report.p99_ms.to_string(),
        report.confirmed.to_string(),
        report.lost.to_string(),
        report.doubled.to_string(),
        report.stale.to_string(),
        report.mixed.to_string(),
        report.foreign.to_string(),
        report.not_run_but_ran.to_string(),
        report.late.to_string(),
        report.settled.to_string(),
    ];
    cells.join(" | ")
}

fn ratio_row((_, base): &Finished, (case, other): &Finished) -> String {
    let gaps = base.failover_gap_ms.zip(other.failover_gap_ms);
    let cells = [
        quotient(other.replica_read_share, base.replica_read_share),
        gaps.map_or("none".to_owned(), |(base, other)| quotient(other, base)),
        quotient(other.write_p50_ms, base.write_p50_ms),
        quotient(other.write_p99_ms, base.write_p99_ms),
    ];
    format!("| `{case}` | {} |", cells.join(" | "))
}

fn quotient(other: f64, base: f64) -> String {
    if base > 0.0 {
        format!("{:.2}", other / base)
    } else {
        "none".to_owned()
    }
}

#[cfg(test)]
mod tests;
