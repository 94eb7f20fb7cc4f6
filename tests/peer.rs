//! Forwarding between proxies over TCP sockets; each proxy has its own executor.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use futures_lite::future;
use futures_util::future::BoxFuture;
use futures_util::{SinkExt, StreamExt};
use mangotray::clock::Clock;
use mangotray::lane::{Factory, Lane};
use mangotray::outcome::Outcome;
use mangotray::reason::Reason;
use mangotray::{
    accept, batch, class, clock, dial, endpoint, evidence, forward, frame, hello, peer, reply,
    revision, spread, transaction,
};

const KEY: &str = "key of the installation";
/// Deadline of a request that a test expects to be answered or refused in time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any test runs, so that no connection times out.
const UNREACHED_TIMEOUT: Duration = Duration::from_mins(1);
/// Short enough for a test to wait for it.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const LARGE_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Over the limit of an answer.
const OVERSIZED_ANSWER_BYTES: usize = 65 * 1024 * 1024;

/// Records what the upstream of a served group does.
struct Upstream {
    name: &'static str,
    statements: sync::Mutex<Vec<String>>,
    lanes: atomic::AtomicUsize,
    hang_started: (async_channel::Sender<()>, async_channel::Receiver<()>),
    rollbacks: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Upstream {
    fn new(name: &'static str) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name,
            statements: sync::Mutex::default(),
            lanes: atomic::AtomicUsize::new(0),
            hang_started: async_channel::unbounded(),
            rollbacks: async_channel::unbounded(),
        })
    }

    fn statements(&self) -> Vec<String> {
        self.statements.lock().unwrap().clone()
    }
}

struct Session {
    upstream: sync::Arc<Upstream>,
    transaction: transaction::State,
}

impl Session {
    async fn answer(&mut self, batch: batch::Batch) -> peer::Answer {
        let text = String::from_utf8(batch.frames[0].body.to_vec()).unwrap();
        self.upstream.statements.lock().unwrap().push(text.clone());
        let mut body = bytes::Bytes::from(self.upstream.name);
        match text.as_str() {
            "hang" => {
                self.upstream.hang_started.0.send(()).await.unwrap();
                future::pending::<()>().await;
            }
            "large" => body = vec![7; LARGE_ANSWER_BYTES].into(),
            "too large" => body = vec![7; OVERSIZED_ANSWER_BYTES].into(),
            _ => {}
        }
        match batch.class {
            class::Class::Begin => self.transaction = transaction::State::Open,
            class::Class::Commit | class::Class::Rollback => {
                self.transaction = transaction::State::Idle;
            }
            _ => {}
        }
        Ok(reply::Reply {
            frames: vec![frame::Frame { tag: b'D', body }],
            transaction: self.transaction,
            stamp: None,
            error: None,
        })
    }
}

impl Lane for Session {
    fn run(&mut self, batch: batch::Batch) -> BoxFuture<'_, peer::Answer> {
        Box::pin(self.answer(batch))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.transaction != transaction::State::Idle {
            self.upstream.rollbacks.0.try_send(()).unwrap();
        }
    }
}

struct LaneFactory(sync::Arc<Upstream>);

impl Factory for LaneFactory {
    fn lane(&self, database: &str) -> Option<Box<dyn Lane>> {
        self.0.lanes.fetch_add(1, atomic::Ordering::Relaxed);
        (database == "shows").then(|| {
            Box::new(Session {
                upstream: self.0.clone(),
                transaction: transaction::State::Idle,
            }) as Box<dyn Lane>
        })
    }

    fn deadline(&self, _: &str) -> Duration {
        REQUEST_TIMEOUT
    }
}

struct Handler {
    factory: sync::Arc<LaneFactory>,
    announced_news: sync::Mutex<Vec<peer::News>>,
}

impl peer::Handler for Handler {
    fn lanes(&self) -> sync::Arc<dyn Factory> {
        self.factory.clone()
    }

