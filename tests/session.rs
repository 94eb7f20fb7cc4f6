//! Caller sessions over TCP sockets, with a lane whose answers are scripted.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::thread;
use std::time;

use assert_matches::assert_matches;
use async_executor::Executor;
use bytes::Buf;
use bytes::BufMut;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::batch;
use mangotray::class;
use mangotray::clock;
use mangotray::drain;
use mangotray::frame;
use mangotray::lane;
use mangotray::listener;
use mangotray::outcome;
use mangotray::reason;
use mangotray::reply;
use mangotray::session;
use mangotray::stamp;
use mangotray::transaction;
use pgwire::messages::data;
use pgwire::messages::response;

/// Limit of a test's waits; exceeding it fails the test.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

type Script = dyn Fn(&batch::Batch) -> future::BoxFuture<'static, Answer> + Send + Sync;
type Answer = Result<reply::Reply, outcome::Outcome>;

/// Records batches and answers them by a script.
struct ScriptedBackend {
    script: Box<Script>,
    batches: sync::Mutex<Vec<batch::Batch>>,
    lanes: sync::atomic::AtomicUsize,
}

struct ScriptedLane(sync::Arc<ScriptedBackend>);

struct ScriptedFactory(sync::Arc<ScriptedBackend>);

impl lane::Lane for ScriptedLane {
    fn run(&mut self, batch: batch::Batch) -> future::BoxFuture<'_, Answer> {
        let answer = (self.0.script)(&batch);
        self.0.batches.lock().unwrap().push(batch);
        answer
    }
}

impl lane::Factory for ScriptedFactory {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        self.0.lanes.fetch_add(1, sync::atomic::Ordering::SeqCst);
        (database == "dome").then(|| Box::new(ScriptedLane(self.0.clone())) as Box<dyn lane::Lane>)
    }

    fn deadline(&self, _: &str) -> time::Duration {
        time::Duration::from_secs(5)
    }
}

/// A listener whose executor runs on a separate thread.
struct Server {
    backend: sync::Arc<ScriptedBackend>,
    address: net::SocketAddr,
    drain: drain::Signal,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    fn start(
        limits: session::Limits,
        script: impl Fn(&batch::Batch) -> future::BoxFuture<'static, Answer> + Send + Sync + 'static,
    ) -> Self {
        let backend = sync::Arc::new(ScriptedBackend {
            script: Box::new(script),
            batches: sync::Mutex::default(),
            lanes: sync::atomic::AtomicUsize::new(0),
        });
        let drain = drain::Signal::new();
        let context = sync::Arc::new(session::Context::new(
            sync::Arc::new(ScriptedFactory(backend.clone())),
            sync::Arc::new(clock::Monotonic::new()),
            limits,
            drain.clone(),
        ));
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener_limits = listener::Limits {
            connections: 4,
            connections_per_address: 3,
        };
        let listener = listener::Listener::bind(any_port, context, listener_limits);
        let listener = futures_lite::future::block_on(listener).unwrap();
        let address = listener.address().unwrap();
        let thread = thread::spawn(move || {
            let executor = sync::Arc::new(Executor::new());
            futures_lite::future::block_on(executor.run(async {
                listener.run(&executor).await;
                listener.wait_until_idle().await;
            }));
        });
        Self {
            backend,
            address,
            drain,
            thread: Some(thread),
        }
    }

    fn batches(&self) -> Vec<batch::Batch> {
        self.backend.batches.lock().unwrap().clone()
    }

    fn classes(&self) -> Vec<class::Class> {
        self.batches().iter().map(|batch| batch.class).collect()
    }

    fn connect(&self) -> net::TcpStream {
        let socket = net::TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket
    }

    /// Opens a connection and completes its startup.
    fn open_session(&self) -> net::TcpStream {
        let mut socket = self.connect();
        socket
            .write_all(&startup(&[("user", "desk"), ("database", "dome")]))
            .unwrap();
        read_until(&mut socket, b'Z');
        socket
    }

