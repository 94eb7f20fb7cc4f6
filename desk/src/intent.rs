//! Promotions that were recorded in the platform's store before they were ordered.
//!
//! A promoter may end between its order and the moment at which the replaced primary knows of
//! it. Its successor finds replicas that are held, and has to know why: replicas of a promotion
//! that was never ordered may be freed, and the old primary goes on; those of one that was
//! ordered may not, or a primary that never heard of its replacement acknowledges writes
//! which the new one does not get. It is written in place of the question whether the seat is still
//! held, by the same call, so that it costs the store nothing.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::store;

use crate::promote;
use crate::promotion;
use crate::sampler;
use crate::upstream;

/// Keys of records begin so; the group's name follows.
pub const PREFIX: &str = "mangotray/promotion/";

/// Where a record stands among those of its group, whoever wrote them; the last one counts.
///
/// The store's revisions do not tell: they go back when it comes back from an older copy, with
/// records that are older than what was recorded since.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(default)]
pub struct Place {
    /// The number of the holder who wrote it.
    pub fence: promote::Fence,
    /// The holder's records, counted.
    pub turn: u64,
}

/// A promotion that was, or was about to be, ordered.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Intent {
    /// The group.
    pub group: id::Group,
    /// The instance that is to lead.
    pub candidate: upstream::Id,
    /// Which process of it.
    pub born: upstream::Birth,
    /// It leads in this term, or a later one.
    pub term: id::Term,
    /// The primary that it replaces, if one was listed.
    pub old: Option<upstream::Id>,
    /// Furthest record that any held replica had received: all that was acknowledged before.
    pub received: stamp::Stamp,
    /// Where this record stands among those of the group.
    #[serde(default)]
    pub place: Place,
}

/// What became of a recorded promotion, as far as the instances' answers tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An instance leads in its term or a later one.
    Leads(sampler::Lead),
    /// The candidate does not lead, and may yet: its order may take effect late.
    Open,
    /// The candidate does not answer, while the replaced primary does. It may lead, and is
    /// replaced as a primary that is silent.
    Silent,
    /// Neither answers: nobody can tell what was acknowledged, and by whom.
    Unknown,
    /// The candidate has left the group for good.
    Void,
}

impl Intent {
    /// Its key in the platform's store.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::intent;
    /// let intent = intent::Intent {
    ///     group: "bookings".into(),
    ///     candidate: "b".into(),
    ///     born: 0,
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     received: Stamp::new(1, 7),
    ///     place: intent::Place::default(),
    /// };
    /// assert_eq!(intent.key(), "mangotray/promotion/bookings");
    /// assert_eq!(intent.life(), ("b".into(), 0));
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.group)
    }

    /// Reads a record; none where the entry is of another kind, or makes no sense.
    #[must_use]
    pub fn read(entry: &store::Entry) -> Option<Self> {
        if !entry.key.starts_with(PREFIX) {
            return None;
        }
        match serde_json::from_slice(&entry.value) {
            Ok(intent) => Some(intent),
            Err(error) => {
                tracing::error!(key = %entry.key, %error, "recorded promotion not understood");
                None
            }
        }
    }

    /// The process that is to lead.
    #[must_use]
    pub fn life(&self) -> promotion::Process {
        (self.candidate.clone(), self.born)
    }

    /// Whether this is the same promotion, be it recorded once more.
    #[must_use]
    pub fn is_same_as(&self, other: &Self) -> bool {
        let place = other.place;
        Self {
            place,
            ..self.clone()
        } == *other
    }

    /// What became of it, by the answers of the listed instances that did answer.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{intent, sampler, upstream};
    /// let intent = intent::Intent {
    ///     group: "bookings".into(),
    ///     candidate: "b".into(),
    ///     born: 0,
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     received: Stamp::new(1, 7),
    ///     place: intent::Place::default(),
    /// };
    /// let look = |id: &str, role, term| sampler::Look {
    ///     id: id.into(),
    ///     status: upstream::Status { role, term, received: Stamp::new(1, 7), held: 0, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let listed = ["a".into(), "b".into(), "c".into()];
    /// let old = look("a", Role::Primary, 1);
    /// let leads = look("b", Role::Primary, 2);
    /// let waits = look("b", Role::Replica, 1);
    /// assert!(matches!(intent.outcome(&[old.clone(), leads], &listed), intent::Outcome::Leads(_)));
    /// assert_eq!(intent.outcome(&[old.clone(), waits], &listed), intent::Outcome::Open);
    /// assert_eq!(intent.outcome(&[old], &listed), intent::Outcome::Silent);
    /// assert_eq!(intent.outcome(&[], &listed), intent::Outcome::Unknown);
    /// assert_eq!(intent.outcome(&[], &listed[..1]), intent::Outcome::Void);
    /// ```
    #[must_use]
    pub fn outcome(&self, looks: &[sampler::Look], listed: &[upstream::Id]) -> Outcome {
        if let Some(lead) = sampler::latest(looks, self.term) {
            return Outcome::Leads(lead);
        }
        // It was a replica when it was ordered.
        let own = looks.iter().find(|look| look.id == self.candidate);
        if let Some(look) = own.filter(|look| look.status.role == role::Role::Primary) {
            return Outcome::Leads(look.lead());
        }
        let answers = |id: &upstream::Id| looks.iter().any(|look| look.id == *id);
        if !listed.contains(&self.candidate) {
            return Outcome::Void;
        }
        if answers(&self.candidate) {
            return Outcome::Open;
        }
        // One that is listed no more is gone, and cannot have acknowledged anything since.
        let old = self.old.as_ref().filter(|old| listed.contains(old));
        if old.is_none_or(answers) {
            Outcome::Silent
        } else {
            Outcome::Unknown
        }
    }
}
