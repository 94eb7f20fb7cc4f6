//! Floors that few nodes keep for the others of their failure domain.
//!
//! The load that this answers: a hundred nodes before twenty groups, so that a node has one read of a
//! group in two seconds. Each read then needs a floor of its own: two questions to instances, and a
//! position as new as the read, which no replica has applied yet. One node of the failure domain
//! that keeps the group's floors asks once for all, and gives each the lowest that will do.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::time;

use async_net::TcpStream;
use futures_lite::future as poll;
use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::member;
use crate::message;
use crate::serving;
use crate::wait;

/// Longest wait for a keeper's answer, which looks at two instances at most. Then this node looks
/// itself, well within what a read may wait.
const LIMIT: time::Duration = time::Duration::from_millis(100);

/// A keeper waits this long for a floor of its own; whoever asks has given up by then.
pub const PATIENCE: time::Duration = time::Duration::from_millis(80);

/// A keeper that did not answer is not asked for this long, and the next one is: it is slow,
/// paused, dark or gone.
const PAUSE: time::Duration = time::Duration::from_secs(2);

/// Idle connections that are kept to one keeper.
const KEPT: usize = 2;

/// A question for a floor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ask {
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
pub struct Told {
    /// Term of the primary that led then.
    pub term: id::Term,
    /// Position that holds all commits acknowledged up to that moment.
    pub stamp: stamp::Stamp,
    /// How long the moment was over when the question arrived; none where it came later.
    pub ago: time::Duration,
}

impl Told {
    /// The floor's moment on the clock of the node that sent the question at `sent`: no later than
    /// the true one, as the question arrived after it was sent.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::keeper;
    /// use std::time::Duration;
    /// let told = keeper::Told { term: 2, stamp: Stamp::new(2, 7), ago: Duration::from_millis(300) };
    /// assert_eq!(told.moment(Duration::from_secs(9)), Duration::from_millis(8700));
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
/// use mangotray_desk::{keeper, member};
/// let member = |name: &str, domain: &str| member::Member {
///     name: name.into(),
///     domain: domain.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
/// };
/// let members = [member("a", "here"), member("b", "here"), member("c", "there")];
/// let keeper = |own: &str| keeper::of(&members, &"bookings".into(), &own.into(), |_| true);
/// assert_eq!(keeper("c"), None);
/// assert_ne!(keeper("a").is_some(), keeper("b").is_some());
/// ```
#[must_use]
pub fn of(
    members: &[member::Member],
    group: &id::Group,
    own: &id::Vm,
    may_ask: impl Fn(&id::Vm) -> bool,
) -> Option<member::Member> {
    let domain = &members.iter().find(|member| member.name == *own)?.domain;
    let order = serving::order(members, group, domain);
    let mut near = order.into_iter().filter(|member| member.domain == *domain);
    let keeper = near.find(|member| member.name == *own || may_ask(&member.name))?;
    (keeper.name != *own).then(|| keeper.clone())
}

/// Asks keepers.
#[derive(Default)]
pub struct Client {
    idle: cell::RefCell<collections::BTreeMap<net::SocketAddr, Vec<TcpStream>>>,
    avoided: cell::RefCell<collections::BTreeMap<id::Vm, id::Time>>,
}

impl Client {
    /// Whether a node is to be asked, as it did not fail to answer a moment ago.
    #[must_use]
    pub fn may_ask(&self, name: &id::Vm) -> bool {
        let avoided = self.avoided.borrow();
        avoided.get(name).is_none_or(|until| *until < boot::now())
    }

    /// Asks a keeper; none where it does not answer in time, or has no floor.
    pub async fn ask(&self, keeper: &member::Member, ask: &Ask) -> Option<Told> {
        let answered = wait::within(LIMIT, self.exchange(keeper.address, ask)).await;
        let failure = match answered {
            Some(Ok(told)) => return told,
            Some(Err(error)) => error,
            None => io::ErrorKind::TimedOut.into(),
        };
        tracing::info!(node = %keeper.name, group = %ask.group, %failure, "keeper does not answer");
        self.idle.borrow_mut().remove(&keeper.address);
        let until = boot::now() + PAUSE;
        self.avoided.borrow_mut().insert(keeper.name.clone(), until);
        None
    }

    async fn exchange(&self, address: net::SocketAddr, ask: &Ask) -> io::Result<Option<Told>> {
        let mut stream = match self.pop(address) {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        message::send(&mut stream, ask).await?;
        let told = message::receive(&mut stream).await?;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(stream);
        }
        Ok(told)
    }

    // Nothing may come unasked: bytes or an end of stream both make a connection useless.
    fn pop(&self, address: net::SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let mut byte = [0];
        while let Some(stream) = kept.pop() {
            if poll::block_on(poll::poll_once(stream.peek(&mut byte))).is_none() {
                return Some(stream);
            }
        }
        None
    }
}

async fn connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    message::open_floors(&mut stream).await?;
    Ok(stream)
}