    fn exchange(&self, digest: peer::Digest) -> BoxFuture<'_, peer::News> {
        Box::pin(async move { news(digest.report.unwrap().digest.revision + 1) })
    }

    fn announce(&self, news: peer::News) -> BoxFuture<'_, ()> {
        self.announced_news.lock().unwrap().push(news);
        Box::pin(future::ready(()))
    }

    fn suspects(&self, suspect: &peer::Suspect) -> bool {
        suspect.term == 4
    }
}

fn heartbeat(vm: &str, incarnation: u64) -> evidence::Heartbeat {
    evidence::Heartbeat {
        vm: vm.into(),
        domain: "patan-hall".into(),
        incarnation,
        draining: false,
    }
}

fn report(revision: u64) -> spread::Report {
    spread::Report {
        digest: revision::Digest {
            revision,
            checksum: 1,
        },
        age: Duration::ZERO,
    }
}

fn news(revision: u64) -> peer::News {
    peer::News {
        sign: heartbeat("entry-1", 11),
        answer: spread::Answer {
            report: report(revision),
            file: Some(revision::File {
                revision,
                text: "{}".into(),
            }),
        },
        roster: None,
        primaries: vec![peer::Primary {
            group: "dome-sched-1".into(),
            instance: 2,
            term: 5,
        }],
        witness: mangotray::witness::Report {
            silent: std::time::Duration::ZERO,
            contacted: false,
        },
        suspects: vec![],
    }
}

/// Starts an executor on a separate thread.
fn executor() -> sync::Arc<Executor<'static>> {
    let executor = sync::Arc::new(Executor::new());
    let runner = executor.clone();
    thread::spawn(move || async_io::block_on(runner.run(future::pending::<()>())));
    executor
}

/// A proxy that serves peers and can be killed.
struct Proxy {
    address: net::SocketAddr,
    upstream: sync::Arc<Upstream>,
    handler: sync::Arc<Handler>,
    tasks: sync::Arc<sync::Mutex<Vec<Task<()>>>>,
}

impl Proxy {
    fn start(name: &'static str) -> Self {
        Self::listen(name, bind(), UNREACHED_TIMEOUT)
    }

    fn listen(
        name: &'static str,
        listener: async_net::TcpListener,
        idle_timeout: Duration,
    ) -> Self {
        let executor = executor();
        let upstream = Upstream::new(name);
        let handler = sync::Arc::new(Handler {
            factory: sync::Arc::new(LaneFactory(upstream.clone())),
            announced_news: sync::Mutex::default(),
        });
        let server = sync::Arc::new(accept::Server {
            handler: handler.clone(),
            clock: sync::Arc::new(clock::Monotonic::new()),
            executor: executor.clone(),
            hello: hello::Hello::new(KEY),
            idle_timeout,
        });
        let address = listener.local_addr().unwrap();
        let tasks = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let connections = tasks.clone();
        let spawner = executor.clone();
        let listen = async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let server = server.clone();
                let serve = async move {
                    server.serve(Box::new(stream)).await.ok();
                };
                connections.lock().unwrap().push(spawner.spawn(serve));
            }
        };
        tasks.lock().unwrap().push(executor.spawn(listen));
        Self {
            address,
            upstream,
            handler,
            tasks,
        }
    }

    async fn kill(&self) {
        let tasks: Vec<_> = self.tasks.lock().unwrap().drain(..).collect();
        for task in tasks {
            task.cancel().await;
        }
    }
}

/// A serving set whose members a test can replace.
#[derive(Default)]
struct MemberList(sync::Mutex<Vec<forward::Member>>);

impl MemberList {
    fn new(addresses: &[net::SocketAddr]) -> sync::Arc<Self> {
        let members = sync::Arc::new(Self::default());
        members.replace(addresses);
        members
    }

    fn replace(&self, addresses: &[net::SocketAddr]) {
        let member = |address: &net::SocketAddr| forward::Member {
            vm: "entry".into(),
            address: *address,
        };
        *self.0.lock().unwrap() = addresses.iter().map(member).collect();
    }
}

impl forward::Directory for MemberList {
    fn members(&self, _: &str) -> Vec<forward::Member> {
        self.0.lock().unwrap().clone()
    }

