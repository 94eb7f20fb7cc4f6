//! Records that callers make during a run.

use std::collections;
use std::time;

use compact_str::CompactString;

use crate::ledger;
use crate::profile;
use crate::verdict;

/// Violations that are kept with their details.
const MAX_EXAMPLES: usize = 5;

/// Significant decimal digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Records of one caller, or of many when merged.
#[derive(Clone, Debug)]
pub struct Note {
    /// Every write that was attempted.
    pub attempts: Vec<ledger::Attempt>,
    /// Probes that were confirmed.
    pub probes: Vec<Probe>,
    /// Requests answered after their deadline, with any answer.
    pub late_answers: usize,
    /// Longest time between a deadline and a later answer.
    pub max_lateness: time::Duration,
    /// Requests without an answer, because the connection ended or the caller gave up.
    pub unanswered: usize,
    /// Reads whose answer lacks a write that it had to include.
    pub stale_reads: usize,
    /// Details of the first stale reads and foreign answers.
    pub examples: Vec<CompactString>,
    /// Reads whose answer belongs to another request, or is incomplete.
    pub foreign_answers: usize,
    /// Refusals by SQLSTATE and detail.
    pub refusals: collections::BTreeMap<CompactString, usize>,
    /// Reads that were answered.
    pub reads: usize,
    /// Reads that were refused or lost.
    pub reads_refused: usize,
    /// Latencies of answered reads, in microseconds.
    pub read_latency: hdrhistogram::Histogram<u64>,
    /// Latencies of callers' confirmed writes, from BEGIN to the answer to COMMIT, in
    /// microseconds.
    pub write_latency: hdrhistogram::Histogram<u64>,
}

/// A confirmed write of the prober.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// When the write was sent.
    pub sent: time::Instant,
    /// When its confirmation arrived.
    pub confirmed: time::Instant,
}

impl Note {
    /// Creates an empty record.
    ///
    /// # Panics
    /// Never: the number of digits is valid.
    #[must_use]
    pub fn new() -> Self {
        let histogram =
            hdrhistogram::Histogram::new(LATENCY_DIGITS).expect("valid number of digits");
        Self {
            attempts: Vec::new(),
            probes: Vec::new(),
            late_answers: 0,
            max_lateness: time::Duration::ZERO,
            unanswered: 0,
            stale_reads: 0,
            examples: Vec::new(),
            foreign_answers: 0,
            refusals: collections::BTreeMap::new(),
            reads: 0,
            reads_refused: 0,
            read_latency: histogram.clone(),
            write_latency: histogram,
        }
    }

    /// Adds another record to this one.
    ///
    /// ```
    /// use mangotray_lab::note::Note;
    /// let mut all = Note::new();
    /// let mut one = Note::new();
    /// one.late_answers = 2;
    /// all.merge(one);
    /// assert_eq!(all.late_answers, 2);
    /// ```
    ///
    /// # Panics
    /// Never: histograms resize themselves.
    pub fn merge(&mut self, other: Self) {
        self.attempts.extend(other.attempts);
        self.probes.extend(other.probes);
        self.late_answers += other.late_answers;
        self.max_lateness = self.max_lateness.max(other.max_lateness);
        self.unanswered += other.unanswered;
        self.stale_reads += other.stale_reads;
        self.examples.extend(other.examples);
        self.examples.truncate(MAX_EXAMPLES);
        self.foreign_answers += other.foreign_answers;
        for (refusal, count) in other.refusals {
            *self.refusals.entry(refusal).or_default() += count;
        }
        self.reads += other.reads;
        self.reads_refused += other.reads_refused;
        let resizes = "histogram resizes itself";
        self.read_latency.add(&other.read_latency).expect(resizes);
        self.write_latency.add(&other.write_latency).expect(resizes);
    }

    /// Counts the violations of an answer to a read. If there are any, and fewer than
    /// `MAX_EXAMPLES` examples, keeps the text of `describe` as an example.
    ///
    /// ```
    /// use mangotray_lab::{note::Note, verdict::Verdict};
    /// let mut note = Note::new();
    /// note.record_verdict(Verdict::FOREIGN, || "row of another caller".into());
    /// assert_eq!((note.foreign_answers, note.stale_reads, note.examples.len()), (1, 0, 1));
    /// ```
    pub fn record_verdict(
        &mut self,
        verdict: verdict::Verdict,
        describe: impl FnOnce() -> CompactString,
    ) {
        self.foreign_answers += usize::from(verdict.foreign);
        self.stale_reads += usize::from(verdict.stale);
        if verdict != verdict::Verdict::default() && self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }

    /// Records by how much an answer missed its deadline, if it did.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut note = mangotray_lab::note::Note::new();
    /// note.record_duration(Duration::from_millis(2003), Duration::from_secs(2));
    /// assert_eq!((note.late_answers, note.max_lateness), (1, Duration::from_millis(3)));
    /// ```
    pub fn record_duration(&mut self, elapsed: time::Duration, deadline: time::Duration) {
        let excess = elapsed.saturating_sub(deadline);
        self.late_answers += usize::from(!excess.is_zero());
        self.max_lateness = self.max_lateness.max(excess);
    }

    /// Number of callers' writes with this outcome, without the prober's.
    ///
    /// ```
    /// use mangotray_lab::{ledger::Outcome, note::Note};
    /// assert_eq!(Note::new().count_writes(Outcome::Confirmed), 0);
    /// ```
    #[must_use]
    pub fn count_writes(&self, outcome: ledger::Outcome) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.item != profile::PROBER_ITEM)
            .filter(|attempt| attempt.outcome == outcome)
            .count()
    }

    /// Time from `fault` to the first confirmation of a probe sent after it.
    ///
    /// Probes that were sent before the fault are left out: the failed primary may have run
    /// them, so their confirmation does not show that a new primary works.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use mangotray_lab::note::{Note, Probe};
    /// let fault = Instant::now();
    /// let at = |millis| fault + Duration::from_millis(millis);
    /// let mut note = Note::new();
    /// assert_eq!(note.failover_gap(fault), None);
    /// note.probes.push(Probe { sent: at(20), confirmed: at(90) });
    /// assert_eq!(note.failover_gap(fault), Some(Duration::from_millis(90)));
    /// ```
    #[must_use]
    pub fn failover_gap(&self, fault: time::Instant) -> Option<time::Duration> {
        self.probes
            .iter()
            .filter(|probe| probe.sent >= fault)
            .map(|probe| probe.confirmed - fault)
            .min()
    }
}

impl Default for Note {
    fn default() -> Self {
        Self::new()
    }
}

/// Whole microseconds of a duration, for a histogram.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(mangotray_lab::note::micros(Duration::from_millis(2)), 2_000);
/// ```
#[must_use]
pub fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
