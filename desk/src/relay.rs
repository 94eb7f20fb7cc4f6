//! One node's connections, lent to another.
//!
//! A relayed connection looks like one to the instance. The lending node keeps what was
//! set and prepared on it, and takes a connection of its own only while statements run or
//! a transaction is open: hundreds of relayed connections share a handful.

use std::cell;
use std::collections;
use std::io;
use std::pin;
use std::rc;
use std::time;

use async_net::TcpStream;
use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::stamp;

use crate::boot;
use crate::checkout;
use crate::message;
use crate::organisation;
use crate::pool;
use crate::question;
use crate::reply;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Longest wait for a connection that shows that the instance can be reached.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// An instance that answered this lately can be reached, be there a connection for the organisation
/// that asks or not: were crowding taken for a lost link, all nodes would look for other ways.
const RECENT_ANSWER: time::Duration = time::Duration::from_millis(500);

/// A connection within this process is suspected after this long without an answer: the wait for a
/// connection comes on top of what an instance itself may take.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(650);

/// A lending node tells each so often that it is at work: rarely enough that most statements are done
/// before.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// It does so for this long: what takes longer waits for an instance that may be silent, of which whoever
/// asked should think so too.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(400);

/// A lending node's answer to the opening of a relayed connection.
pub type Opened = Result<Option<stamp::Stamp>, upstream::Refusal>;

/// Follows the work of a node that wants to be told while it goes on.
pub const WANT_HEARTBEATS: u8 = 1;

/// What a lending node is asked to run.
#[derive(serde::Deserialize)]
struct Work {
    urgency: urgency::Urgency,
    organisation: organisation::Name,
    commands: Vec<upstream::Command>,
}

/// A lending node's answer to commands.
pub type Answer = Result<Vec<reply::Reply>, upstream::Failure>;

/// What one relayed connection has set, and the connection that it is on, if any.
pub struct Session {
    pool: rc::Rc<pool::Pool>,
    /// For whom it was last used.
    organisation: organisation::Name,
    values: collections::BTreeMap<statement::Name, CompactString>,
    prepared: collections::BTreeMap<CompactString, statement::Shape>,
    pinned: Option<checkout::Checkout>,
}

impl Session {
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
        if self.pool.last_answer() + RECENT_ANSWER > now {
            return Ok(Some(self.pool.applied()));
        }
        let deadline = now + OPEN_TIMEOUT;
        match self
            .pool
            .lend(
                urgency::Urgency::immediate(deadline),
                &self.organisation,
                &self.values,
                deadline,
            )
            .await
        {
            Ok(_) => Ok(Some(self.pool.applied())),
            // All connections are busy; the instance is well if it answers on them.
            Err(pool::Shortage::Late) if self.pool.last_answer() + OPEN_TIMEOUT > boot::now() => {
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
        self.switch_organisation(organisation)?;
        let mut replies = Vec::with_capacity(commands.len());
        let mut started = false;
        for command in commands {
            if let Some(reply) = self.apply_locally(command) {
                replies.push(reply);
                continue;
            }
            let forwarded = self.forward(command, urgency).await;
            let reply = forwarded.map_err(|failure| upstream::Failure {
                sent: failure.sent || started,
                ..failure
            })?;
            started = true;
            replies.push(reply);
        }
        Ok(replies)
    }

    // What was set for one organisation is nothing to another, and an open transaction is nobody
    // else's.
    fn switch_organisation(
        &mut self,
        organisation: &organisation::Name,
    ) -> Result<(), upstream::Failure> {
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
    fn apply_locally(&mut self, command: &upstream::Command) -> Option<reply::Reply> {
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
        let in_transaction = self.pinned.is_some();
        let state = if in_transaction {
            reply::State::Open
        } else {
            reply::State::Idle
        };
        Some(reply::Reply::done(state))
    }

    async fn forward(
        &mut self,
        command: &upstream::Command,
        urgency: urgency::Urgency,
    ) -> Result<reply::Reply, upstream::Failure> {
        let in_transaction = self.pinned.is_some();
        let mut checkout = match self.pinned.take() {
            Some(checkout) => checkout,
            None => self.check_out(urgency).await?,
        };
        let shape = match command {
            upstream::Command::Execute { handle, .. } => {
                self.prepared.get(handle).map(|shape| (handle, shape))
            }
            _ => None,
        };
        checkout.set_urgency(urgency);
        let mut commands = checkout.setup_commands(&self.values, shape, in_transaction);
        commands.push(command.clone());
        let mut replies = checkout.run(&commands, urgency.awaited).await?;
        let reply = replies.pop().ok_or_else(|| upstream::Failure {
            sent: true,
            crowded: false,
            detail: "no answer".into(),
        })?;
        if reply.code() == Some(&reply::Code::NoStatement) {
            checkout.forget();
        }
        if reply.state != reply::State::Idle {
            self.pinned = Some(checkout);
        }
        Ok(reply)
    }

    async fn check_out(
        &self,
        urgency: urgency::Urgency,
    ) -> Result<checkout::Checkout, upstream::Failure> {
        let checkout = self
            .pool
            .lend(urgency, &self.organisation, &self.values, urgency.until)
            .await;
        checkout.map_err(|shortage| upstream::Failure {
            sent: false,
            crowded: shortage == pool::Shortage::Late,
            detail: compact_str::format_compact!(
                "the lending node has no connection: {shortage:?}"
            ),
        })
    }
}

impl Drop for Session {
    // The far end is gone in the middle of a transaction: closing the connection rolls back.
    fn drop(&mut self) {
        if let Some(checkout) = &mut self.pinned {
            checkout.discard();
        }
    }
}

/// A relayed connection within this process.
pub struct Local(pub Session);

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
        SILENCE_TIMEOUT
    }
}

