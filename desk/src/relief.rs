//! Decides when a primary that serves all reads of its group changes places with a replica.
//!
//! Replicas apply their records in order, so one record that takes seconds delays all behind it.
//! Meanwhile no replica may serve a read, and the few slots of the primary get the work of all. The
//! replicas still receive records, however: a promoted replica leads with all received records
//! within about 350 ms, and the old primary, whose log is fully applied, serves fresh reads as a
//! replica from then on. The group's usable slots double at the cost of one short gap for writes.
//!
//! A replica reports its lag as soon as it receives a slow record, so the change is over before the
//! first read is refused. Waiting for refused reads and a full primary instead took two seconds
//! longer, and then one order in two found that the primary had just taken a record which no
//! replica had.

use std::time;

use mangotray::id;
use mangotray::stamp;

/// The condition for the change must last this long: a single answer may be an outlier, and a
/// replica that lacks a record may receive it a moment later.
const MIN_DURATION: time::Duration = time::Duration::from_millis(250);

/// A change isn't worthwhile if replicas serve reads again within this time: it costs the gap for
/// writes and the time to find the new primary.
const MIN_BENEFIT: time::Duration = time::Duration::from_secs(1);

/// Minimum time between two changes of one group; an earlier one would undo the first before its
/// benefit outweighs the gap.
const MIN_INTERVAL: time::Duration = time::Duration::from_secs(8);

/// State of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Last record received.
    pub received: stamp::Stamp,
    /// Last record applied, which its reads see.
    pub applied: stamp::Stamp,
    /// The replica's own estimate of the time until it has applied what it has received.
    pub lag: time::Duration,
    /// It is about to leave.
    pub leaving: bool,
}

/// State of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When the probes began.
    pub now: id::Time,
    /// Last log position of the primary, queried before the replicas.
    pub position: stamp::Stamp,
    /// All other instances; there is no view if any of them didn't answer.
    pub replicas: Vec<Replica>,
    /// Largest age of data that any route of the group accepts.
    pub age: time::Duration,
}

/// Whether a replica with this lag can't serve reads that accept data of `age`, now or soon.
///
/// ```
/// use mangotray_desk::relief;
/// use std::time::Duration;
/// let age = Duration::from_millis(2500);
/// assert!(relief::is_stuck(Duration::from_secs(9), age));
/// assert!(!relief::is_stuck(Duration::from_millis(60), age));
/// ```
#[must_use]
pub fn is_stuck(lag: time::Duration, age: time::Duration) -> bool {
    lag > age + MIN_BENEFIT
}

impl View {
    // A replica that lacks records of the primary is cut off from it and serves no read until that
    // ends, whatever its lag.
    fn serves_no_reads(&self, replica: &Replica) -> bool {
        let lacks_records = replica.received < self.position;
        let stuck = replica.applied < replica.received && is_stuck(replica.lag, self.age);
        lacks_records || stuck
    }

    fn has_successor(&self) -> bool {
        let is_complete = |replica: &Replica| !replica.leaving && replica.received >= self.position;
        self.replicas.iter().any(is_complete)
    }

    // Whether no replica serves reads, and a replica that stays has everything that the primary
    // had.
    fn calls_for_change(&self) -> bool {
        self.replicas
            .iter()
            .all(|replica| self.serves_no_reads(replica))
            && self.has_successor()
    }
}

/// Observations of a group over time.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::relief::{Relief, Replica, View};
/// use std::time::Duration;
/// let stuck = Replica {
///     received: Stamp::new(1, 90),
///     applied: Stamp::new(1, 40),
///     lag: Duration::from_secs(4),
///     leaving: false,
/// };
/// let view = |millis| View {
///     now: Duration::from_millis(millis),
///     position: Stamp::new(1, 90),
///     replicas: vec![stuck, stuck],
///     age: Duration::from_millis(2500),
/// };
/// let mut relief = Relief::default();
/// assert!(!relief.observe(&view(9000)));
/// assert!(relief.observe(&view(9300)));
/// relief.note_change(Duration::from_millis(9300));
/// assert!(!relief.observe(&view(11_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Relief {
    condition_since: Option<id::Time>,
    last_change: Option<id::Time>,
}

impl Relief {
    /// Adds an observation; returns whether primary and replica should change places now.
    pub fn observe(&mut self, view: &View) -> bool {
        if !view.calls_for_change() {
            self.condition_since = None;
            return false;
        }
        let since = *self.condition_since.get_or_insert(view.now);
        let is_due = self
            .last_change
            .is_none_or(|done| view.now >= done + MIN_INTERVAL);
        view.now >= since + MIN_DURATION && is_due
    }

    /// Whether a change may be due soon, so that the group should be probed often.
    #[must_use]
    pub const fn is_due_soon(&self) -> bool {
        self.condition_since.is_some()
    }

    /// Notes that a change was made.
    pub const fn note_change(&mut self, now: id::Time) {
        self.last_change = Some(now);
        self.condition_since = None;
    }
}