    /// Runs a scenario with the client of `tokio_postgres`.
    fn with_client<T, F: Future<Output = T>>(
        &self,
        options: &str,
        scenario: impl FnOnce(tokio_postgres::Client) -> F,
    ) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let (client, connection) =
                tokio_postgres::connect(&self.config(options), tokio_postgres::NoTls)
                    .await
                    .unwrap();
            let connection = tokio::spawn(connection);
            let result = tokio::time::timeout(TEST_TIMEOUT, scenario(client))
                .await
                .expect("the scenario ends in time");
            connection.abort();
            result
        })
    }

    fn config(&self, options: &str) -> String {
        let address = self.address;
        format!(
            "host={} port={} user=desk dbname=dome {options}",
            address.ip(),
            address.port()
        )
    }

    /// Drains and waits for the end of all sessions.
    fn stop(mut self) {
        self.drain.start();
        self.thread.take().unwrap().join().unwrap();
    }
}

fn startup(parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = vec![];
    body.put_u32(196_608);
    for (name, value) in parameters {
        body.put_slice(format!("{name}\0{value}\0").as_bytes());
    }
    body.put_u8(0);
    packet(None, &body)
}

fn packet(tag: Option<u8>, body: &[u8]) -> Vec<u8> {
    let mut packet: Vec<u8> = tag.into_iter().collect();
    packet.put_u32(u32::try_from(body.len()).unwrap() + 4);
    packet.put_slice(body);
    packet
}

fn query(sql: &str) -> Vec<u8> {
    packet(Some(b'Q'), format!("{sql}\0").as_bytes())
}

fn read_frame(socket: &mut net::TcpStream) -> io::Result<frame::Frame> {
    let mut head = [0; 5];
    socket.read_exact(&mut head)?;
    let length = usize::try_from((&head[1..]).get_u32()).unwrap() - 4;
    let mut body = vec![0; length];
    socket.read_exact(&mut body)?;
    Ok(frame::Frame {
        tag: head[0],
        body: body.into(),
    })
}

fn read_until(socket: &mut net::TcpStream, tag: u8) -> Vec<frame::Frame> {
    let mut frames = vec![];
    while frames
        .last()
        .is_none_or(|frame: &frame::Frame| frame.tag != tag)
    {
        frames.push(read_frame(socket).expect("a frame before the end"));
    }
    frames
}

fn tags(frames: &[frame::Frame]) -> String {
    frames.iter().map(|frame| char::from(frame.tag)).collect()
}

/// Body of a frame as text, with `|` in place of each zero byte.
fn body_text(frame: &frame::Frame) -> String {
    String::from_utf8_lossy(&frame.body).replace('\0', "|")
}

fn sql(batch: &batch::Batch) -> String {
    batch
        .frames
        .iter()
        .filter(|frame| matches!(frame.tag, b'Q' | b'P'))
        .map(body_text)
        .collect()
}

/// Answer of an instance to each frame, with the resulting transaction state.
fn reply(batch: &batch::Batch) -> reply::Reply {
    let frames = batch.frames.iter().flat_map(answer_frame).collect();
    let transaction = match batch.class {
        class::Class::Begin | class::Class::BeginRead => transaction::State::Open,
        _ if sql(batch).contains("in_transaction") => transaction::State::Open,
        _ => transaction::State::Idle,
    };
    reply::Reply {
        frames,
        transaction,
        stamp: None,
        error: None,
    }
}

fn answer_frame(frame: &frame::Frame) -> Vec<frame::Frame> {
    let empty_frame = |tag| frame::Frame {
        tag,
        body: bytes::Bytes::new(),
    };
    let row = |value: &str| {
        let mut body = bytes::BytesMut::new();
        body.put_i32(i32::try_from(value.len()).unwrap());
        body.put_slice(value.as_bytes());
        frame::Frame::encode(&data::DataRow::new(body, 1))
    };
    let field = data::FieldDescription::new("value".to_owned(), 0, 0, 25, -1, -1, 0);
    let columns = frame::Frame::encode(&data::RowDescription::new(vec![field]));
    let complete = frame::Frame::encode(&response::CommandComplete::new("SELECT 1".to_owned()));
    match frame.tag {
        b'Q' => vec![columns, row("dome"), complete],
        b'P' => vec![empty_frame(b'1')],
        b'B' => vec![empty_frame(b'2')],
        b'C' => vec![empty_frame(b'3')],
        b'D' if frame.body[0] == b'S' => vec![
            frame::Frame::encode(&data::ParameterDescription::new(vec![])),
            columns,
        ],
        b'D' => vec![columns],
        b'E' => vec![row("dome"), complete],
        _ => vec![],
    }
}

fn answer_at_once(batch: &batch::Batch) -> future::BoxFuture<'static, Answer> {
    future::ready(Ok(reply(batch))).boxed()
}