    fn is_local(&self, _: &str) -> bool {
        false
    }
}

/// A proxy that forwards to its peers.
struct Entry {
    clock: sync::Arc<clock::Monotonic>,
    pool: sync::Arc<forward::Pool>,
    executor: sync::Arc<Executor<'static>>,
}

impl Entry {
    fn start(key: &str) -> Self {
        let clock = sync::Arc::new(clock::Monotonic::new());
        let executor = executor();
        let pool = forward::Pool::new(endpoint::Resources {
            connector: Box::new(dial::Tcp),
            hello: hello::Hello::new(key),
            executor: executor.clone(),
            clock: clock.clone(),
            ping_timeout: UNREACHED_TIMEOUT,
        });
        Self {
            clock,
            pool: sync::Arc::new(pool),
            executor,
        }
    }

    fn lane(&self, members: &sync::Arc<MemberList>, database: &str) -> forward::Lane {
        forward::Lane::new(self.pool.clone(), members.clone(), database)
    }

    fn batch(&self, class: class::Class, text: &str, timeout: Duration) -> batch::Batch {
        let now = self.clock.now();
        batch::Batch {
            mixed: false,
            own: None,
            request: 1,
            caller: 1,
            frames: vec![frame::Frame {
                tag: b'Q',
                body: text.to_owned().into(),
            }],
            class,
            tables: vec![],
            token: None,
            arrived: now,
            deadline: now + timeout,
        }
    }

    async fn run(&self, lane: &mut forward::Lane, class: class::Class, text: &str) -> peer::Answer {
        lane.run(self.batch(class, text, REQUEST_TIMEOUT)).await
    }

    async fn connection(
        &self,
        address: net::SocketAddr,
        ping_timeout: Duration,
    ) -> dial::Connection {
        let stream = dial::Connector::connect(&dial::Tcp, address).await.unwrap();
        let hello = hello::Hello::new(KEY);
        dial::Connection::open(stream, &hello, self.executor.clone(), ping_timeout)
            .await
            .unwrap()
    }
}

fn first_body(answer: &peer::Answer) -> &[u8] {
    &answer.as_ref().unwrap().frames[0].body
}

fn bind() -> async_net::TcpListener {
    let bind = async_net::TcpListener::bind("127.0.0.1:0");
    future::block_on(bind).unwrap()
}

