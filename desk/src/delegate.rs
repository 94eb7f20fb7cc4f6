//! Floors that few nodes keep for the others of their failure domain.
//!
//! The load that this answers: a hundred nodes before twenty groups, so that a node has one read of a
//! group in two seconds. Each read then needs a floor of its own: two questions to instances, and a
//! position as new as the read, which no replica has applied yet. One node of the failure domain
//! that keeps the group's floors asks once for all, and gives each the lowest that will do.

use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::member;
use crate::serving;

/// A keeper waits this long for a floor of its own; whoever asks has given up by then.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A question for a floor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The group.
    pub group: id::Group,
    /// The floor has to cover all commits that were acknowledged longer ago than this.
    ///
    /// An age, as no clock is shared: what the question takes on its way makes the keeper's
    /// moment a later one, and the floor cover more than needed.
    pub within: time::Duration,
}

/// A floor, as a keeper tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Term of the primary that led then.
    pub term: id::Term,
    /// Position that holds all commits acknowledged up to that moment.
    pub stamp: stamp::Stamp,
    /// How long the moment was over when the question arrived; none where it came later.
    pub ago: time::Duration,
}

impl Response {
    /// The floor's moment on the clock of the node that sent the question at `sent`: no later than
    /// the true one, as the question arrived after it was sent.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::delegate;
    /// use std::time::Duration;
    /// let response = delegate::Response { term: 2, stamp: Stamp::new(2, 7), ago: Duration::from_millis(300) };
    /// assert_eq!(response.moment(Duration::from_secs(9)), Duration::from_millis(8700));
    /// ```
    #[must_use]
    pub const fn moment(&self, sent: id::Time) -> id::Time {
        sent.saturating_sub(self.ago)
    }
}

/// The node that keeps a group's floors for the failure domain of `own`; none where that is `own`
/// itself, or nobody else is there.
///
/// ```
/// use mangotray_desk::{delegate, member};
/// let member = |name: &str, domain: &str| member::Member {
///     name: name.into(),
///     domain: domain.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
/// };
/// let members = [member("a", "here"), member("b", "here"), member("c", "there")];
/// let delegate = |own: &str| delegate::choose(&members, &"bookings".into(), &own.into(), |_| true);
/// assert_eq!(delegate("c"), None);
/// assert_ne!(delegate("a").is_some(), delegate("b").is_some());
/// ```
#[must_use]
pub fn choose(
    members: &[member::Member],
    group: &id::Group,
    own: &id::Vm,
    may_ask: impl Fn(&id::Vm) -> bool,
) -> Option<member::Member> {
    let domain = &members.iter().find(|member| member.name == *own)?.domain;
    let order = serving::order(members, group, domain);
    let mut near = order.into_iter().filter(|member| member.domain == *domain);
    let delegate = near.find(|member| member.name == *own || may_ask(&member.name))?;
    (delegate.name != *own).then(|| delegate.clone())
}
