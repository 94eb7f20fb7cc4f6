//! Report of a run, printed as one line of JSON.

use std::collections;
use std::time;

use compact_str::CompactString;

use crate::ledger;
use crate::load;
use crate::note;

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Name of the profile; given with policy and faults to identify the run.
    pub profile: String,
    /// Policy of the proxies.
    pub policy: String,
    /// Number of proxies at the start.
    pub proxies: usize,
    /// Seconds during which the callers sent requests.
    pub seconds: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Faults of the run, in the syntax of the command line.
    pub faults: Vec<String>,
    /// Callers' writes that were confirmed.
    pub confirmed: usize,
    /// Callers' writes whose answer left the outcome unknown.
    pub unknown: usize,
    /// Callers' writes that were refused as not run, or never committed.
    pub not_run: usize,
    /// Callers' writes that the database itself refused.
    pub rejected: usize,
    /// Answers, including refusals, that came after the deadline.
    pub late: usize,
    /// Longest time in milliseconds between a deadline and a later answer.
    pub late_by_ms: f64,
    /// Requests without an answer.
    pub cut: usize,
    /// Confirmed writes that are missing.
    pub lost: usize,
    /// Writes that ran more than once.
    pub doubled: usize,
    /// Reads whose answer lacks a write that it had to include.
    pub stale: usize,
    /// Transactions that are incomplete or mixed with others.
    pub mixed: usize,
    /// Reads whose answer belongs to another request, or is incomplete.
    pub foreign: usize,
    /// Writes answered as not run, or as rejected, that are in the tables or in a log.
    pub not_run_but_ran: usize,
    /// Share of reads that ran on replicas, from 0 to 1.
    pub replica_read_share: f64,
    /// Longest failover gap in milliseconds; `None` without a primary's fault, or when a
    /// group confirmed no write after one.
    pub failover_gap_ms: Option<f64>,
    /// Failover gap after each primary's fault in milliseconds; `None` when the group
    /// confirmed no write after it.
    pub failover_gaps_ms: Vec<Option<f64>>,
    /// Answered reads per second.
    pub reads_per_s: f64,
    /// Reads refused or lost.
    pub reads_refused: usize,
    /// Refusals of callers and probers by SQLSTATE and detail.
    pub refusals: collections::BTreeMap<CompactString, usize>,
    /// Details of some stale and foreign reads.
    pub examples: Vec<CompactString>,
    /// Callers' confirmed writes per second.
    pub writes_per_s: f64,
    /// Median latency of reads in milliseconds, measured by the callers.
    pub p50_ms: f64,
    /// 99th percentile of the latency of reads in milliseconds.
    pub p99_ms: f64,
    /// Median latency of writes in milliseconds, from BEGIN to the answer to COMMIT.
    pub write_p50_ms: f64,
    /// 99th percentile of the latency of writes in milliseconds.
    pub write_p99_ms: f64,
    /// Calls of all proxies to the platform's service per second.
    pub platform_calls_per_s: f64,
    /// Greatest number of connections that one instance had open at once.
    pub peak_connections: usize,
    /// Greatest number of slots of one instance in use at once.
    pub peak_busy: usize,
    /// Whether all instances had the same log when the audit began.
    pub settled: bool,
}

impl Report {
    /// Fills in the callers' records.
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

    /// Fills in the violations that the audit found.
    pub fn add_audit(&mut self, audit: ledger::Audit) {
        self.lost = audit.lost;
        self.doubled = audit.doubled;
        self.mixed = audit.mixed;
        self.not_run_but_ran = audit.not_run_but_ran;
    }

    /// Fills in the counters of databases and platform, for `reads` answered reads.
    pub fn add_load(&mut self, load: &load::Load, reads: usize) {
        self.replica_read_share = replica_share(load.replica_statements, reads);
        self.platform_calls_per_s = round_to_hundredths(float(load.platform_calls) / self.seconds);
        self.peak_connections = load.peak_connections;
        self.peak_busy = load.peak_busy;
    }

    /// Fills in the failover gaps after primaries' faults.
    pub fn add_gaps(&mut self, gaps: &[Option<time::Duration>]) {
        let millis = |gap: &time::Duration| round_to_hundredths(gap.as_secs_f64() * 1e3);
        self.failover_gaps_ms = gaps.iter().map(|gap| gap.as_ref().map(millis)).collect();
        let all: Option<Vec<_>> = gaps.iter().copied().collect();
        self.failover_gap_ms = all.and_then(|gaps| gaps.iter().max().map(millis));
    }

    /// True when a guarantee was violated, or the instances did not settle for the audit.
    #[must_use]
    pub fn is_violated(&self) -> bool {
        let broken = self.lost + self.doubled + self.stale + self.mixed + self.foreign;
        broken + self.not_run_but_ran > 0 || !self.settled
    }
}

/// Share of reads that ran on replicas. A read that is sent again runs twice, so there can be
/// more statements on replicas than answered reads; the share is then 1.
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

/// Converts a count; a count of `u32::MAX` or less, as in all runs, is exact.
fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

#[cfg(test)]
mod tests;
