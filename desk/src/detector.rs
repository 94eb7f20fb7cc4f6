//! Decides when and why a primary has to be replaced.
//!
//! The decision depends only on the observations and their times. [`crate::monitor`] makes the
//! observations and acts on the decision.

use std::time;

use mangotray::id;
use mangotray::stamp;

/// A primary that does not answer for this long is replaced, unless the replicas still receive
/// records from it. With 20 commits a second, as in the groups of the smaller user, a healthy
/// primary commits nothing for this long with a probability of one in a hundred thousand.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// The same for a primary whose address refuses connections, so that its process has ended.
const REFUSED_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// A primary that has records which no replica receives for this long has lost its replicas. It
/// cannot acknowledge any write, so its callers wait until they time out.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Replicas that seem to receive nothing for this long are queried. The queries show which of them
/// receive records and are only slow to apply them, long before [`STALL_TIMEOUT`].
const STALL_SUSPICION_DELAY: time::Duration = time::Duration::from_millis(400);

/// Least number of replicas, all answering, for which a stalled primary is replaced: one takes over
/// and another follows it. The old primary may not follow, as the replicas do not reach it.
const MIN_REPLICAS_FOR_STALL: usize = 2;

/// A promotion is given up if its replicas cannot all be held in this time.
const HOLD_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// The same while the primary runs, as it gets no commit confirmed while its replicas are held. One
/// unanswered hold takes this long.
const LIVE_HOLD_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A primary that announced its shutdown is replaced once no instance was added to its group for
/// this long. An instance receives records, and so lets commits be acknowledged, up to 170 ms
/// before it is listed. An unlisted instance cannot be held, and a commit that only it has
/// received besides the primary is lost with the promotion.
const LISTING_QUIET_PERIOD: time::Duration = time::Duration::from_millis(800);

/// Longest delay between the announced shutdown and the replacement. The primary runs for seven
/// seconds after its announcement.
const MAX_PLANNED_DELAY: time::Duration = time::Duration::from_secs(3);

/// How the primary answered a status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answered, with its last log position.
    Answered(stamp::Stamp),
    /// It did not answer in time.
    Silent,
    /// Its address refuses connections.
    Closed,
}

/// The observations of one round of status queries to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// When the round began.
    pub started: id::Time,
    /// The primary's answer.
    pub primary: Reach,
    /// Whether the primary has announced its shutdown.
    pub primary_leaving: bool,
    /// When an instance was last added to the group.
    pub last_added: id::Time,
    /// Last log position that any replica has received, `None` if no replica answered.
    pub received: Option<stamp::Stamp>,
    /// Whether a replica is held for a later term than that of the primary.
    pub held_for_later_term: bool,
    /// Number of replicas.
    pub replica_count: usize,
    /// Number of replicas that answered a status query, 0 in a round without queries.
    pub answer_count: usize,
}

impl Round {
    // Whether one replica can take over and another can follow it.
    const fn has_enough_replicas(&self) -> bool {
        self.answer_count >= MIN_REPLICAS_FOR_STALL && self.answer_count == self.replica_count
    }
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// It announced its shutdown.
    Planned,
    /// It does not answer.
    Silent,
    /// Its process has ended.
    Crashed,
    /// It has lost its replicas.
    Stalled,
    /// An earlier promotion is unfinished.
    Unfinished,
    /// It serves all reads of its group, as no replica is fresh enough.
    Relief,
}

