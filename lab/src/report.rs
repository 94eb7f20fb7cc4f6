//! The one line of JSON that a run ends with.

use std::collections;
use std::time;

use compact_str::CompactString;

use crate::ledger;
use crate::load;
use crate::note;

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Profile, policy and faults, so that a line explains itself.
    pub profile: String,
    /// Rules of the proxies.
    pub policy: String,
    /// Proxies at the start.
    pub proxies: usize,
    /// Seconds that the callers worked.
    pub seconds: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Faults as they were asked for.
    pub faults: Vec<String>,
    /// Callers' writes that were confirmed.
    pub confirmed: usize,
    /// Callers' writes whose outcome nobody could tell them.
    pub unknown: usize,
    /// Callers' writes that were refused as not run, or never committed.
    pub not_run: usize,
    /// Callers' writes that the database itself refused.
    pub rejected: usize,
    /// Answers, refusals too, that came after the deadline.
    pub late: usize,
    /// Longest time by which an answer missed its deadline.
    pub late_by_ms: f64,
    /// Requests that got no answer at all.
    pub cut: usize,
    /// Confirmed writes that are absent.
    pub lost: usize,
    /// Writes that ran more than once.
    pub doubled: usize,
    /// Reads that missed a write that they had to contain.
    pub stale: usize,
    /// Transactions that were cut or mixed with others.
    pub mixed: usize,
    /// Answers to somebody else's request, or incomplete ones.
    pub foreign: usize,
    /// Writes told as not run that left a trace.
    pub not_run_but_ran: usize,
    /// Share of reads that ran on instances that were not the primary.
    pub replica_read_share: f64,
    /// Longest of the failover gaps; `None` without a primary's fault, or when a
    /// group's writes did not come back.
    pub failover_gap_ms: Option<f64>,
    /// Gap after each primary's fault; `None` when writes did not come back.
    pub failover_gaps_ms: Vec<Option<f64>>,
    /// Answered reads a second.
    pub reads_per_s: f64,
    /// Reads refused or lost.
    pub reads_refused: usize,
    /// Refusals of callers and probers by SQLSTATE and detail.
    pub refusals: collections::BTreeMap<CompactString, usize>,
    /// Some stale and foreign reads, told in full.
    pub examples: Vec<CompactString>,
    /// Callers' confirmed writes a second.
    pub writes_per_s: f64,
    /// Median latency of reads, as callers see it.
    pub p50_ms: f64,
    /// 99th percentile of the latency of reads.
    pub p99_ms: f64,
    /// Median latency of whole writes.
    pub write_p50_ms: f64,
    /// 99th percentile of the latency of whole writes.
    pub write_p99_ms: f64,
    /// Calls to the platform's service a second, from all proxies.
    pub platform_calls_per_s: f64,
    /// Most connections that one instance had open at once.
    pub peak_connections: usize,
    /// Most slots of one instance in use at once.
    pub peak_busy: usize,
    /// Whether all instances agreed when the audit began.
    pub settled: bool,
}

impl Report {
    /// Fills in what the callers recorded.
    pub fn add_note(&mut self, note: &note::Note) {
        self.confirmed = note.count_writes(ledger::Outcome::Confirmed);
        self.unknown = note.count_writes(ledger::Outcome::Unknown);
        self.not_run = note.count_writes(ledger::Outcome::NotRun);
        self.rejected = note.count_writes(ledger::Outcome::Rejected);
        self.late = note.late_answers;
        self.late_by_ms = round_to_hundredths(note.max_lateness.as_secs_f64() * 1e3);
        self.cut = note.unanswered;
        self.stale = note.stale_reads;
        self.foreign = note.foreign_answers;
        self.reads_refused = note.reads_refused;
        self.refusals.clone_from(&note.refusals);
        self.examples.clone_from(&note.examples);
        self.reads_per_s = per_second(note.reads, self.seconds);
        self.writes_per_s = per_second(self.confirmed, self.seconds);
        self.p50_ms = millis(&note.read_latency, 0.5);
        self.p99_ms = millis(&note.read_latency, 0.99);
        self.write_p50_ms = millis(&note.write_latency, 0.5);
        self.write_p99_ms = millis(&note.write_latency, 0.99);
    }

    /// Fills in what the audit found.
    pub fn add_audit(&mut self, audit: ledger::Audit) {
        self.lost = audit.lost;
        self.doubled = audit.doubled;
        self.mixed = audit.mixed;
        self.not_run_but_ran = audit.not_run_but_ran;
    }

    /// Fills in what databases and platform counted, for `reads` answered reads.
    pub fn add_load(&mut self, load: &load::Load, reads: usize) {
        self.replica_read_share = replica_share(load.replica_statements, reads);
        self.platform_calls_per_s = round_to_hundredths(float(load.platform_calls) / self.seconds);
        self.peak_connections = load.peak_connections;
        self.peak_busy = load.peak_busy;
    }

    /// Fills in the gaps after primaries' faults.
    pub fn add_gaps(&mut self, gaps: &[Option<time::Duration>]) {
        let millis = |gap: &time::Duration| round_to_hundredths(gap.as_secs_f64() * 1e3);
        self.failover_gaps_ms = gaps.iter().map(|gap| gap.as_ref().map(millis)).collect();
        let all: Option<Vec<_>> = gaps.iter().copied().collect();
        self.failover_gap_ms = all.and_then(|gaps| gaps.iter().max().map(millis));
    }

    /// True when a promise was broken or the run itself was not whole.
    #[must_use]
    pub fn is_violated(&self) -> bool {
        let broken = self.lost + self.doubled + self.stale + self.mixed + self.foreign;
        broken + self.not_run_but_ran > 0 || !self.settled
    }
}

/// Reads that are sent again run twice, so the count of statements can pass that of
/// answered reads; a share stays a share.
fn replica_share(replica_statements: usize, reads: usize) -> f64 {
    let all = reads.max(replica_statements);
    if all == 0 {
        return 0.0;
    }
    (float(replica_statements as u64) / float(all as u64) * 1e4).round() / 1e4
}

fn per_second(count: usize, seconds: f64) -> f64 {
    round_to_hundredths(float(count as u64) / seconds)
}

fn millis(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    round_to_hundredths(float(histogram.value_at_quantile(quantile)) / 1e3)
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Counts of a run stay far below the numbers that a float holds exactly.
fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

#[cfg(test)]
mod tests;
