//! Runs other nodes' statements over this node's connections to instances.
//!
//! To its user a relayed connection behaves like a direct connection to the instance. The relaying
//! node keeps the values and prepared statements of each relayed connection, and checks out a
//! pooled connection only while statements run or a transaction is open. Hundreds of relayed
//! connections can therefore share a few connections to the instance.

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
use crate::lifecycle;
use crate::load::report;
use crate::load::throttle;
use crate::message;
use crate::organisation;
use crate::phase;
use crate::pool;
use crate::question;
use crate::reply;
use crate::shortage;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Longest wait for a pooled connection when a relayed connection is opened.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// An instance that answered within this time counts as reachable, even if no connection is free
/// for the organisation that asks. If congestion counted as a lost link, all nodes would try
/// another route.
const RECENT_ANSWER: time::Duration = time::Duration::from_millis(500);

/// An instance behind a connection within this process is suspected after this long without an
/// answer. Covers the wait for a pooled connection besides the time that the instance may take.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(650);

/// Interval of the heartbeats that a relaying node sends while commands run. Long enough that most
/// statements finish before the first heartbeat.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// Heartbeats stop after this long. Commands that take longer may be waiting for a silent instance,
/// and the requesting node has to suspect it too.
const MAX_HEARTBEAT_DURATION: time::Duration = time::Duration::from_millis(400);

/// Why a stopping node relays nothing new.
const STOPPING: &str = "the relaying node is stopping";

/// A relaying node's answer to the opening of a relayed connection: the instance's log position if
/// it is known.
pub type Opened = Result<Option<stamp::Stamp>, upstream::Refusal>;

/// Trailing byte of a request whose sender wants heartbeats while the commands run.
pub const HEARTBEAT_REQUEST: u8 = 1;

/// Trailing byte of a request whose sender wants heartbeats and load reports. Sent only to nodes
/// that know it: earlier ones would send no heartbeats.
pub const REPORT_REQUEST: u8 = 2;

/// A request to run commands; the sending side is `WorkRef` in [`crate::lending::remote`].
#[derive(serde::Deserialize)]
struct Work {
    urgency: urgency::Urgency,
    organisation: organisation::Name,
    commands: Vec<upstream::Command>,
}

/// A relaying node's answer to commands.
pub type Answer = Result<Vec<reply::Reply>, upstream::Failure>;

/// State of one relayed connection: its values, its prepared statements, and the pooled connection
/// of its open transaction, if any.
pub struct Session {
    pool: rc::Rc<pool::Pool>,
    /// The organisation that last used it.
    organisation: organisation::Name,
    values: collections::BTreeMap<statement::Name, CompactString>,
    prepared: collections::BTreeMap<CompactString, statement::Shape>,
    pinned: Option<checkout::Checkout>,
}

impl Session {
    /// Creates a relayed connection without values or prepared statements.
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

    /// The load of the instance, if this node reports it.
    #[must_use]
    pub fn load_report(&self) -> Option<report::Report> {
        let reports = self.pool.options().load_reports;
        reports.then(|| self.pool.load_report())
    }

    /// Whether a transaction is open.
    #[must_use]
    pub const fn in_transaction(&self) -> bool {
        self.pinned.is_some()
    }

    /// Checks that the instance can be reached and returns its last known log position.
    ///
    /// # Errors
    /// Returns an error if this node cannot reach the instance, or gets no connection from it.
    pub async fn open(&self) -> Opened {
        let now = boot::now();
        if self.pool.last_answer() + RECENT_ANSWER > now {
            return Ok(Some(self.pool.applied()));
        }
        let deadline = now + OPEN_TIMEOUT;
        match self
            .pool
            .check_out(
                urgency::Urgency::immediate(deadline),
                &self.organisation,
                &self.values,
                deadline,
            )
            .await
        {
            Ok(_) => Ok(Some(self.pool.applied())),
            // All connections are busy; the instance is reachable if it has answered recently.
            Err(shortage::Shortage::Late)
                if self.pool.last_answer() + OPEN_TIMEOUT > boot::now() =>
            {
                Ok(Some(self.pool.applied()))
            }
            Err(shortage::Shortage::Full) => Err(upstream::Refusal::Full),
            Err(_) if self.pool.is_closed() => Err(upstream::Refusal::Closed),
            Err(_) => Err(upstream::Refusal::Silent("out of reach".into())),
        }
    }

    /// Runs commands as an instance would, until the deadlines in `urgency`.
    ///
    /// The requesting node gives up at these deadlines and asks another node. Without them, a
    /// statement that still waited here would occupy an instance's slot for nothing, and one whose
    /// answer was lost would keep its permit: a few lost answers would then block the instance for
    /// all requests through this node.
    ///
    /// # Errors
    /// Returns an error if the instance's answer is lost, the commands cannot start in time, or a
    /// transaction of another organisation is open. [`upstream::Failure::sent`] is set if any
    /// command of the batch may have run.
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

    // Values and prepared statements belong to one organisation, and so does an open transaction.
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

    // Records a command that changes values or prepared statements, and answers it. The commands
    // are sent to an instance when a statement needs them.
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
            None => self.check_out_for(command, urgency).await?,
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

    // A transaction takes a place first, so that one which waits for it keeps no connection.
    async fn check_out_for(
        &self,
        command: &upstream::Command,
        urgency: urgency::Urgency,
    ) -> Result<checkout::Checkout, upstream::Failure> {
        let place = match command {
            upstream::Command::Begin { .. } => self.pool.begin(urgency, &self.organisation).await?,
            _ => None,
        };
        let mut checkout = self.check_out(urgency).await?;
        checkout.occupy(place);
        Ok(checkout)
    }