/// Finds the pool of an instance.
type FindPool = dyn Fn(&upstream::Target) -> rc::Rc<pool::Pool>;

/// Answers a question of another node.
type Handler = dyn Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer>;

/// Lends connections to other nodes, and answers their questions.
pub struct Server {
    find_pool: Box<FindPool>,
    handler: cell::RefCell<Option<rc::Rc<Handler>>>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    busy: cell::Cell<usize>,
}

impl Server {
    /// A server that lends from the pools that `find_pool` gives.
    #[must_use]
    pub fn new(
        find_pool: impl Fn(&upstream::Target) -> rc::Rc<pool::Pool> + 'static,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            find_pool: Box::new(find_pool),
            handler: cell::RefCell::default(),
            executor,
            busy: cell::Cell::default(),
        })
    }

    /// Answers questions from now on, as `handler` does.
    pub fn set_question_handler(
        &self,
        handler: impl Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer>
        + 'static,
    ) {
        self.handler.replace(Some(rc::Rc::new(handler)));
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
        const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
        let listener = async_net::TcpListener::bind(address).await?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = rc::Rc::clone(&self);
                    self.executor
                        .spawn(server.handle_connection(stream))
                        .detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "node not accepted");
                    wait::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_connection(self: rc::Rc<Self>, mut stream: TcpStream) {
        if let Err(error) = self.serve_connection(&mut stream).await
            && error.kind() != io::ErrorKind::UnexpectedEof
        {
            tracing::debug!(%error, "relayed connection ended");
        }
    }

    async fn serve_connection(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match message::receive_opening(stream).await? {
            message::Opening::Relay(length) => self.relay(stream, length).await,
            message::Opening::Questions => self.answer_questions(stream).await,
        }
    }

    async fn answer_questions(&self, stream: &mut TcpStream) -> io::Result<()> {
        loop {
            let question: question::Question = message::receive(stream).await?;
            let handler = self.handler.borrow().clone();
            let answer = match handler {
                Some(handler) => handler(question).await,
                None => question::Answer::Nothing,
            };
            message::send(stream, &answer).await?;
        }
    }

    async fn relay(&self, stream: &mut TcpStream, length: u32) -> io::Result<()> {
        let target: upstream::Target = message::receive_body(stream, length).await?;
        let mut session = Session::new((self.find_pool)(&target), target.organisation.clone());
        let opened = session.open().await;
        message::send(stream, &opened).await?;
        if opened.is_err() {
            return Ok(());
        }
        loop {
            let (work, trailer) = message::receive_with_trailer::<Work>(stream).await?;
            self.busy.set(self.busy.get() + 1);
            let urgency = work.urgency.to_absolute();
            let answer = {
                // Pinned here: handed on by value, its state would be kept several times.
                let run = session.run(&work.commands, urgency, &work.organisation);
                let run = pin::pin!(run);
                match trailer {
                    Some(WANT_HEARTBEATS) => run_with_heartbeats(run, stream).await,
                    _ => run.await,
                }
            };
            self.busy.set(self.busy.get() - 1);
            message::send(stream, &answer).await?;
        }
    }
}

// Tells whoever asked that the work goes on: its silence then means that the connection, or this node,
// is dead.
async fn run_with_heartbeats(
    mut run: pin::Pin<&mut impl Future<Output = Answer>>,
    stream: &mut TcpStream,
) -> Answer {
    let until = boot::now() + HEARTBEAT_PERIOD;
    while boot::now() < until {
        if let Some(answer) = wait::within(HEARTBEAT_INTERVAL, run.as_mut()).await {
            return answer;
        }
        if let Err(error) = message::send_heartbeat(stream).await {
            tracing::debug!(%error, "nobody awaits a relayed statement any more");
            break;
        }
    }
    run.await
}