fn not_run(reason: reason::Reason) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason,
        detail: "no instance is fresh enough".into(),
        retry: Some(time::Duration::from_millis(40)),
    }
}

fn limits() -> session::Limits {
    session::Limits::default()
}

fn first_value(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

#[test]
fn token_and_deadline_travel_with_each_batch() {
    let server = Server::start(limits(), |batch| {
        let mut reply = reply(batch);
        if batch.class == class::Class::Write {
            reply.stamp = Some(stamp::Stamp::new(3, 90));
        }
        future::ready(Ok(reply)).boxed()
    });
    let options = "options='-c mangotray.token=3/77 -c mangotray.deadline=500ms'";
    let token = server.with_client(options, |client| async move {
        client.simple_query("SELECT 1 FROM shows").await.unwrap();
        client
            .simple_query("INSERT INTO seats VALUES (1)")
            .await
            .unwrap();
        client.simple_query("SELECT 2 FROM shows").await.unwrap();
        first_value(&client.simple_query("SHOW mangotray.token").await.unwrap())
    });
    assert_eq!(token.as_deref(), Some("3/90"));
    let batches = server.batches();
    let tokens: Vec<_> = batches
        .iter()
        .map(|batch| batch.token.unwrap().position)
        .collect();
    assert_eq!(tokens, [77, 77, 90]);
    let spans = batches
        .iter()
        .map(|batch| batch.deadline.saturating_sub(batch.arrived));
    assert!(
        spans
            .into_iter()
            .all(|span| span == time::Duration::from_millis(475))
    );
    assert_eq!(batches[0].tables, ["shows"]);
    server.stop();
}

#[test]
fn prepared_statements_are_self_contained_in_each_batch() {
    let server = Server::start(limits(), answer_at_once);
    let values = server.with_client("", |client| async move {
        let statement = client.prepare("SELECT name FROM shows").await.unwrap();
        let first = client.query_one(&statement, &[]).await.unwrap();
        let second = client.query_one(&statement, &[]).await.unwrap();
        [first.get::<_, String>(0), second.get::<_, String>(0)]
    });
    assert_eq!(values, ["dome", "dome"]);
    let batches = server.batches();
    assert!(
        batches
            .iter()
            .all(|batch| sql(batch).contains("SELECT name FROM shows"))
    );
    assert!(
        batches
            .iter()
            .all(|batch| batch.class == class::Class::Read)
    );
    server.stop();
}

#[test]
fn settings_of_the_proxy_are_answered_without_an_upstream() {
    let server = Server::start(limits(), answer_at_once);
    server.with_client("", |client| async move {
        client
            .batch_execute("SET mangotray.token = '4/8'")
            .await
            .unwrap();
        let row = client.query_one("SHOW mangotray.token", &[]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), "4/8");
        client
            .execute("SET mangotray.deadline = '250ms'", &[])
            .await
            .unwrap();
        let shown = client
            .simple_query("SHOW mangotray.deadline")
            .await
            .unwrap();
        assert_eq!(first_value(&shown).as_deref(), Some("250ms"));
        client
            .batch_execute("SET client_encoding TO 'UTF8'")
            .await
            .unwrap();
        let error = client
            .batch_execute("SET search_path TO a")
            .await
            .unwrap_err();
        assert_eq!(error.code().unwrap().code(), "0A000");
        let error = client.batch_execute("LISTEN shows").await.unwrap_err();
        assert_eq!(error.code().unwrap().code(), "0A000");
    });
    assert!(server.batches().is_empty());
    server.stop();
}