/// Reason of an answer that the batch did not run.
fn not_run_reason(answer: &peer::Answer) -> Option<Reason> {
    match answer {
        Err(Outcome::NotRun { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// Reason of an answer that the outcome of the batch is unknown.
fn unknown_reason(answer: &peer::Answer) -> Option<Reason> {
    match answer {
        Err(Outcome::Unknown { reason, .. }) => Some(*reason),
        _ => None,
    }
}

/// An address without a listener.
fn unused_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn a_session_opens_runs_and_closes() {
    future::block_on(async {
        let (entry, proxy) = (Entry::start(KEY), Proxy::start("a"));
        let members = MemberList::new(&[proxy.address]);
        let mut lane = entry.lane(&members, "shows");
        let answer = entry.run(&mut lane, class::Class::Begin, "BEGIN").await;
        assert_eq!(first_body(&answer), b"a");
        assert_eq!(answer.unwrap().transaction, transaction::State::Open);
        entry
            .run(&mut lane, class::Class::Write, "INSERT")
            .await
            .unwrap();
        assert_eq!(proxy.upstream.lanes.load(atomic::Ordering::Relaxed), 1);
        drop(lane);
        proxy.upstream.rollbacks.1.recv().await.unwrap();
        assert_eq!(proxy.upstream.statements(), ["BEGIN", "INSERT"]);
    });
}

#[test]
fn a_group_that_is_not_served_is_not_run() {
    future::block_on(async {
        let (entry, proxy) = (Entry::start(KEY), Proxy::start("a"));
        let members = MemberList::new(&[proxy.address]);
        let mut lane = entry.lane(&members, "unheard of");
        let batch = entry.batch(class::Class::Write, "INSERT", Duration::from_millis(200));
        let answer = lane.run(batch).await;
        assert_eq!(not_run_reason(&answer), Some(Reason::NoServer));
        assert!(proxy.upstream.statements().is_empty());
    });
}

#[test]
fn an_open_transaction_stays_where_it_is() {
    // Symptom: statements of one transaction run on two proxies.
    // Events: BEGIN at the first member; the member leaves the serving set; INSERT.
    // Cause: a member is chosen for each batch even while a transaction is open.
    future::block_on(async {
        let entry = Entry::start(KEY);
        let (a, b) = (Proxy::start("a"), Proxy::start("b"));
        let members = MemberList::new(&[a.address, b.address]);
        let mut lane = entry.lane(&members, "shows");
        entry
            .run(&mut lane, class::Class::Begin, "BEGIN")
            .await
            .unwrap();
        members.replace(&[b.address]);
        for (class, text) in [
            (class::Class::Write, "INSERT"),
            (class::Class::Commit, "COMMIT"),
            (class::Class::Read, "SELECT"),
        ] {
            entry.run(&mut lane, class, text).await.unwrap();
        }
        assert_eq!(a.upstream.statements(), ["BEGIN", "INSERT", "COMMIT"]);
        assert_eq!(b.upstream.statements(), ["SELECT"]);
    });
}

#[test]
fn a_member_that_cannot_be_reached_is_passed_over() {
    // Symptom: a write is refused, or run twice, while one member is down.
    // Events: the first member does not listen; a write arrives.
    // Cause: a failure to connect, where nothing was sent, is not told apart from a connection
    // lost after the write was sent.
    future::block_on(async {
        let (entry, proxy) = (Entry::start(KEY), Proxy::start("b"));
        let members = MemberList::new(&[unused_address(), proxy.address]);
        let mut lane = entry.lane(&members, "shows");
        let answer = entry.run(&mut lane, class::Class::Write, "INSERT").await;
        assert_eq!(first_body(&answer), b"b");
        assert_eq!(proxy.upstream.statements(), ["INSERT"]);
    });
}

#[test]
fn a_write_cut_off_after_it_was_sent_is_unknown_and_never_repeated() {
    // Symptom: a booking is made twice.
    // Events: a write runs at the first member; the member crashes before it answers.
    // Cause: a write whose outcome is unknown is sent again.
    future::block_on(async {
        let entry = Entry::start(KEY);
        let (a, b) = (Proxy::start("a"), Proxy::start("b"));
        let members = MemberList::new(&[a.address, b.address]);
        let mut lane = entry.lane(&members, "shows");
        let killer = async {
            a.upstream.hang_started.1.recv().await.unwrap();
            a.kill().await;
        };
        let write = entry.run(&mut lane, class::Class::Write, "hang");
        let (answer, ()) = future::zip(write, killer).await;
        assert_eq!(unknown_reason(&answer), Some(Reason::ConnectionLost));
        assert_eq!(a.upstream.statements(), ["hang"]);
        let answer = entry.run(&mut lane, class::Class::Write, "INSERT").await;
        assert_eq!(first_body(&answer), b"b");
        assert_eq!(b.upstream.statements(), ["INSERT"]);
    });
}

#[test]
fn a_read_cut_off_after_it_was_sent_runs_elsewhere() {
    // Symptom: a read fails although another member could answer it.
    // Events: a read runs at the first member; the member crashes before it answers.
    // Cause: a read, which may be repeated, is treated like a write.
    future::block_on(async {
        let entry = Entry::start(KEY);
        let (a, b) = (Proxy::start("a"), Proxy::start("b"));
        let members = MemberList::new(&[a.address, b.address]);
        let mut lane = entry.lane(&members, "shows");
        let killer = async {
            a.upstream.hang_started.1.recv().await.unwrap();
            members.replace(&[b.address]);
            a.kill().await;
            b.upstream.hang_started.1.recv().await.unwrap();
        };
        let read = async {
            let timeout = Duration::from_secs(2);
            lane.run(entry.batch(class::Class::Read, "hang", timeout))
                .await
        };
        let (answer, ()) = future::zip(read, killer).await;
        assert_eq!(unknown_reason(&answer), Some(Reason::Deadline));
        assert_eq!(a.upstream.statements(), ["hang"]);
        assert_eq!(b.upstream.statements(), ["hang"]);
    });
}

#[test]
fn a_lost_transaction_is_refused_until_it_is_ended() {
    // Symptom: the second half of a transaction is committed without the first half.
    // Events: BEGIN at a member; the member crashes; INSERT, COMMIT.
    // Cause: a new session is opened at another member while a transaction is open.
    future::block_on(async {
        let entry = Entry::start(KEY);
        let (a, b) = (Proxy::start("a"), Proxy::start("b"));
        let members = MemberList::new(&[a.address, b.address]);
        let mut lane = entry.lane(&members, "shows");
        entry
            .run(&mut lane, class::Class::Begin, "BEGIN")
            .await
            .unwrap();
        a.kill().await;
        a.upstream.rollbacks.1.recv().await.unwrap();
        // Whether it is sent depends on when the loss is detected; it fails in either case.
        let answer = entry.run(&mut lane, class::Class::Write, "INSERT").await;
        let reason = not_run_reason(&answer).or(unknown_reason(&answer));
        assert_eq!(reason, Some(Reason::ConnectionLost));
        for class in [
            class::Class::Write,
            class::Class::Read,
            class::Class::Commit,
        ] {
            let answer = entry.run(&mut lane, class, "refused").await;
            assert_eq!(not_run_reason(&answer), Some(Reason::ConnectionLost));
        }
        assert!(b.upstream.statements().is_empty());
        let answer = entry.run(&mut lane, class::Class::Write, "INSERT").await;
        assert_eq!(first_body(&answer), b"b");
        assert_eq!(a.upstream.statements(), ["BEGIN"]);
    });
}

#[test]
fn a_run_dropped_half_way_loses_its_transaction() {
    // Symptom: a statement runs in a transaction of unknown state.
    // Events: BEGIN; a statement hangs and its future is dropped; the next one runs.
    // Cause: a session is kept although one of its requests was abandoned.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let members = MemberList::new(&[a.address]);
        let mut lane = entry.lane(&members, "shows");
        entry
            .run(&mut lane, class::Class::Begin, "BEGIN")
            .await
            .unwrap();
        let hang = async {
            entry
                .run(&mut lane, class::Class::Write, "hang")
                .await
                .unwrap();
        };
        let started = async {
            a.upstream.hang_started.1.recv().await.unwrap();
        };
        future::or(hang, started).await;
        let answer = entry.run(&mut lane, class::Class::Write, "INSERT").await;
        assert_eq!(not_run_reason(&answer), Some(Reason::ConnectionLost));
        assert_eq!(a.upstream.statements(), ["BEGIN", "hang"]);
        a.upstream.rollbacks.1.recv().await.unwrap();
    });
}

#[test]
fn a_write_without_an_answer_in_time_is_unknown() {
    // Symptom: a late write is reported as "not run", so the caller repeats it.
    // Events: a write is sent; its deadline passes without an answer.
    // Cause: an exceeded deadline is treated as proof that the write did not run.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let members = MemberList::new(&[a.address]);
        let mut lane = entry.lane(&members, "shows");
        let batch = entry.batch(class::Class::Write, "hang", Duration::from_secs(1));
        let answer = lane.run(batch).await;
        assert_eq!(unknown_reason(&answer), Some(Reason::Deadline));
        entry
            .run(&mut lane, class::Class::Write, "INSERT")
            .await
            .unwrap();
        assert_eq!(a.upstream.statements(), ["hang", "INSERT"]);
    });
}

