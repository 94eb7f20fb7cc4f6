//! When a primary is to be replaced, and by whom.
//!
//! Plain functions of what was seen and when; the [`crate::promoter`] looks and acts.

use std::time;

use mangotray::id;
use mangotray::stamp;

/// A primary that does not answer for this long is replaced, unless the replicas show that
/// it goes on working for others. Twenty commits a second reach a group of today's
/// smaller user: without any for this long, chance is one in a hundred thousand.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// The same for a primary whose address refuses connections: its process is gone.
const REFUSED_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// A primary that holds records which no replica receives for this long has lost its
/// replicas: it acknowledges nothing any more, and its callers wait in vain.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Replicas that seem not to move for this long are looked at; those that are only slow
/// to apply are seen to receive, well before [`STALL_TIMEOUT`].
const STALL_SUSPICION_DELAY: time::Duration = time::Duration::from_millis(400);

/// Replicas that a primary without any has to have, all of which answer: one takes over, another follows
/// it. The old primary cannot be counted on, as the replicas do not reach it.
const MIN_REPLICAS_FOR_STALL: usize = 2;

/// A promotion whose replicas cannot all be held in this time is given up for now.
const HOLD_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// The same where the primary lives: it has nothing confirmed while its replicas are held. One hold that
/// is not answered takes as long.
const LIVE_HOLD_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A primary that announced its end is replaced once no instance was added to its group for
/// this long. An instance receives records, and lets commits be acknowledged, up to 170 ms
/// before the list shows it. Replicas that are held do not; if the newcomer alone has a
/// commit and cannot be held, as nobody knows it, the commit is lost with the promotion.
const LISTING_QUIET_PERIOD: time::Duration = time::Duration::from_millis(800);

/// It is replaced at the latest this long after its announcement, of the seven seconds that
/// it goes on working.
const MAX_PLANNED_DELAY: time::Duration = time::Duration::from_secs(3);

/// How the primary answered a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answered, with what it has received.
    Answered(stamp::Stamp),
    /// It did not answer in time.
    Silent,
    /// Its address refuses connections.
    Closed,
}

/// One round of looks at a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// When the round began.
    pub started: id::Time,
    /// The primary's answer.
    pub primary: Reach,
    /// It has announced its end.
    pub leaving: bool,
    /// When an instance was last added to the group.
    pub added: id::Time,
    /// Furthest position that any replica has received; none if none answered.
    pub received: Option<stamp::Stamp>,
    /// Some replica is held for a term above the primary's.
    pub held: bool,
    /// Replicas that there are.
    pub replicas: usize,
    /// Replicas that answered a look in this round; none in a round without looks.
    pub answers: usize,
}

impl Round {
    // Whether one replica could take over and be followed by another.
    const fn has_enough_replicas(&self) -> bool {
        self.answers >= MIN_REPLICAS_FOR_STALL && self.answers == self.replicas
    }
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// It announced its end.
    Planned,
    /// It does not answer.
    Silent,
    /// Its process is gone.
    Crashed,
    /// It has lost its replicas.
    Stalled,
    /// An earlier promotion was left half done.
    Unfinished,
    /// It does all the work of its group, as no replica is fresh enough.
    Relief,
}

impl Cause {
    /// Its name in metrics.
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

    /// Whether the old primary may still work and is to be told that it no longer leads.
    ///
    /// Its being well is no reason to give such a promotion up. One that was left half
    /// done may have been ordered already: it is finished, as its order may take effect
    /// at any moment.
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

    /// Whether the promotion may as well wait, as nothing was ordered and the primary lives.
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

    /// For how long a promotion tries to hold all replicas before it is given up.
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

/// What a node that does not hold the seat has seen of a group without a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vacancy {
    /// Since when it knows no primary; none while it knows one.
    pub since: Option<id::Time>,
    /// Furthest position that a replica was seen to have received, and when it last moved.
    pub received: Option<(stamp::Stamp, id::Time)>,
}

/// What is known of one primary over time.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::detector::{Cause, Reach, Round, Detector};
/// use std::time::Duration;
/// let round = |millis, primary| Round {
///     started: Duration::from_millis(millis),
///     primary,
///     leaving: false,
///     added: Duration::ZERO,
///     received: Some(Stamp::new(1, 5)),
///     held: false,
///     replicas: 2,
///     answers: 2,
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
    /// Since when a record of the primary is known that no replica was seen to have received since.
    ahead: Option<(id::Time, stamp::Stamp)>,
}

impl Detector {
    /// A watch that goes on from what this node saw before it held the seat.
    ///
    /// The load that this answers: the store is away, a primary is lost meanwhile, and so is
    /// the holder of the seat. Its successor has sought the primary and looked at the replicas
    /// for seconds already; were it to wonder anew, the group would go without a
    /// primary for 600 ms longer.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::detector::{Cause, Reach, Round, Vacancy, Detector};
    /// use std::time::Duration;
    /// let vacancy = Vacancy {
    ///     since: Some(Duration::from_secs(5)),
    ///     received: Some((Stamp::new(1, 5), Duration::from_secs(4))),
    /// };
    /// let round = Round {
    ///     started: Duration::from_secs(9),
    ///     primary: Reach::Silent,
    ///     leaving: false,
    ///     added: Duration::ZERO,
    ///     received: Some(Stamp::new(1, 5)),
    ///     held: false,
    ///     replicas: 2,
    ///     answers: 2,
    /// };
    /// assert_eq!(Detector::default().judge(&round), None);
    /// assert_eq!(Detector::resumed(vacancy).judge(&round), Some(Cause::Silent));
    /// ```
    #[must_use]
    pub fn resumed(vacancy: Vacancy) -> Self {
        let seen = vacancy.received.filter(|_| vacancy.since.is_some());
        Self {
            received: seen.map(|(received, _)| received),
            received_at: seen.map(|(_, moved)| moved).unwrap_or_default(),
            silent_since: vacancy.since.filter(|_| seen.is_some()),
            ..Self::default()
        }
    }

    /// Takes one round in and says whether the primary is to be replaced.
    pub fn judge(&mut self, round: &Round) -> Option<Cause> {
        self.note(round);
        if round.held {
            return Some(Cause::Unfinished);
        }
        if let Some(since) = self.leaving_since {
            let list_is_stable = round.started >= since.max(round.added) + LISTING_QUIET_PERIOD;
            let late = round.started >= since + MAX_PLANNED_DELAY;
            return (list_is_stable || late).then_some(Cause::Planned);
        }
        let over = |since: Option<id::Time>, limit| {
            since.is_some_and(|since| {
                let since_last_change = since.max(self.received_at);
                round.started >= since_last_change + limit
            })
        };
        // Only with a word from the replicas: a node that reaches nobody knows nothing.
        round.received?;
        if over(self.closed_since, REFUSED_TIMEOUT) {
            return Some(Cause::Crashed);
        }
        if over(self.silent_since, SILENCE_TIMEOUT) {
            return Some(Cause::Silent);
        }
        let answers = matches!(round.primary, Reach::Answered(_));
        let stalled =
            answers && over(self.missing_since(), STALL_TIMEOUT) && round.has_enough_replicas();
        stalled.then_some(Cause::Stalled)
    }

    /// Furthest position that any replica was seen to have received.
    #[must_use]
    pub const fn furthest(&self) -> Option<stamp::Stamp> {
        self.received
    }

    /// Whether something is amiss, so that the next round should come soon.
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
        self.leaving_since = began(self.leaving_since, round.leaving);
        // A primary whose connections are taken by writes that wait answers only now and then.
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