#[test]
fn outcomes_become_errors_and_end_the_transaction() {
    // Symptom: the second half of a transaction is committed without the first half.
    // Events: the connection to the database is lost within the transaction; the caller
    // sends further statements and a commit. Cause: the session does not record that its
    // transaction has ended at the database.
    let server = Server::start(limits(), |batch| {
        if sql(batch).contains("lost") {
            return future::ready(Err(not_run(reason::Reason::ConnectionLost))).boxed();
        }
        answer_at_once(batch)
    });
    server.with_client("", |client| async move {
        client.batch_execute("BEGIN").await.unwrap();
        let error = client
            .simple_query("INSERT INTO lost VALUES (1)")
            .await
            .unwrap_err();
        let database = error.as_db_error().unwrap();
        assert_eq!(database.code().code(), "40001");
        assert!(database.message().ends_with("(not run)"));
        assert_eq!(
            database.detail(),
            Some("outcome=not-run reason=connection-lost")
        );
        assert_eq!(database.hint(), Some("Try again in 40 ms."));
        let error = client
            .batch_execute("INSERT INTO seats VALUES (2)")
            .await
            .unwrap_err();
        assert_eq!(error.code().unwrap().code(), "25P02");
        let error = client.query("SELECT 1", &[]).await.unwrap_err();
        assert_eq!(error.code().unwrap().code(), "25P02");
        client.batch_execute("COMMIT").await.unwrap();
        client.batch_execute("SELECT 1 FROM shows").await.unwrap();
    });
    let classes = server.classes();
    let expected = [class::Class::Begin, class::Class::Write, class::Class::Read];
    assert_eq!(
        classes, expected,
        "no statement is forwarded after the loss"
    );
    server.stop();
}

#[test]
fn commit_without_answer_is_unknown_and_ends_the_transaction() {
    let server = Server::start(limits(), |batch| {
        if batch.class == class::Class::Commit {
            let unknown = outcome::Outcome::Unknown {
                reason: reason::Reason::Unconfirmed,
                detail: "commit was not confirmed in time".into(),
            };
            return future::ready(Err(unknown)).boxed();
        }
        answer_at_once(batch)
    });
    server.with_client("", |client| async move {
        client.batch_execute("BEGIN").await.unwrap();
        let error = client.batch_execute("COMMIT").await.unwrap_err();
        let database = error.as_db_error().unwrap();
        assert_eq!(database.code().code(), "08007");
        assert!(database.message().ends_with("(outcome unknown)"));
        let shown = client
            .simple_query("SHOW mangotray.last_outcome")
            .await
            .unwrap();
        assert_eq!(
            first_value(&shown).as_deref(),
            Some("outcome=unknown reason=unconfirmed")
        );
        client.batch_execute("SELECT 1").await.unwrap();
    });
    server.stop();
}

#[test]
fn cancel_ends_the_running_batch() {
    let server = Server::start(limits(), |batch| {
        if sql(batch).contains("endless") {
            return future::pending().boxed();
        }
        answer_at_once(batch)
    });
    let codes = server.with_client("", |client| async move {
        let mut codes = vec![];
        for statement in ["SELECT * FROM endless", "DELETE FROM endless"] {
            let token = client.cancel_token();
            let cancel = async {
                tokio::time::sleep(time::Duration::from_millis(200)).await;
                token.cancel_query(tokio_postgres::NoTls).await.unwrap();
            };
            let (result, ()) = tokio::join!(client.batch_execute(statement), cancel);
            codes.push(result.unwrap_err().code().unwrap().code().to_owned());
        }
        client.batch_execute("SELECT 1").await.unwrap();
        codes
    });
    assert_eq!(codes, ["57014", "08007"]);
    server.stop();
}

#[test]
fn unknown_database_is_named() {
    let server = Server::start(limits(), answer_at_once);
    let mut socket = server.connect();
    socket
        .write_all(&startup(&[("user", "desk"), ("database", "nowhere")]))
        .unwrap();
    let frames = read_until(&mut socket, b'E');
    assert!(
        body_text(&frames[0]).contains("C3D000|"),
        "{}",
        body_text(&frames[0])
    );
    assert!(body_text(&frames[0]).contains("\"nowhere\""));
    assert_matches!(
        read_frame(&mut socket),
        Err(_),
        "the connection is closed after the error"
    );
    server.stop();
}

#[test]
fn encryption_requests_are_declined_and_startup_goes_on() {
    let server = Server::start(limits(), answer_at_once);
    let mut socket = server.connect();
    for code in [80_877_104_u32, 80_877_103] {
        socket
            .write_all(&packet(None, &code.to_be_bytes()))
            .unwrap();
        let mut answer = [0];
        socket.read_exact(&mut answer).unwrap();
        assert_eq!(answer, *b"N");
    }
    socket
        .write_all(&startup(&[("user", "desk"), ("database", "dome")]))
        .unwrap();
    assert!(tags(&read_until(&mut socket, b'Z')).starts_with("RS"));
    server.stop();
}

