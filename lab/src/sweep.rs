//! Many runs one after the other, printed as a table that says how to make each again.

use std::fmt;
use std::path;
use std::time;

use crate::fault;
use crate::profile;
use crate::report;
use crate::run;

/// Seconds of a run without a primary's fault under slow promotion.
const SECONDS: u64 = 8;

/// Seconds of a run in which a promotion waits for a lease of ten seconds.
const LONG_SECONDS: u64 = 20;

/// Faults begin and end in the middle of a run.
const FAULT_TIMES: &str = "@2+3";

/// Sizes of the system that faults are brought to.
const SMALL: usize = 3;
const LARGE: usize = 8;

/// Replication delays in milliseconds at which confirmation is compared.
const LAGS: [u64; 3] = [1, 20, 200];

/// Replication delay of a usual run, in milliseconds.
const USUAL_LAG: u64 = 2;

/// One run of the sweep, in the words of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// Name of the profile.
    pub profile: &'static str,
    /// Proxies to start.
    pub proxies: usize,
    /// How long the callers work.
    pub seconds: u64,
    /// Seed of the run.
    pub seed: u64,
    /// Fault, if any.
    pub fault: Option<String>,
    /// Name of the policy.
    pub policy: &'static str,
    /// Replication delay in milliseconds.
    pub lag: u64,
}

impl Case {
    fn new(profile: &'static str, proxies: usize, seed: u64) -> Self {
        Self {
            profile,
            proxies,
            seconds: SECONDS,
            seed,
            fault: None,
            policy: "default",
            lag: USUAL_LAG,
        }
    }

    fn with(self, fault: fault::Kind) -> Self {
        Self {
            fault: Some(format!("{fault}{FAULT_TIMES}")),
            ..self
        }
    }

    fn under(self, policy: &'static str) -> Self {
        Self { policy, ..self }
    }

    fn run(&self, program: &path::Path) -> eyre::Result<report::Report> {
        let faults = self.fault.iter().map(|text| text.parse());
        let profile = profile::Profile {
            lag: time::Duration::from_millis(self.lag),
            ..self.profile.parse()?
        };
        let run = run::Run {
            program: program.to_owned(),
            profile,
            proxies: self.proxies,
            lasts: time::Duration::from_secs(self.seconds),
            seed: self.seed,
            faults: faults.collect::<Result<_, _>>()?,
            policy: self.policy.parse()?,
        };
        run.execute()
    }

    /// Whether two cases differ in the policy only, and in what it makes them wait.
    fn compares_with(&self, base: &Self) -> bool {
        let like = Self {
            policy: self.policy,
            seconds: self.seconds,
            ..base.clone()
        };
        *self == like && self.policy != base.policy && base.policy == "default"
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "run --profile {} --proxies {} --seconds {} --seed {} --policy {} --lag {}ms",
            self.profile, self.proxies, self.seconds, self.seed, self.policy, self.lag
        )?;
        self.fault
            .iter()
            .try_for_each(|fault| write!(f, " --fault {fault}"))
    }
}

/// All runs: policies side by side, delays, then each fault under each profile.
///
/// ```
/// use mangotray_lab::sweep;
/// let cases = sweep::cases(3);
/// let drain = cases.iter().filter(|case| case.to_string().contains("proxy-drain"));
/// assert_eq!(drain.count(), 2);
/// ```
#[must_use]
pub fn cases(seed: u64) -> Vec<Case> {
    let small = Case::new("tarapath", SMALL, seed);
    let large = Case::new("hoasen", LARGE, seed);
    let mut cases = Vec::new();
    for policy in ["default", "primary-only", "token-only"] {
        cases.push(small.clone().under(policy));
        cases.push(large.clone().under(policy));
    }
    for lag in LAGS {
        for policy in ["default", "unsafe-ack"] {
            let lagging = Case {
                lag,
                ..small.clone()
            };
            cases.push(lagging.under(policy));
        }
    }
    for kind in [fault::Kind::PrimaryCrash, fault::Kind::PrimaryPartition] {
        let slow = small.clone().with(kind).under("lease-expiry");
        cases.push(Case {
            seconds: LONG_SECONDS,
            ..slow
        });
    }
    cases.push(Case {
        lag: LAGS[2],
        ..small
            .clone()
            .with(fault::Kind::PrimaryCrash)
            .under("unsafe-ack")
    });
    for (_, kind) in fault::KINDS {
        cases.push(small.clone().with(kind));
        cases.push(large.clone().with(kind));
    }
    cases
}

/// Runs everything whose command contains `only`, and prints a table as it goes; then
/// the ratio of each baseline to the default rules. Gives the number of runs that broke
/// a promise or failed, the unsafe baseline apart.
#[must_use]
pub fn execute(program: &path::Path, seed: u64, only: &str) -> usize {
    let mut done = Vec::new();
    let mut bad = 0;
    println!("{HEADER}");
    let chosen = cases(seed).into_iter();
    for case in chosen.filter(|case| case.to_string().contains(only)) {
        match case.run(program) {
            Ok(report) => {
                println!("| `{case}` | {} |", figures(&report));
                let unsafe_by_intent = case.policy == "unsafe-ack";
                bad += usize::from(report.is_violated() && !unsafe_by_intent);
                done.push((case, report));
            }
            Err(error) => {
                println!("| `{case}` | failed: {error} |");
                bad += 1;
            }
        }
    }
    println!("\n{RATIO_HEADER}");
    for (base, other) in pairs(&done) {
        println!("{}", ratio(base, other));
    }
    bad
}

const HEADER: &str = "| Command | Replica share | Gap ms | Write p50 ms | Write p99 ms | \
    Read p50 ms | Read p99 ms | Confirmed | Lost | Doubled | Stale | Mixed | Foreign | \
    Not run but ran | Late | Settled |\n\
    |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

const RATIO_HEADER: &str = "| Baseline, over the same run under default | Replica share | Gap | \
    Write p50 | Write p99 |\n|---|---|---|---|---|";

type Done = (Case, report::Report);

fn pairs(done: &[Done]) -> impl Iterator<Item = (&Done, &Done)> {
    done.iter().flat_map(|base| {
        let others = done.iter();
        others
            .filter(|other| other.0.compares_with(&base.0))
            .map(move |other| (base, other))
    })
}

fn figures(report: &report::Report) -> String {
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

fn ratio((_, base): &Done, (case, other): &Done) -> String {
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