#[test]
fn a_sequence_number_runs_once() {
    // Symptom: a booking is made twice.
    // Events: the same message reaches a member twice.
    // Cause: the member does not record the sequence numbers of requests that ran.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let connection = entry.connection(a.address, UNREACHED_TIMEOUT).await;
        let batch = entry.batch(class::Class::Write, "INSERT", REQUEST_TIMEOUT);
        let run = || {
            let mut run = peer::Run::new(&batch, entry.clock.now());
            run.open = Some("shows".into());
            connection.run(run)
        };
        run().await.unwrap().unwrap();
        assert!(unknown_reason(&run().await.unwrap()).is_some());
        assert_eq!(a.upstream.statements(), ["INSERT"]);
    });
}

#[test]
fn answers_are_whole_or_refused() {
    // Symptom: an answer is truncated, or one answer ends all sessions of a connection.
    // Events: an answer as large as many frames; an answer over the limit.
    // Cause: an answer over the limit is written to the connection.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let members = MemberList::new(&[a.address]);
        let mut lane = entry.lane(&members, "shows");
        let answer = entry.run(&mut lane, class::Class::Read, "large").await;
        assert_eq!(first_body(&answer).len(), LARGE_ANSWER_BYTES);
        assert!(first_body(&answer).iter().all(|byte| *byte == 7));
        let answer = entry.run(&mut lane, class::Class::Read, "too large").await;
        assert_eq!(unknown_reason(&answer), Some(Reason::TooLarge));
        entry
            .run(&mut lane, class::Class::Read, "SELECT")
            .await
            .unwrap();
        assert_eq!(a.upstream.lanes.load(atomic::Ordering::Relaxed), 1);
    });
}

