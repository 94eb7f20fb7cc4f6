//! Promotions that were recorded in the platform's store before they were ordered.
//!
//! A promoter may fail between its order and the moment when the replaced primary learns of it. Its
//! successor finds held replicas and needs to know why. Replicas of a promotion that was never
//! ordered may be released, and the old primary continues. Replicas of an ordered promotion must
//! stay held, or an old primary that was not notified of its replacement acknowledges writes that
//! the new one doesn't get. The record is written by the call that confirms the promoter's lease,
//! so it costs no further call.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::store;

use crate::promote;
use crate::promotion;
use crate::status;
use crate::upstream;

/// Prefix of the keys of records; the group's name follows.
pub const PREFIX: &str = "mangotray/promotion/";

/// Order of a record among those of its group, whoever wrote them; the last one counts.
///
/// The store's revisions can't give this order: after a reset to an older copy they go back, and
/// its records are older than those written since.
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
    /// Fencing token of the holder that wrote the record.
    pub fence: promote::Fence,
    /// Number of the record among those of this holder.
    pub turn: u64,
}

/// A promotion that was ordered, or was about to be.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Intent {
    /// The group.
    pub group: id::Group,
    /// The instance to be promoted.
    pub candidate: upstream::Id,
    /// The process of that instance.
    pub born: upstream::StartTime,
    /// The lowest term in which the candidate becomes the primary.
    pub term: id::Term,
    /// The replaced primary, if one was listed.
    pub old: Option<upstream::Id>,
    /// Latest record received by any held replica; it covers everything acknowledged before.
    pub received: stamp::Stamp,
    /// Order of this record among those of the group.
    #[serde(default)]
    pub place: Place,
}

/// Outcome of a recorded promotion, as far as the instances' answers show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An instance leads in the promotion's term or a later one.
    Leads(status::Leader),
    /// The candidate doesn't lead yet; the order may still take effect.
    Open,
    /// The candidate doesn't answer, while the replaced primary does or is no longer listed. The
    /// candidate may lead, and is replaced like any silent primary.
    Silent,
    /// Neither answers, so it is unknown which of them acknowledged which commits.
    Unknown,
    /// The candidate has left the group for good.
    Void,
}

impl Intent {
    /// Key of the record in the platform's store.
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
    /// assert_eq!(intent.process(), ("b".into(), 0));
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.group)
    }

    /// Decodes a record; `None` if the entry is of another kind or can't be decoded.
    #[must_use]
    pub fn read(entry: &store::Entry) -> Option<Self> {
        if !entry.key.starts_with(PREFIX) {
            return None;
        }
        match serde_json::from_slice(&entry.value) {
            Ok(intent) => Some(intent),
            Err(error) => {
                tracing::error!(key = %entry.key, %error, "cannot decode the record of a promotion");
                None
            }
        }
    }

    /// The process to be promoted.
    #[must_use]
    pub fn process(&self) -> promotion::Process {
        (self.candidate.clone(), self.born)
    }

    /// Whether this is the same promotion, possibly recorded again.
    #[must_use]
    pub fn is_same_as(&self, other: &Self) -> bool {
        let place = other.place;
        Self {
            place,
            ..self.clone()
        } == *other
    }

    /// Determines the outcome of the promotion from the answers of the listed instances.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{intent, status, upstream};
    /// let intent = intent::Intent {
    ///     group: "bookings".into(),
    ///     candidate: "b".into(),
    ///     born: 0,
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     received: Stamp::new(1, 7),
    ///     place: intent::Place::default(),
    /// };
    /// let report = |id: &str, role, term| status::Report {
    ///     id: id.into(),
    ///     status: upstream::Status { role, term, received: Stamp::new(1, 7), held: 0, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let listed = ["a".into(), "b".into(), "c".into()];
    /// let old = report("a", Role::Primary, 1);
    /// let leads = report("b", Role::Primary, 2);
    /// let waits = report("b", Role::Replica, 1);
    /// assert!(matches!(intent.outcome(&[old.clone(), leads], &listed), intent::Outcome::Leads(_)));
    /// assert_eq!(intent.outcome(&[old.clone(), waits], &listed), intent::Outcome::Open);
    /// assert_eq!(intent.outcome(&[old], &listed), intent::Outcome::Silent);
    /// assert_eq!(intent.outcome(&[], &listed), intent::Outcome::Unknown);
    /// assert_eq!(intent.outcome(&[], &listed[..1]), intent::Outcome::Void);
    /// ```
    #[must_use]
    pub fn outcome(&self, reports: &[status::Report], listed: &[upstream::Id]) -> Outcome {
        if let Some(leader) = status::latest_leader(reports, self.term) {
            return Outcome::Leads(leader);
        }
        // The candidate was a replica when it was ordered.
        let own = reports.iter().find(|report| report.id == self.candidate);
        if let Some(report) = own.filter(|report| report.status.role == role::Role::Primary) {
            return Outcome::Leads(report.leader());
        }
        let answers = |id: &upstream::Id| reports.iter().any(|report| report.id == *id);
        if !listed.contains(&self.candidate) {
            return Outcome::Void;
        }
        if answers(&self.candidate) {
            return Outcome::Open;
        }
        // A replaced primary that is no longer listed has ended and can't have acknowledged
        // anything since.
        let old = self.old.as_ref().filter(|old| listed.contains(old));
        if old.is_none_or(answers) {
            Outcome::Silent
        } else {
            Outcome::Unknown
        }
    }
}
