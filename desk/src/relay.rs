//! One node's connections, lent to another.
//!
//! A relayed connection looks like one to the instance. The lending node keeps what was
//! set and prepared on it, and takes a connection of its own only while statements run or
//! a transaction is open: hundreds of relayed connections share a handful.

use std::cell;
use std::collections;
use std::io;
use std::rc;
use std::time;

use async_net::TcpStream;
use compact_str::CompactString;
use futures_lite::future as poll;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::lent;
use crate::message;
use crate::organisation;
use crate::pool;
use crate::question;
use crate::reply;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Longest wait for another node to accept a connection, which its system does even while the
/// node is busy: a few ways there and back. A node that is gone for good stays listed; after
/// a restart of all nodes each of them asks it first for some instance, and knew only
/// 350 ms later that it has to ask another.
const CONNECT: time::Duration = time::Duration::from_millis(80);

/// Longest wait for a connection that shows that the instance can be reached.
const OPEN_LIMIT: time::Duration = time::Duration::from_millis(250);

/// An instance that answered this lately can be reached, be there a connection for the organisation
/// that asks or not: were crowding taken for a lost link, all nodes would look for other ways.
const OPEN_FRESH: time::Duration = time::Duration::from_millis(500);

/// A relayed connection is suspected after this long without an answer: the wait for a
/// connection comes on top of what an instance itself may take.
const SILENCE: time::Duration = time::Duration::from_millis(650);

/// A lending node's answer to the opening of a relayed connection.
pub type Opened = Result<Option<stamp::Stamp>, upstream::Refusal>;

/// What a lending node is asked to run.
#[derive(serde::Deserialize)]
struct Work {
    urgency: urgency::Urgency,
    organisation: organisation::Name,
    commands: Vec<upstream::Command>,
}

/// The same, as it is sent.
#[derive(serde::Serialize)]
struct WorkRef<'a> {
    urgency: urgency::Urgency,
    organisation: &'a organisation::Name,
    commands: &'a [upstream::Command],
}

/// A lending node's answer to commands.
type Answer = Result<Vec<reply::Reply>, upstream::Failure>;

/// What one relayed connection has set, and the connection that it is on, if any.
pub struct Lender {
    pool: rc::Rc<pool::Pool>,
    /// For whom it was last used.
    organisation: organisation::Name,
    values: collections::BTreeMap<statement::Name, CompactString>,
    prepared: collections::BTreeMap<CompactString, statement::Shape>,
    pinned: Option<lent::Lent>,
}

impl Lender {
    /// A relayed connection on which nothing is set.
    #[must_use]
    pub const fn new(pool: rc::Rc<pool::Pool>, organisation: organisation::Name) -> Self {
        Self {
            pool,
            organisation,
            values: collections::BTreeMap::new(),
            prepared: collections::BTreeMap::new(),
            pinned: None,
        }
    }

    /// Whether the instance can be reached, and where its log stands.
    ///
    /// # Errors
    /// When this node cannot reach the instance either.
    pub async fn open(&self) -> Opened {
        let now = boot::now();
        if self.pool.answered() + OPEN_FRESH > now {
            return Ok(Some(self.pool.applied()));
        }
        let deadline = now + OPEN_LIMIT;
        match self
            .pool
            .lend(
                urgency::Urgency::now(deadline),
                &self.organisation,
                &self.values,
                deadline,
            )
            .await
        {
            Ok(_) => Ok(Some(self.pool.applied())),
            // All connections are busy; the instance is well if it answers on them.
            Err(pool::Shortage::Late) if self.pool.answered() + OPEN_LIMIT > boot::now() => {
                Ok(Some(self.pool.applied()))
            }
            Err(pool::Shortage::Full) => Err(upstream::Refusal::Full),
            Err(_) if self.pool.is_closed() => Err(upstream::Refusal::Closed),
            Err(_) => Err(upstream::Refusal::Silent("out of reach".into())),
        }
    }

    /// Runs commands as an instance would, as long as somebody awaits their answers.
    ///
    /// Whoever asked gives up, and asks elsewhere. A statement that still waited here would
    /// take an instance's slot for nothing, and one whose answer was lost would keep its
    /// turn: a few lost answers then shut the instance for all that this node serves.
    ///
    /// # Errors
    /// When the instance's answer is lost, or the commands could not begin in time.
    pub async fn run(
        &mut self,
        commands: &[upstream::Command],
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
    ) -> Answer {
        self.turn_to(organisation)?;
        let mut replies = Vec::with_capacity(commands.len());
        let mut begun = false;
        for command in commands {
            if let Some(reply) = self.note(command) {
                replies.push(reply);
                continue;
            }
            let passed = self.pass(command, urgency).await;
            let reply = passed.map_err(|failure| upstream::Failure {
                sent: failure.sent || begun,
                ..failure
            })?;
            begun = true;
            replies.push(reply);
        }
        Ok(replies)
    }