#[test]
fn many_sessions_share_a_connection_and_get_their_own_answers() {
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let connection = entry.connection(a.address, UNREACHED_TIMEOUT).await;
        let runs = (0..200).map(|number| {
            let text = format!("INSERT {number}");
            let batch = entry.batch(class::Class::Write, &text, REQUEST_TIMEOUT);
            let mut run = peer::Run::new(&batch, entry.clock.now());
            run.session = connection.new_session();
            run.open = Some("shows".into());
            connection.run(run)
        });
        let answers = futures_util::future::join_all(runs).await;
        assert!(answers.iter().all(|answer| matches!(answer, Ok(Ok(_)))));
        let statements: HashSet<_> = a.upstream.statements().into_iter().collect();
        assert_eq!(statements.len(), 200);
    });
}

#[test]
fn a_client_with_another_key_or_protocol_is_refused() {
    // Symptom: a proxy of another installation runs statements here.
    // Events: a client with another key connects; a client with another protocol connects.
    // Cause: connections are served without authentication.
    future::block_on(async {
        let (entry, a) = (Entry::start("another key"), Proxy::start("a"));
        let members = MemberList::new(&[a.address]);
        let mut lane = entry.lane(&members, "shows");
        let batch = entry.batch(class::Class::Read, "SELECT", Duration::from_millis(300));
        let answer = lane.run(batch).await;
        assert_eq!(not_run_reason(&answer), Some(Reason::NoServer));

        let mut stream = net::TcpStream::connect(a.address).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).ok();
        assert!(answer.is_empty());
        assert_eq!(a.upstream.lanes.load(atomic::Ordering::Relaxed), 0);
    });
}

#[test]
fn news_and_suspicions_pass_between_peers() {
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let connection = entry.connection(a.address, UNREACHED_TIMEOUT).await;
        let digest = peer::Digest {
            sign: heartbeat("entry-2", 3),
            report: Some(report(8)),
            roster: None,
        };
        assert_eq!(connection.exchange(digest).await, Ok(news(9)));
        assert_eq!(connection.announce(news(10)).await, Ok(()));
        assert_eq!(*a.handler.announced_news.lock().unwrap(), [news(10)]);
        let suspect = |term| peer::Suspect {
            group: "dome-sched-1".into(),
            term,
        };
        assert_eq!(connection.suspects(suspect(4)).await, Ok(true));
        assert_eq!(connection.suspects(suspect(5)).await, Ok(false));
    });
}