impl Cause {
    /// Label of the cause in metrics.
    ///
    /// ```
    /// use mangotray_desk::detector;
    /// assert_eq!(detector::Cause::Relief.label(), "relief");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Silent => "silent",
            Self::Crashed => "crashed",
            Self::Stalled => "stalled",
            Self::Unfinished => "unfinished",
            Self::Relief => "relief",
        }
    }

    /// Whether the old primary may still run and has to be demoted.
    ///
    /// Such a promotion is not given up because the primary is healthy. An unfinished one may have
    /// been ordered already. It is completed, as its order may take effect at any moment.
    ///
    /// ```
    /// use mangotray_desk::detector;
    /// assert!(detector::Cause::Planned.primary_may_run());
    /// ```
    #[must_use]
    pub const fn primary_may_run(self) -> bool {
        matches!(
            self,
            Self::Planned | Self::Stalled | Self::Unfinished | Self::Relief
        )
    }

    /// Whether the promotion can be postponed, as the primary runs and nothing was ordered.
    ///
    /// ```
    /// use mangotray_desk::detector;
    /// assert!(detector::Cause::Stalled.can_wait());
    /// assert!(!detector::Cause::Unfinished.can_wait());
    /// ```
    #[must_use]
    pub const fn can_wait(self) -> bool {
        matches!(self, Self::Planned | Self::Stalled | Self::Relief)
    }

    /// Whether the primary works, and is replaced as planned or for the benefit of its group.
    ///
    /// ```
    /// use mangotray_desk::detector;
    /// assert!(detector::Cause::Planned.is_chosen());
    /// assert!(!detector::Cause::Stalled.is_chosen());
    /// ```
    #[must_use]
    pub const fn is_chosen(self) -> bool {
        matches!(self, Self::Planned | Self::Relief)
    }

    /// How long a promotion tries to hold all replicas before it is given up.
    ///
    /// ```
    /// use mangotray_desk::detector::Cause;
    /// assert!(Cause::Planned.hold_timeout() < Cause::Crashed.hold_timeout());
    /// ```
    #[must_use]
    pub const fn hold_timeout(self) -> time::Duration {
        if self.can_wait() {
            LIVE_HOLD_TIMEOUT
        } else {
            HOLD_TIMEOUT
        }
    }
}

/// Observations of a group without a primary, by a node that does not hold the promoter lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vacancy {
    /// When the node lost the primary, `None` while it knows one.
    pub since: Option<id::Time>,
    /// Last log position that a replica is known to have received, and when it last advanced.
    pub received: Option<(stamp::Stamp, id::Time)>,
}

/// Failure detector of one primary.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::detector::{Cause, Detector, Reach, Round};
/// use std::time::Duration;
/// let round = |millis, primary| Round {
///     started: Duration::from_millis(millis),
///     primary,
///     primary_leaving: false,
///     last_added: Duration::ZERO,
///     received: Some(Stamp::new(1, 5)),
///     held_for_later_term: false,
///     replica_count: 2,
///     answer_count: 2,
/// };
/// let mut detector = Detector::default();
/// assert_eq!(detector.judge(&round(0, Reach::Answered(Stamp::new(1, 5)))), None);
/// assert_eq!(detector.judge(&round(100, Reach::Silent)), None);
/// assert_eq!(detector.judge(&round(800, Reach::Silent)), Some(Cause::Silent));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Detector {
    received: Option<stamp::Stamp>,
    received_at: id::Time,
    silent_since: Option<id::Time>,
    closed_since: Option<id::Time>,
    leaving_since: Option<id::Time>,
    /// The oldest log position of the primary that no replica is known to have reached, and when
    /// the primary first reported it.
    ahead: Option<(id::Time, stamp::Stamp)>,
}