    async fn check_out(
        &self,
        urgency: urgency::Urgency,
    ) -> Result<checkout::Checkout, upstream::Failure> {
        let checkout = self
            .pool
            .check_out(urgency, &self.organisation, &self.values, urgency.until)
            .await;
        checkout.map_err(shortage::Shortage::into_failure)
    }
}

impl Drop for Session {
    // The requesting node has disconnected during a transaction; closing the connection rolls it
    // back.
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

    fn serves_any_organisation(&self) -> bool {
        true
    }

    fn alive(&mut self) -> bool {
        true
    }

    // The session records values without sending them, and sets them before a statement runs.
    fn set_always_succeeds(&self) -> bool {
        true
    }

    fn silence_timeout(&self) -> time::Duration {
        SILENCE_TIMEOUT
    }
}

/// Returns the pool of an instance.
type FindPool = dyn Fn(&upstream::Target) -> rc::Rc<pool::Pool>;

/// Answers a question of another node.
type Handler = dyn Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer>;

/// Relays statements of other nodes to instances, and answers other nodes' questions.
pub struct Server {
    find_pool: Box<FindPool>,
    handler: cell::RefCell<Option<rc::Rc<Handler>>>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    lifecycle: rc::Rc<lifecycle::Lifecycle>,
    busy: cell::Cell<usize>,
}

impl Server {
    /// Creates a server that uses the connections of the pools that `find_pool` returns.
    #[must_use]
    pub fn new(
        find_pool: impl Fn(&upstream::Target) -> rc::Rc<pool::Pool> + 'static,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        lifecycle: rc::Rc<lifecycle::Lifecycle>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            find_pool: Box::new(find_pool),
            handler: cell::RefCell::default(),
            executor,
            lifecycle,
            busy: cell::Cell::default(),
        })
    }

    /// Sets the handler of questions. Without a handler, each answer is
    /// [`question::Answer::Nothing`].
    pub fn set_question_handler(
        &self,
        handler: impl Fn(question::Question) -> future::LocalBoxFuture<'static, question::Answer>
        + 'static,
    ) {
        self.handler.replace(Some(rc::Rc::new(handler)));
    }

    /// Returns the number of relayed connections on which commands run or wait.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Binds the address and accepts connections of other nodes; never returns once bound.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn serve(self: rc::Rc<Self>, address: std::net::SocketAddr) -> io::Result<()> {
        /// Pause after a failed accept, usually because file descriptors ran out.
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
                    tracing::warn!(%error, "cannot accept a connection from a node");
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

    fn refuses_work(&self, session: &Session) -> bool {
        let last = if session.in_transaction() {
            phase::Phase::Closing
        } else {
            phase::Phase::Leaving
        };
        self.lifecycle.phase() > last
    }

    async fn relay(&self, stream: &mut TcpStream, length: u32) -> io::Result<()> {
        let target: upstream::Target = message::receive_body(stream, length).await?;
        if self.lifecycle.phase() > phase::Phase::Serving {
            let refused: Opened = Err(upstream::Refusal::Silent(STOPPING.into()));
            return message::send(stream, &refused).await;
        }
        let mut session = Session::new((self.find_pool)(&target), target.organisation.clone());
        let opened = session.open().await;
        message::send(stream, &opened).await?;
        if opened.is_err() {
            return Ok(());
        }
        let mut throttle = throttle::Throttle::default();
        loop {
            let (work, trailer) = message::receive_with_trailer::<Work>(stream).await?;
            if self.refuses_work(&session) {
                tracing::info!(instance = %target.id, in_transaction = session.in_transaction(), "relayed commands refused");
                return message::send(stream, &refuse_work()).await;
            }
            self.busy.set(self.busy.get() + 1);
            let urgency = work.urgency.to_absolute();
            let answer = {
                // Pinned here: passed by value, the future's state would be stored several times.
                let run = session.run(&work.commands, urgency, &work.organisation);
                let run = pin::pin!(run);
                match trailer {
                    Some(HEARTBEAT_REQUEST | REPORT_REQUEST) => {
                        run_with_heartbeats(run, stream).await
                    }
                    _ => run.await,
                }
            };
            self.busy.set(self.busy.get() - 1);
            let report = (trailer == Some(REPORT_REQUEST))
                .then(|| session.load_report())
                .flatten()
                .and_then(|report| throttle.due(report, boot::now()));
            match report {
                Some(report) => message::send(stream, &(&answer, report)).await?,
                None => message::send(stream, &answer).await?,
            }
        }
    }
}

// The requesting node runs refused commands through another node, as they were not sent. What would
// be in progress when this process exits could only be reported as unknown there.
fn refuse_work() -> Answer {
    Err(upstream::Failure {
        sent: false,
        crowded: false,
        detail: STOPPING.into(),
    })
}

// Awaits the commands and sends heartbeats meanwhile, so that the requesting node can take silence
// for a failure of the connection or of this node.
async fn run_with_heartbeats(
    mut run: pin::Pin<&mut impl Future<Output = Answer>>,
    stream: &mut TcpStream,
) -> Answer {
    let until = boot::now() + MAX_HEARTBEAT_DURATION;
    while boot::now() < until {
        if let Some(answer) = wait::within(HEARTBEAT_INTERVAL, run.as_mut()).await {
            return answer;
        }
        if let Err(error) = message::send_heartbeat(stream).await {
            tracing::debug!(%error, "cannot send a heartbeat for a relayed statement");
            break;
        }
    }
    run.await
}