    // What was set for one organisation is nothing to another, and an open transaction is nobody
    // else's.
    fn turn_to(&mut self, organisation: &organisation::Name) -> Result<(), upstream::Failure> {
        if self.organisation == *organisation {
            return Ok(());
        }
        if self.pinned.is_some() {
            return Err(upstream::Failure {
                sent: false,
                crowded: false,
                detail: "a transaction of another organisation is open".into(),
            });
        }
        self.organisation.clone_from(organisation);
        self.values.clear();
        self.prepared.clear();
        Ok(())
    }

    // Answers a command that sets something, which is done when a statement needs it.
    fn note(&mut self, command: &upstream::Command) -> Option<reply::Reply> {
        match command {
            upstream::Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            upstream::Command::Prepare { handle, shape } => {
                self.prepared.insert(handle.clone(), shape.clone());
            }
            upstream::Command::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            _ => return None,
        }
        let inside = self.pinned.is_some();
        let state = if inside {
            reply::State::Open
        } else {
            reply::State::Idle
        };
        Some(reply::Reply::done(state))
    }

    async fn pass(
        &mut self,
        command: &upstream::Command,
        urgency: urgency::Urgency,
    ) -> Result<reply::Reply, upstream::Failure> {
        let inside = self.pinned.is_some();
        let mut lent = match self.pinned.take() {
            Some(lent) => lent,
            None => self.lend(urgency).await?,
        };
        let shape = match command {
            upstream::Command::Execute { handle, .. } => {
                self.prepared.get(handle).map(|shape| (handle, shape))
            }
            _ => None,
        };
        lent.urge(urgency);
        let mut commands = lent.prelude(&self.values, shape, inside);
        commands.push(command.clone());
        let mut replies = lent.run(&commands, urgency.awaited).await?;
        let reply = replies.pop().ok_or_else(|| upstream::Failure {
            sent: true,
            crowded: false,
            detail: "no answer".into(),
        })?;
        if reply.code() == Some(&reply::Code::NoStatement) {
            lent.forget();
        }
        if reply.state != reply::State::Idle {
            self.pinned = Some(lent);
        }
        Ok(reply)
    }

    async fn lend(&self, urgency: urgency::Urgency) -> Result<lent::Lent, upstream::Failure> {
        let lent = self
            .pool
            .lend(urgency, &self.organisation, &self.values, urgency.until)
            .await;
        lent.map_err(|shortage| upstream::Failure {
            sent: false,
            crowded: shortage == pool::Shortage::Late,
            detail: compact_str::format_compact!(
                "the lending node has no connection: {shortage:?}"
            ),
        })
    }
}

impl Drop for Lender {
    // The far end is gone in the middle of a transaction: closing the connection rolls back.
    fn drop(&mut self) {
        if let Some(lent) = &mut self.pinned {
            lent.discard();
        }
    }
}

/// A relayed connection within this process.
pub struct Local(pub Lender);

impl upstream::Connection for Local {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Answer> {
        self.0.run(commands, urgency, organisation).boxed_local()
    }

    fn serves_any(&self) -> bool {
        true
    }

    fn alive(&mut self) -> bool {
        true
    }

    // The lending node notes values, and sets them before it runs a statement.
    fn sets_surely(&self) -> bool {
        true
    }

    fn silence(&self) -> time::Duration {
        SILENCE
    }
}

/// A relayed connection through another node, of use until a time if one is set.
struct Remote {
    stream: TcpStream,
    until: Option<id::Time>,
}

impl upstream::Connection for Remote {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Answer> {
        async move {
            let work = WorkRef {
                urgency: urgency.leave(),
                organisation,
                commands,
            };
            let exchange = async {
                message::send(&mut self.stream, &work).await?;
                message::receive::<Answer>(&mut self.stream).await
            };
            exchange.await.unwrap_or_else(|error| {
                Err(upstream::Failure {
                    sent: true,
                    crowded: false,
                    detail: compact_str::format_compact!("lending node lost: {error}"),
                })
            })
        }
        .boxed_local()
    }