impl Detector {
    /// Creates a detector from what this node observed before it held the promoter lease.
    ///
    /// A primary and the lease holder may fail together during an outage of the store. The next
    /// holder has searched for the primary and queried the replicas for seconds by then. A new
    /// detector would leave the group without a primary for 600 ms longer.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::detector::{Cause, Detector, Reach, Round, Vacancy};
    /// use std::time::Duration;
    /// let vacancy = Vacancy {
    ///     since: Some(Duration::from_secs(5)),
    ///     received: Some((Stamp::new(1, 5), Duration::from_secs(4))),
    /// };
    /// let round = Round {
    ///     started: Duration::from_secs(9),
    ///     primary: Reach::Silent,
    ///     primary_leaving: false,
    ///     last_added: Duration::ZERO,
    ///     received: Some(Stamp::new(1, 5)),
    ///     held_for_later_term: false,
    ///     replica_count: 2,
    ///     answer_count: 2,
    /// };
    /// assert_eq!(Detector::default().judge(&round), None);
    /// assert_eq!(Detector::from_vacancy(vacancy).judge(&round), Some(Cause::Silent));
    /// ```
    #[must_use]
    pub fn from_vacancy(vacancy: Vacancy) -> Self {
        let last_received = vacancy.received.filter(|_| vacancy.since.is_some());
        Self {
            received: last_received.map(|(received, _)| received),
            received_at: last_received
                .map(|(_, advanced_at)| advanced_at)
                .unwrap_or_default(),
            silent_since: vacancy.since.filter(|_| last_received.is_some()),
            ..Self::default()
        }
    }

    /// Adds the observations of one round and returns why the primary has to be replaced, if it has
    /// to.
    pub fn judge(&mut self, round: &Round) -> Option<Cause> {
        self.note(round);
        if round.held_for_later_term {
            return Some(Cause::Unfinished);
        }
        let answers = matches!(round.primary, Reach::Answered(_));
        // A leaving primary that does not answer is replaced like any other that does not.
        if let Some(since) = self.leaving_since.filter(|_| answers) {
            let list_is_stable =
                round.started >= since.max(round.last_added) + LISTING_QUIET_PERIOD;
            let late = round.started >= since + MAX_PLANNED_DELAY;
            return (list_is_stable || late).then_some(Cause::Planned);
        }
        let over = |since: Option<id::Time>, limit| {
            since.is_some_and(|since| {
                let since_last_change = since.max(self.received_at);
                round.started >= since_last_change + limit
            })
        };
        // A node that reaches no replica either may be cut off itself, so it does not decide.
        round.received?;
        if over(self.closed_since, REFUSED_TIMEOUT) {
            return Some(Cause::Crashed);
        }
        if over(self.silent_since, SILENCE_TIMEOUT) {
            return Some(Cause::Silent);
        }
        let stalled =
            answers && over(self.missing_since(), STALL_TIMEOUT) && round.has_enough_replicas();
        stalled.then_some(Cause::Stalled)
    }

    /// Last log position that any replica is known to have received.
    #[must_use]
    pub const fn max_received(&self) -> Option<stamp::Stamp> {
        self.received
    }

    /// Whether a failure is suspected, so that the next round should follow soon.
    #[must_use]
    pub fn is_suspect(&self, now: id::Time) -> bool {
        let ahead = self
            .missing_since()
            .is_some_and(|since| now >= since.max(self.received_at) + STALL_SUSPICION_DELAY);
        self.silent_since.is_some() || self.closed_since.is_some() || ahead
    }

    fn note(&mut self, round: &Round) {
        let now = round.started;
        if round.received > self.received {
            self.received = round.received;
            self.received_at = now;
        }
        let began = |old: Option<id::Time>, holds: bool| holds.then(|| old.unwrap_or(now));
        self.silent_since = began(
            self.silent_since,
            !matches!(round.primary, Reach::Answered(_)),
        );
        self.closed_since = began(self.closed_since, round.primary == Reach::Closed);
        self.leaving_since = began(self.leaving_since, round.primary_leaving);
        // A primary whose connections are occupied by waiting writes answers only some of the
        // queries, so a missing answer does not reset this.
        self.ahead
            .take_if(|(_, record)| round.received >= Some(*record));
        if let (Reach::Answered(own), Some(theirs)) = (round.primary, round.received)
            && own > theirs
        {
            self.ahead.get_or_insert((now, own));
        }
    }

    fn missing_since(&self) -> Option<id::Time> {
        self.ahead.map(|(since, _)| since)
    }
}