#[test]
fn malformed_input_is_answered_and_the_process_goes_on() {
    let small_limits = session::Limits {
        max_request_bytes: 2_000,
        ..limits()
    };
    let server = Server::start(small_limits, answer_at_once);
    let mut oversized = vec![b'Q'];
    oversized.put_u32(2_000_000);
    let cases = [
        (oversized.clone(), "type 'Q'"),
        (oversized, "message_bytes"),
        (vec![b'Q', 0, 0, 0, 1], "shorter than its own header"),
        (
            packet(Some(b'Q'), b"SELECT 1"),
            "malformed message of type 'Q'",
        ),
        (
            packet(Some(b'P'), b"a\0SELECT 1\0\xff\xff"),
            "malformed message of type 'P'",
        ),
        (
            packet(Some(b'Q'), b"\xff\xfe\0"),
            "malformed message of type 'Q'",
        ),
        (packet(Some(b'!'), b""), "unexpected message of type '!'"),
    ];
    for (bytes, expected) in cases {
        let mut socket = server.open_session();
        socket.write_all(&bytes).unwrap();
        let error = read_frame(&mut socket).unwrap();
        assert!(
            body_text(&error).contains("SFATAL|"),
            "{}",
            body_text(&error)
        );
        assert!(
            body_text(&error).contains("C08P01|"),
            "{}",
            body_text(&error)
        );
        assert!(
            body_text(&error).contains(expected),
            "{}",
            body_text(&error)
        );
        assert_matches!(read_frame(&mut socket), Err(_));
    }
    let mut socket = server.open_session();
    socket.write_all(&query("SELECT 1")).unwrap();
    assert_eq!(tags(&read_until(&mut socket, b'Z')), "TDCZ");
    server.stop();
}

#[test]
fn malformed_startup_is_answered() {
    let server = Server::start(limits(), answer_at_once);
    let cases: [(Vec<u8>, &str); 4] = [
        (b"GET / HTTP/1.1\r\n\r\n".to_vec(), "invalid length"),
        (packet(None, &[0, 2, 0, 0]), "unsupported protocol 2.0"),
        (packet(None, &[0, 3, 0, 0, b'u', b's']), "no terminator"),
        (startup(&[("database", "dome")]), "no user name"),
    ];
    for (bytes, expected) in cases {
        let mut socket = server.connect();
        socket.write_all(&bytes).unwrap();
        let error = read_frame(&mut socket).unwrap();
        assert!(
            body_text(&error).contains("SFATAL|"),
            "{}",
            body_text(&error)
        );
        assert!(
            body_text(&error).contains(expected),
            "{}",
            body_text(&error)
        );
    }
    server.stop();
}

#[test]
fn flush_is_refused_at_once_and_the_rest_is_skipped() {
    // Symptom: the caller hangs. Events: it sends Flush without Sync and waits for an
    // answer. Cause: the answer is delayed until the Sync.
    let server = Server::start(limits(), answer_at_once);
    let mut socket = server.open_session();
    let parse = packet(Some(b'P'), b"\0SELECT 1\0\0\0");
    socket
        .write_all(&[parse.clone(), packet(Some(b'H'), b"")].concat())
        .unwrap();
    let error = read_frame(&mut socket).unwrap();
    assert!(body_text(&error).contains("C0A000|"));
    socket
        .write_all(&[parse, packet(Some(b'S'), b"")].concat())
        .unwrap();
    assert_eq!(tags(&read_until(&mut socket, b'Z')), "Z");
    assert!(server.batches().is_empty());
    server.stop();
}

#[test]
fn drain_ends_idle_sessions_and_lets_transactions_finish() {
    let server = Server::start(limits(), answer_at_once);
    let mut idle = server.open_session();
    let mut busy = server.open_session();
    busy.write_all(&query("BEGIN")).unwrap();
    read_until(&mut busy, b'Z');
    server.drain.start();
    let error = read_frame(&mut idle).unwrap();
    assert!(body_text(&error).contains("SFATAL|"));
    assert!(body_text(&error).contains("C57P01|"));
    busy.write_all(&query("INSERT INTO seats /* in_transaction */ VALUES (1)"))
        .unwrap();
    assert_eq!(tags(&read_until(&mut busy, b'Z')), "TDCZ");
    busy.write_all(&query("COMMIT")).unwrap();
    let frames = read_until(&mut busy, b'E');
    assert_eq!(
        tags(&frames),
        "TDCZE",
        "the commit is answered before the end"
    );
    server.stop();
}