    fn alive(&mut self) -> bool {
        let mut byte = [0];
        let fresh = self.until.is_none_or(|until| boot::now() < until);
        // Nothing may come unasked: bytes or an end of stream both make it useless.
        fresh && poll::block_on(poll::poll_once(self.stream.peek(&mut byte))).is_none()
    }

    fn serves_any(&self) -> bool {
        true
    }

    // The lending node notes values, and sets them before it runs a statement.
    fn sets_surely(&self) -> bool {
        true
    }

    fn silence(&self) -> time::Duration {
        SILENCE
    }
}

/// Opens a connection to an instance through the node at `address`, of use for `lifetime`.
///
/// The inner result is what that node answered.
///
/// # Errors
/// When the node itself is not there.
pub async fn dial(
    address: std::net::SocketAddr,
    target: &upstream::Target,
    lifetime: Option<time::Duration>,
) -> io::Result<Result<upstream::Dialled, upstream::Refusal>> {
    let connected = wait::within(CONNECT, TcpStream::connect(address)).await;
    let mut stream = connected.ok_or(io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    message::send(&mut stream, target).await?;
    let opened = message::receive::<Opened>(&mut stream).await?;
    let until = lifetime.map(|lifetime| boot::now() + lifetime);
    Ok(opened.map(|stamp| {
        let remote: Box<dyn upstream::Connection> = Box::new(Remote { stream, until });
        (remote, stamp)
    }))
}

/// Finds the pool of an instance.
type Find = dyn Fn(&upstream::Target) -> rc::Rc<pool::Pool>;

/// Answers a question of another node.
type Tell = dyn Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer>;

/// Lends connections to other nodes, and answers their questions.
pub struct Server {
    find: Box<Find>,
    tell: cell::RefCell<Option<rc::Rc<Tell>>>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    busy: cell::Cell<usize>,
}

impl Server {
    /// A server that lends from the pools that `find` gives.
    #[must_use]
    pub fn new(
        find: impl Fn(&upstream::Target) -> rc::Rc<pool::Pool> + 'static,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            find: Box::new(find),
            tell: cell::RefCell::default(),
            executor,
            busy: cell::Cell::default(),
        })
    }

    /// Answers questions from now on, as `tell` does.
    pub fn answer_by(
        &self,
        tell: impl Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer> + 'static,
    ) {
        self.tell.replace(Some(rc::Rc::new(tell)));
    }

    /// Relayed connections on which a statement runs now.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Binds the address and serves for ever.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn serve(self: rc::Rc<Self>, address: std::net::SocketAddr) -> io::Result<()> {
        /// Pause after a failed accept, which mostly means that descriptors ran out.
        const PAUSE: time::Duration = time::Duration::from_millis(50);
        let listener = async_net::TcpListener::bind(address).await?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = rc::Rc::clone(&self);
                    self.executor.spawn(server.talk(stream)).detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "node not accepted");
                    wait::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn talk(self: rc::Rc<Self>, mut stream: TcpStream) {
        if let Err(error) = self.serve_one(&mut stream).await
            && error.kind() != io::ErrorKind::UnexpectedEof
        {
            tracing::debug!(%error, "relayed connection ended");
        }
    }

    async fn serve_one(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match message::opening(stream).await? {
            message::Opening::Relay(length) => self.lend(stream, length).await,
            message::Opening::Questions => self.tell(stream).await,
        }
    }

    async fn tell(&self, stream: &mut TcpStream) -> io::Result<()> {
        loop {
            let question: question::Question = message::receive(stream).await?;
            let tell = self.tell.borrow().clone();
            let answer = match tell {
                Some(tell) => tell(question).await,
                None => question::Answer::Nothing,
            };
            message::send(stream, &answer).await?;
        }
    }

    async fn lend(&self, stream: &mut TcpStream, length: u32) -> io::Result<()> {
        let target: upstream::Target = message::body(stream, length).await?;
        let mut lender = Lender::new((self.find)(&target), target.organisation.clone());
        let opened = lender.open().await;
        message::send(stream, &opened).await?;
        if opened.is_err() {
            return Ok(());
        }
        loop {
            let work: Work = message::receive(stream).await?;
            self.busy.set(self.busy.get() + 1);
            let urgency = work.urgency.arrive();
            let answer = lender
                .run(&work.commands, urgency, &work.organisation)
                .await;
            self.busy.set(self.busy.get() - 1);
            message::send(stream, &answer).await?;
        }
    }
}
