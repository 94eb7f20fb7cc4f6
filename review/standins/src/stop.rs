//! Case of a planned stop: a statement that is passed to an instance and never answered.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use mangotray_soak::{check, ports, world};
use rustix::process::Signal;

use crate::common::{Executor, Node, Record, Stage, pause};
use crate::tap::{Calls, Link};

const SESSIONS: usize = 8;
/// Statements of a transaction between its BEGIN and its COMMIT; 12 in all are the most.
const STATEMENTS: usize = 10;
/// Pause of a requester between two statements.
const PAUSE_MS: u64 = 260;
/// When the first session begins its transaction, counted from the SIGTERM.
const FIRST_BEGIN_MS: u64 = 1830;
const STAGGER_MS: u64 = 42;
/// Delay of a message between a node and an instance; with it a statement takes about 65 ms, less
/// than the longest work in the site files.
const ONE_WAY_MS: u64 = 30;
/// `grace_s` and `loss_slack_ms` of the small deployments.
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A request and its end.
struct Request {
    id: String,
    text: String,
    sent: Instant,
    /// When the whole answer or the end of the connection arrived, and the answer.
    end: Option<(Instant, Option<String>)>,
}

type Requests = Rc<RefCell<Vec<Request>>>;

struct Session {
    number: usize,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    requests: Requests,
    world: world::Shared,
    count: usize,
    /// Number of the open transaction, and when it began.
    open: Option<(u64, Instant)>,
    transactions: usize,
}

impl Session {
    async fn open(
        number: usize,
        node: SocketAddr,
        requests: &Requests,
        world: &world::Shared,
    ) -> eyre::Result<Self> {
        let stream = TcpStream::connect(node).await?;
        stream.set_nodelay(true)?;
        let mut session = Self {
            number,
            reader: BufReader::new(stream.clone()),
            stream,
            requests: Rc::clone(requests),
            world: Rc::clone(world),
            count: 0,
            open: None,
            transactions: 0,
        };
        let start = format!("START {} s{number}\r\n", session.database());
        session.stream.write_all(start.as_bytes()).await?;
        let ready = session.line().await.unwrap_or_default();
        eyre::ensure!(ready.starts_with("READY I"), "answer to START: {ready:?}");
        Ok(session)
    }

    /// Every third session books, the others read.
    const fn writes(&self) -> bool {
        self.number % 3 == 0
    }

    const fn database(&self) -> &'static str {
        if self.writes() { "current" } else { "own" }
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line).await {
            Ok(1..) if line.ends_with("\r\n") => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Sends a request and returns whether it was answered with success.
    async fn ask(&mut self, text: &str) -> bool {
        self.count += 1;
        let id = format!("r{}x{}", self.number, self.count);
        let message = format!("QUERY {id} {text}\r\n");
        let at = self.requests.borrow().len();
        let sent = Instant::now();
        // The stand-in of the instance compares each statement with what was sent.
        let statement = check::Statement {
            caller: (self.number, String::new()),
            sent,
            started: self.open.map_or(sent, |(_, began)| began),
            freshness: if self.writes() {
                check::Freshness::Current
            } else {
                check::Freshness::Own(Duration::from_millis(2500))
            },
            last_commit: None,
            transaction: self.open.map(|(number, _)| number),
            values: std::collections::BTreeMap::new(),
            text: text.to_owned(),
            commits: self.open.is_none() || text == "COMMIT",
        };
        let mut statements = self.world.borrow_mut();
        statements.checker.statements.insert(id.clone(), statement);
        drop(statements);
        self.requests.borrow_mut().push(Request {
            id,
            text: text.to_owned(),
            sent,
            end: None,
        });
        let written = self.stream.write_all(message.as_bytes()).await.is_ok();
        let mut last = None;
        let mut answer = None;
        while written {
            let Some(line) = self.line().await else { break };
            if line.starts_with("READY") {
                answer = last;
                break;
            }
            last = Some(line);
        }
        let done = answer
            .as_ref()
            .is_some_and(|line: &String| line.starts_with("DONE"));
        self.requests.borrow_mut()[at].end = Some((Instant::now(), answer));
        done
    }

    async fn transaction(&mut self, statements: usize) -> bool {
        self.transactions += 1;
        let number = (self.number * 1000 + self.transactions) as u64;
        self.open = Some((number, Instant::now()));
        let begin = if self.writes() { "BEGIN" } else { "BEGIN READ" };
        if !self.ask(begin).await {
            return false;
        }
        for number in 0..statements {
            pause(PAUSE_MS).await;
            let item = format!("{:x}", self.number * 100 + number);
            let statement = if self.writes() {
                format!("WRITE {item} data{number}")
            } else {
                format!("READ {item}")
            };
            if !self.ask(&statement).await {
                return false;
            }
        }
        pause(PAUSE_MS).await;
        self.ask("COMMIT").await
    }
}

