//! Delegates: nodes that determine floors on behalf of their failure domain.
//!
//! With a hundred nodes in front of twenty groups, a node has one read of a group in two seconds.
//! If each node determined floors by itself, each read would need a new one: status queries to two
//! instances, and a position as new as the read, which no replica has applied yet. Instead, one
//! node of the failure domain queries the instances for all of its nodes, and gives each the lowest
//! floor that suffices.

use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::lending::serving;
use crate::member;

/// How long a delegate waits for a floor; the requesting node has given up by then.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A request for a floor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The group to read from.
    pub group: id::Group,
    /// The floor has to cover all commits acknowledged longer ago than this.
    ///
    /// An age, as nodes share no clock: the transit time of the request makes the cutoff at the
    /// delegate later, so that the floor covers more than needed.
    pub within: time::Duration,
}

/// A delegate's answer to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Term of the primary at that moment.
    pub term: id::Term,
    /// Position that covers all commits acknowledged up to that moment.
    pub stamp: stamp::Stamp,
    /// Age of that moment when the request arrived; zero if the moment is later than that.
    pub ago: time::Duration,
}

impl Response {
    /// The moment up to which the floor covers commits, on the clock of the node that sent the
    /// request at `sent`: no later than the true moment, as the request arrived after it was sent.
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

/// The delegate for a group in the failure domain of `own`: the first node in the group's serving
/// order that `may_ask` permits. `None` if that is `own` itself or no such node exists.
///
/// ```
/// use mangotray_desk::{delegate, member};
/// let member = |name: &str, domain: &str| member::Member {
///     name: name.into(),
///     domain: domain.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     protocol: 0,
///     capacity: None,
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