#[test]
fn connections_over_the_limit_get_an_error() {
    let server = Server::start(limits(), answer_at_once);
    let mut held: Vec<_> = (0..3).map(|_| server.open_session()).collect();
    let mut socket = server.connect();
    let error = read_frame(&mut socket).unwrap();
    assert!(body_text(&error).contains("C53300|"));
    held.pop();
    // A new connection is accepted once the proxy has processed the close.
    let reopened = (0..100).any(|_| {
        thread::sleep(time::Duration::from_millis(50));
        let mut socket = server.connect();
        let startup_message = startup(&[("user", "desk"), ("database", "dome")]);
        socket.write_all(&startup_message).is_ok()
            && read_frame(&mut socket).is_ok_and(|f| f.tag == b'R')
    });
    assert!(reopened);
    drop(held);
    server.stop();
}

#[test]
fn stalled_callers_are_disconnected() {
    // Symptom: connections to the database run out. Events: one caller connects and sends
    // nothing, another leaves its transaction open, a third sends an incomplete request.
    // Cause: the proxy waits for callers without a time limit.
    let short_limits = session::Limits {
        startup_timeout: time::Duration::from_millis(300),
        caller_timeout: time::Duration::from_millis(300),
        ..limits()
    };
    let server = Server::start(short_limits, answer_at_once);
    let error = read_frame(&mut server.connect()).unwrap();
    assert!(body_text(&error).contains("startup was not completed"));
    let mut socket = server.open_session();
    socket.write_all(&query("BEGIN")).unwrap();
    let frames = read_until(&mut socket, b'E');
    assert!(body_text(frames.last().unwrap()).contains("C25P03|"));
    let mut socket = server.open_session();
    socket
        .write_all(&packet(Some(b'P'), b"\0SELECT 1\0\0\0"))
        .unwrap();
    let error = read_frame(&mut socket).unwrap();
    assert!(body_text(&error).contains("request was not completed"));
    server.stop();
}

#[test]
fn late_cancel_request_has_no_effect() {
    // Symptom: a statement is canceled although no cancel request was meant for it. Events: a
    // cancel request arrives while no statement runs; then a statement is sent. Cause: the
    // cancel request is kept for the next statement.
    let server = Server::start(limits(), |batch| {
        let reply = reply(batch);
        let slow = async move {
            async_io::Timer::after(time::Duration::from_millis(100)).await;
            Ok(reply)
        };
        slow.boxed()
    });
    let mut socket = server.connect();
    let startup_message = startup(&[("user", "desk"), ("database", "dome")]);
    socket.write_all(&startup_message).unwrap();
    let startup_frames = read_until(&mut socket, b'Z');
    let key = startup_frames
        .iter()
        .find(|frame| frame.tag == b'K')
        .unwrap();
    let mut cancel = server.connect();
    let body = [&80_877_102_u32.to_be_bytes(), &key.body[..]].concat();
    cancel.write_all(&packet(None, &body)).unwrap();
    // The proxy closes the connection once it has handled the cancel request.
    assert_matches!(read_frame(&mut cancel), Err(_));
    socket.write_all(&query("DELETE FROM seats")).unwrap();
    assert_eq!(tags(&read_until(&mut socket, b'Z')), "TDCZ");
    server.stop();
}

#[test]
fn request_that_arrived_before_the_drain_is_served() {
    // Symptom: a caller is disconnected while its request is in flight. Events: the request is
    // already in the socket buffer when the drain begins, and is read afterwards.
    // Cause: the session checks for the drain before it reads.
    let gate = sync::Arc::new(sync::Mutex::new(()));
    let held = gate.clone();
    let (entered, wait) = sync::mpsc::channel();
    let server = Server::start(limits(), move |batch| {
        if sql(batch).contains("held") {
            // Blocks the only thread of the executor, so that no other session is polled.
            entered.send(()).unwrap();
            drop(held.lock().unwrap());
        }
        answer_at_once(batch)
    });
    let (mut first, mut second) = (server.open_session(), server.open_session());
    let closed = gate.lock().unwrap();
    first.write_all(&query("SELECT 1 FROM held")).unwrap();
    wait.recv_timeout(TEST_TIMEOUT).unwrap();
    second.write_all(&query("SELECT 2 FROM shows")).unwrap();
    server.drain.start();
    drop(closed);
    assert_eq!(tags(&read_until(&mut first, b'E')), "TDCZE");
    assert_eq!(tags(&read_until(&mut second, b'E')), "TDCZE");
    server.stop();
}
