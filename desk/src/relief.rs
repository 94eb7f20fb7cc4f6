//! When a primary that does all the work of its group changes places with a replica.
//!
//! The load that this answers: replicas apply their records in order, and one record that
//! takes seconds holds up all behind it. None of them may serve a read any more, and the
//! primary's few slots are asked for the work of all, for as long as it takes. But the
//! replicas go on receiving. One that takes over leads with all that it has received within
//! some 350 ms, and the old primary, whose log is applied whole, serves fresh reads as a
//! replica from then on: the group's usable slots double, at the price of one short gap for
//! writes.
//!
//! A replica tells its lag as soon as it receives a record that will take long, so that the
//! change is over before the first read is refused. Waiting for refusals and a full primary
//! instead took two seconds longer, in which one order in two found that the primary had just
//! taken a record which no replica had.

use std::time;

use mangotray::id;
use mangotray::stamp;

/// The state that justifies the change has to last this long: one answer may be a freak, and
/// a replica that lacks a record may receive it a moment later.
const MIN_DURATION: time::Duration = time::Duration::from_millis(250);

/// Replicas that serve again within this time make the change worthless: it takes the gap
/// and the time to find the new primary, and has to pay for both.
const MIN_BENEFIT: time::Duration = time::Duration::from_secs(1);

/// Least time between two changes of one group: the second would undo the first before its
/// worth has paid for the gap.
const MIN_INTERVAL: time::Duration = time::Duration::from_secs(8);

/// What is known of one replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Last record received.
    pub received: stamp::Stamp,
    /// Last record applied, which its reads see.
    pub applied: stamp::Stamp,
    /// Time after which it will have applied what it has received, as it reckons.
    pub lag: time::Duration,
    /// It is about to leave.
    pub leaving: bool,
}

/// What is known of a group now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// When the looks began.
    pub now: id::Time,
    /// What the primary had received before the replicas were looked at.
    pub position: stamp::Stamp,
    /// All other instances; fewer answers than instances make no view.
    pub replicas: Vec<Replica>,
    /// Largest age of data that any route of the group accepts.
    pub age: time::Duration,
}

/// Whether a replica that reckons with this lag serves no read that accepts data of `age`,
/// nor will soon.
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
    // One that has not even received what the primary had gets nothing: it serves no read
    // until that ends, whatever its lag.
    fn serves_no_reads(&self, replica: &Replica) -> bool {
        let lacks_records = replica.received < self.position;
        let stuck = replica.applied < replica.received && is_stuck(replica.lag, self.age);
        lacks_records || stuck
    }

    fn has_successor(&self) -> bool {
        let is_complete = |replica: &Replica| !replica.leaving && replica.received >= self.position;
        self.replicas.iter().any(is_complete)
    }

    // No replica serves reads, and one that stays has all that the primary had.
    fn calls_for_change(&self) -> bool {
        self.replicas
            .iter()
            .all(|replica| self.serves_no_reads(replica))
            && self.has_successor()
    }
}

/// What was seen of a group over time.
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
/// relief.done(Duration::from_millis(9300));
/// assert!(!relief.observe(&view(11_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Relief {
    since: Option<id::Time>,
    done: Option<id::Time>,
}

impl Relief {
    /// Takes a view in and says whether primary and replica should change places now.
    pub fn observe(&mut self, view: &View) -> bool {
        if !view.calls_for_change() {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(view.now);
        let rested = self.done.is_none_or(|done| view.now >= done + MIN_INTERVAL);
        view.now >= since + MIN_DURATION && rested
    }

    /// Whether the group may soon need a change, so that it should be looked at often.
    #[must_use]
    pub const fn is_near(&self) -> bool {
        self.since.is_some()
    }

    /// Notes that a change was made.
    pub const fn done(&mut self, now: id::Time) {
        self.done = Some(now);
        self.since = None;
    }
}