pub async fn run(trouble: bool, record: &Record, executor: &Executor) -> eyre::Result<bool> {
    let folder = tempfile::tempdir()?;
    let stage = Stage::set_up(executor, ONE_WAY_MS).await?;
    let calls = Rc::<RefCell<Calls>>::default();
    let mut ports = ports::Ports::reserve()?;
    let mut nodes = Vec::new();
    for number in 0..2 {
        let name = format!("front-{number}");
        let (_, address) = Link::start(name, stage.platform, &calls, record, executor).await?;
        nodes.push(Node::start(number, folder.path(), address, &mut ports)?);
    }
    pause(5000).await;
    let requests = Requests::default();
    let mut sessions = Vec::new();
    for number in 0..SESSIONS {
        sessions.push(Session::open(number, nodes[0].callers, &requests, &stage.world).await?);
    }
    let warm_up = sessions.into_iter().map(|mut session| {
        executor.spawn(async move {
            let limit = Instant::now() + Duration::from_secs(5);
            while !session.transaction(1).await && Instant::now() < limit {
                session.ask("ROLLBACK").await;
                pause(PAUSE_MS).await;
            }
            session
        })
    });
    let warm_up: Vec<_> = warm_up.collect();
    let mut sessions = Vec::new();
    for task in warm_up {
        sessions.push(task.await);
    }
    record.note("each session has had a first transaction");
    // Calm for the whole stable_window_ms before the SIGTERM.
    pause(4500).await;
    let began = Instant::now();
    if trouble {
        nodes[0].signal(Signal::TERM);
        record.note("front-0: SIGTERM");
    }
    let tasks: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(number, mut session)| {
            executor.spawn(async move {
                pause(FIRST_BEGIN_MS + STAGGER_MS * number as u64).await;
                let committed = session.transaction(STATEMENTS).await;
                let _ = session.stream.close().await;
                let _ = session.reader.read(&mut [0]).await;
                committed
            })
        })
        .collect();
    let mut committed = 0;
    for task in tasks {
        committed += usize::from(task.await);
    }
    record.note(&format!("{committed} of {SESSIONS} transactions committed"));
    let calls = calls.borrow();
    eyre::ensure!(calls.count == 0, "a primary was replaced meanwhile");
    let runs = stage.runs.borrow();
    let mut broken = 0;
    for request in requests.borrow().iter() {
        let after = |moment: Instant| moment.saturating_duration_since(began).as_millis();
        let Some((end, answer)) = &request.end else {
            continue;
        };
        let run = runs.get(&request.id);
        let place = run.map_or("reached no instance".to_owned(), |(instance, at)| {
            format!("reached {instance} at {} ms", after(*at))
        });
        let told = answer
            .as_deref()
            .unwrap_or("CONNECTION ENDED WITHOUT AN ANSWER");
        record.note(&format!(
            "{} {}: sent {} ms after the SIGTERM, {place}, {} ms: {told}",
            request.id,
            request.text,
            after(request.sent),
            after(*end)
        ));
        if answer.is_some() || !trouble {
            continue;
        }
        // The rule's conditions and excuses. The route's timeout is 1,000 ms; no time budget is near.
        let took = *end - request.sent;
        let passed_on = run.is_some_and(|(_, at)| at <= end);
        let last_sixth = *end >= began + GRACE * 5 / 6;
        let early = request.sent <= began + Duration::from_secs(3);
        let excused = took >= Duration::from_millis(1000) || (last_sixth && early && passed_on);
        let in_window = *end <= began + GRACE + Duration::from_secs(1);
        if in_window && !excused && (passed_on || took > LOSS_SLACK) {
            broken += 1;
            record.note(&format!(
                "BROKEN LOST: {} was read whole and passed on, and is never answered",
                request.id
            ));
        }
    }
    if !trouble {
        eyre::ensure!(committed == SESSIONS, "not all transactions were committed");
    }
    Ok(broken == 0)
}