#[test]
fn a_member_that_comes_back_is_used_again() {
    // Symptom: the requests of a group stay on the second member for ever.
    // Events: the first member accepts but does not answer; later it answers again.
    // Cause: a member is never tried again after its circuit has opened.
    future::block_on(async {
        let (entry, b) = (Entry::start(KEY), Proxy::start("b"));
        let silent = bind();
        let members = MemberList::new(&[silent.local_addr().unwrap(), b.address]);
        let mut lane = entry.lane(&members, "shows");
        let answer = entry.run(&mut lane, class::Class::Read, "SELECT").await;
        assert_eq!(first_body(&answer), b"b");
        let _a = Proxy::listen("a", silent, UNREACHED_TIMEOUT);
        loop {
            let answer = entry.run(&mut lane, class::Class::Read, "SELECT").await;
            if first_body(&answer) == b"a" {
                break;
            }
            async_io::Timer::after(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn a_peer_that_falls_silent_is_given_up_before_the_deadline() {
    // Symptom: every request to an unreachable proxy waits for its whole deadline.
    // Events: a connection is open; the peer stops answering; a write is sent.
    // Cause: the client waits for a socket error, which a network that drops packets does not
    // report.
    future::block_on(async {
        let (entry, silent) = (Entry::start(KEY), bind());
        let address = silent.local_addr().unwrap();
        let accept = async {
            let (stream, _) = silent.accept().await.unwrap();
            let hello = hello::Hello::new(KEY);
            hello.accept::<(), ()>(Box::new(stream)).await.unwrap()
        };
        let (connection, _held) =
            future::zip(entry.connection(address, SHORT_TIMEOUT), accept).await;
        let batch = entry.batch(class::Class::Write, "INSERT", REQUEST_TIMEOUT);
        let run = peer::Run::new(&batch, entry.clock.now());
        assert_eq!(connection.run(run).await, Err(dial::Failure::Lost));
        assert!(!connection.alive());
    });
}

#[test]
fn a_client_that_falls_silent_loses_its_transactions() {
    // Symptom: locks of a failed proxy's transaction are held for ever.
    // Events: BEGIN is answered; the client's VM fails without closing the connection.
    // Cause: the server waits for the end of the stream, which a network that drops packets
    // does not report.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::listen("a", bind(), SHORT_TIMEOUT));
        let stream = dial::Connector::connect(&dial::Tcp, a.address);
        let hello = hello::Hello::new(KEY);
        let mut client: hello::Framed<
            tarpc::Response<peer::PeerResponse>,
            tarpc::ClientMessage<peer::PeerRequest>,
        > = hello.connect(stream.await.unwrap()).await.unwrap();
        let batch = entry.batch(class::Class::Begin, "BEGIN", REQUEST_TIMEOUT);
        let mut run = peer::Run::new(&batch, entry.clock.now());
        run.open = Some("shows".into());
        let request = tarpc::ClientMessage::Request(tarpc::Request {
            context: tarpc::context::current(),
            id: 0,
            message: peer::PeerRequest::Run { run },
        });
        client.send(request).await.unwrap();
        client.next().await.unwrap().unwrap();
        a.upstream.rollbacks.1.recv().await.unwrap();
    });
}

#[test]
fn a_client_that_ends_loses_its_transactions_at_once() {
    // Symptom: locks of a failed proxy's transaction are held while another of its
    // requests runs.
    // Events: BEGIN in one session; a write hangs in another; the client closes the connection.
    // Cause: the sessions of a connection end only after all its requests have ended.
    future::block_on(async {
        let (entry, a) = (Entry::start(KEY), Proxy::start("a"));
        let connection = entry.connection(a.address, UNREACHED_TIMEOUT).await;
        let run = |class, text| {
            let mut run = peer::Run::new(
                &entry.batch(class, text, REQUEST_TIMEOUT),
                entry.clock.now(),
            );
            run.session = connection.new_session();
            run.open = Some("shows".into());
            connection.run(run)
        };
        run(class::Class::Begin, "BEGIN").await.unwrap().unwrap();
        let hang = async {
            run(class::Class::Write, "hang").await.ok();
        };
        let started = async {
            a.upstream.hang_started.1.recv().await.unwrap();
        };
        future::or(hang, started).await;
        drop(connection);
        a.upstream.rollbacks.1.recv().await.unwrap();
    });
}
