//! One measured run of a profile's workload with faults.

use std::net;
use std::path;
use std::sync;
use std::thread;
use std::time;

use mangotray::policy;

use crate::environment;
use crate::fault;
use crate::inspect;
use crate::ledger;
use crate::load;
use crate::note;
use crate::profile;
use crate::ready;
use crate::report;
use crate::trouble;
use crate::workload;

/// Pause between two checks of the faults and counters.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Longest wait until all groups accept a write through each proxy. Under the lease-expiry
/// policy the groups get their first primaries one after the other, ten seconds each.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(90);

/// Longest wait for replication to settle before the audit.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The lab's binary, which also runs the proxies.
    pub program: path::PathBuf,
    /// Sizes, delays and statements.
    pub profile: profile::Profile,
    /// Number of proxies to start.
    pub proxies: usize,
    /// Time during which callers send requests.
    pub duration: time::Duration,
    /// Seed of the callers' random choices and of lost answers.
    pub seed: u64,
    /// Faults to inject.
    pub faults: Vec<fault::Fault>,
    /// Policy of the proxies.
    pub policy: policy::Policy,
}

impl Run {
    /// Runs the workload and the faults, audits the result and returns the report.
    ///
    /// # Errors
    /// When the environment cannot be started, or is not ready in time.
    pub fn execute(&self) -> eyre::Result<report::Report> {
        let mut environment = environment::Environment::start(&self.environment_options())?;
        let databases: Vec<_> = (0..self.profile.groups)
            .map(|group| self.profile.group(group))
            .collect();
        ready::wait(
            &self.profile,
            &databases,
            &environment.caller_addresses,
            READY_TIMEOUT,
        )?;
        let callers = sync::Arc::from(environment.caller_addresses.as_slice());
        let profile = sync::Arc::new(self.profile.clone());
        let mut load = load::Load::start(&environment);
        let start = time::Instant::now();
        let workload = workload::Workload::start(&profile, &callers, self.seed)?;
        let troubles = self.inject_faults(&mut environment, &mut load, start);
        let seconds = start.elapsed().as_secs_f64();
        let notes = workload.stop();
        load.sample(&environment);
        let settled =
            environment.wait_until_settled(SETTLE_TIMEOUT) && environment.quiesce(SETTLE_TIMEOUT);
        let mut report = self.report(seconds, settled);
        report.add_audit(self.audit(&environment, &notes)?);
        report.add_gaps(&failover_gaps(&troubles, &notes));
        let note = merged(notes);
        report.add_note(&note);
        report.add_load(&load, note.reads);
        environment.stop();
        Ok(report)
    }

    fn environment_options(&self) -> environment::Options {
        let free = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        environment::Options {
            program: self.program.clone(),
            profile: self.profile.clone(),
            groups: self.profile.groups,
            caller_addresses: vec![free; self.proxies],
            policy: self.policy,
        }
    }

    /// Begins and ends faults at their times until the run is over, and samples the load.
    /// All faults have ended when it returns.
    fn inject_faults(
        &self,
        environment: &mut environment::Environment,
        load: &mut load::Load,
        start: time::Instant,
    ) -> Vec<trouble::Trouble> {
        let mut pending = self.faults.clone();
        pending.sort_by_key(|fault| std::cmp::Reverse(fault.start));
        let mut active = Vec::new();
        let mut past = Vec::new();
        while start.elapsed() < self.duration {
            thread::sleep(POLL_INTERVAL);
            load.sample(environment);
            while let Some(fault) = pending.pop_if(|fault| fault.start <= start.elapsed()) {
                active.push(trouble::Trouble::begin(fault, environment, self.seed));
            }
            let ended = active.extract_if(.., |trouble| trouble.is_over());
            past.extend(ended.inspect(|trouble| trouble.end(environment)));
        }
        for trouble in &active {
            trouble.end(environment);
        }
        past.extend(active);
        past
    }

    fn audit(
        &self,
        environment: &environment::Environment,
        notes: &[note::Note],
    ) -> eyre::Result<ledger::Audit> {
        let mut all = ledger::Audit::default();
        for (group, note) in notes.iter().enumerate() {
            let primary = environment
                .primary(group)
                .ok_or_else(|| eyre::eyre!("group {group} has no primary at the end of the run"))?;
            let contents = inspect::contents(&environment.clusters[group], primary, &self.profile)?;
            all = all.plus(ledger::Audit::of(&note.attempts, &contents));
        }
        Ok(all)
    }

    fn report(&self, seconds: f64, settled: bool) -> report::Report {
        report::Report {
            profile: self.profile.name.to_owned(),
            policy: format!("{:?}", self.policy),
            proxies: self.proxies,
            seconds,
            seed: self.seed,
            faults: self.faults.iter().map(ToString::to_string).collect(),
            settled,
            ..report::Report::default()
        }
    }
}

/// Time from each primary's fault to the next confirmed write.
fn failover_gaps(
    troubles: &[trouble::Trouble],
    notes: &[note::Note],
) -> Vec<Option<time::Duration>> {
    troubles
        .iter()
        .filter(|trouble| trouble.fault.kind.affects_primary())
        .map(|trouble| notes[trouble.fault.group].failover_gap(trouble.started_at))
        .collect()
}

fn merged(notes: Vec<note::Note>) -> note::Note {
    notes.into_iter().fold(note::Note::new(), |mut all, one| {
        all.merge(one);
        all
    })
}
