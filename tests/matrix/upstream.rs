//! Fake connections from one proxy to the instances.

use std::sync;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray::frame;
use mangotray::id;
use mangotray::reply;
use mangotray::status;
use mangotray::transaction;
use mangotray::upstream;

use crate::cluster;
use crate::operation;
use crate::operation::Kind;
use crate::process;

/// Time after which a control call without an answer fails.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Time after which a call whose answer is lost fails.
const LOST_ANSWER_DELAY: time::Duration = time::Duration::from_millis(100);

/// SQLSTATE of a write on an instance that is not primary.
const READ_ONLY_SQLSTATE: &str = "25006";

/// Number of the proxy that runs the operation under test.
const WORKING_PROXY: usize = 0;

/// Tags of the first frame, of each row and of the last frame of an answer.
const HEAD_TAG: u8 = b'T';
const ROW_TAG: u8 = b'D';
const END_TAG: u8 = b'C';

/// Access of one proxy to one instance.
#[derive(Clone)]
pub struct Upstream {
    pub cluster: sync::Arc<cluster::Cluster>,
    pub process: sync::Arc<process::Process>,
    pub proxy: usize,
    pub index: id::Index,
}

struct Connection {
    upstream: Upstream,
    incarnation: id::Incarnation,
    open_writes: Option<Vec<u64>>,
}

/// State of the link to the instance.
enum Link {
    Up,
    Refused,
    Silent,
}

impl Upstream {
    fn link(&self) -> Link {
        let state = self.cluster.lock();
        match (
            state.proxy_link_up[self.index],
            state.instances[self.index].running,
        ) {
            (false, _) => Link::Silent,
            (true, false) => Link::Refused,
            (true, true) => Link::Up,
        }
    }

    async fn reach(&self, point: operation::Point) {
        self.cluster.reach(self.proxy, point).await;
    }

    /// Fails as a control call does if the instance cannot be reached.
    async fn check_link(&self) -> Result<(), upstream::Failure> {
        match self.link() {
            Link::Up => Ok(()),
            Link::Refused => Err(upstream::Failure::NotRun("refused".into())),
            Link::Silent => {
                async_io::Timer::after(CONTROL_TIMEOUT).await;
                Err(upstream::Failure::Unknown("no answer".into()))
            }
        }
    }

    /// Fails if the answer of a call that took effect is lost.
    async fn check_answer(&self) -> Result<(), upstream::Failure> {
        self.check_link().await?;
        if self
            .cluster
            .lock()
            .proxies_losing_answer
            .remove(&self.proxy)
        {
            async_io::Timer::after(LOST_ANSWER_DELAY).await;
            return Err(upstream::Failure::Unknown("the answer was lost".into()));
        }
        Ok(())
    }

    fn instance_status(&self) -> status::Status {
        self.cluster.lock().instances[self.index].status()
    }

    async fn probe(&self) -> Result<status::Status, upstream::Failure> {
        if self.proxy == WORKING_PROXY && self.cluster.lock().batch_answered {
            self.reach(operation::Point::Confirms).await;
        }
        self.check_link().await?;
        Ok(self.status_while_running().await)
    }

    /// Returns the instance's status once the proxy runs. A fault that pauses the proxy holds the
    /// group's lock, so that none of its other probes of the same moment is answered after it.
    async fn status_while_running(&self) -> status::Status {
        loop {
            {
                let state = self.cluster.lock();
                if self.process.is_running() {
                    return state.instances[self.index].status();
                }
            }
            async_io::Timer::after(process::POLL_INTERVAL).await;
        }
    }

    async fn run_fence(&self, term: id::Term) -> Result<status::Status, upstream::Failure> {
        self.check_link().await?;
        let fence = |state: &mut cluster::State| {
            let instance = &mut state.instances[self.index];
            instance.fence(term);
            let status = instance.status();
            (operation::Point::Fenced(state.count_fence()), status)
        };
        let status = self.cluster.reach_by(self.proxy, fence).await;
        self.check_answer().await?;
        Ok(status)
    }

    async fn run_promotion(&self, term: id::Term) -> Result<status::Status, upstream::Failure> {
        self.reach(operation::Point::Promotes).await;
        self.check_link().await?;
        let promote = |state: &mut cluster::State| {
            if state.instances[self.index].promote(term) {
                state
                    .primaries_by_term
                    .entry(term)
                    .or_default()
                    .insert(self.index);
            }
            (operation::Point::Promoted, ())
        };
        self.cluster.reach_by(self.proxy, promote).await;
        self.check_answer().await?;
        Ok(self.instance_status())
    }

    async fn connect(&self) -> Result<Box<dyn upstream::Connection>, upstream::Failure> {
        self.check_link().await?;
        Ok(Box::new(Connection {
            upstream: self.clone(),
            incarnation: self.instance_status().incarnation,
            open_writes: None,
        }))
    }
}

impl upstream::Upstream for Upstream {
    fn status(&self) -> future::BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        self.probe().boxed()
    }

    fn fence(
        &self,
        term: id::Term,
    ) -> future::BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        self.run_fence(term).boxed()
    }

    fn promote(
        &self,
        term: id::Term,
    ) -> future::BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        self.run_promotion(term).boxed()
    }

    fn open(
        &self,
    ) -> future::BoxFuture<'_, Result<Box<dyn upstream::Connection>, upstream::Failure>> {
        self.connect().boxed()
    }
}

impl Connection {
    /// Fails if the instance was stopped or restarted. Never resolves on a silent link; the
    /// request's deadline ends the wait.
    async fn check_connection(&self) -> Result<(), upstream::Failure> {
        match self.upstream.link() {
            Link::Up if self.upstream.instance_status().incarnation == self.incarnation => Ok(()),
            Link::Silent => future::pending().await,
            _ => Err(upstream::Failure::Unknown("connection reset".into())),
        }
    }

    async fn exchange(&mut self, frame: &frame::Frame) -> Result<reply::Reply, upstream::Failure> {
        let (kind, request) = decode(frame);
        self.upstream.reach(operation::Point::Arrives(kind)).await;
        self.check_connection().await?;
        let write_duration = self.upstream.cluster.lock().write_duration;
        if kind == Kind::Write {
            async_io::Timer::after(write_duration).await;
            self.check_connection().await?;
        }
        let (cluster, proxy) = (self.upstream.cluster.clone(), self.upstream.proxy);
        let run = |state: &mut cluster::State| {
            let reply = self.execute(state, kind, request);
            (operation::Point::Ran(kind), reply)
        };
        let reply = cluster.reach_by(proxy, run).await;
        self.check_connection().await?;
        self.upstream.check_answer().await?;
        if matches!(kind, Kind::Write | Kind::Commit) {
            self.upstream.cluster.lock().batch_answered = true;
        }
        Ok(reply)
    }

    fn execute(&mut self, state: &mut cluster::State, kind: Kind, request: u64) -> reply::Reply {
        let index = self.upstream.index;
        if kind != Kind::Read && !state.instances[index].leads() {
            self.open_writes = None;
            return reply(kind, request, &[], Some(READ_ONLY_SQLSTATE));
        }
        match kind {
            Kind::Write => state.append(index, &[request]),
            Kind::Begin => self.open_writes = Some(Vec::new()),
            Kind::Insert => self.open_writes.get_or_insert_default().push(request),
            Kind::Commit => {
                let writes = self.open_writes.take().unwrap_or_default();
                state.append(index, &writes);
            }
            Kind::Read => {}
        }
        state.batch_committed |= matches!(kind, Kind::Write | Kind::Commit);
        let rows: Vec<u64> = match kind {
            Kind::Read => state.instances[index].writes().collect(),
            _ => Vec::new(),
        };
        let mut reply = reply(kind, request, &rows, None);
        if self.open_writes.is_some() {
            reply.transaction = transaction::State::Open;
        } else {
            reply.stamp = Some(state.instances[index].stamp());
        }
        reply
    }
}

impl upstream::Connection for Connection {
    fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    fn run<'a>(
        &'a mut self,
        frames: &'a [frame::Frame],
    ) -> future::BoxFuture<'a, Result<reply::Reply, upstream::Failure>> {
        self.exchange(&frames[0]).boxed()
    }
}

/// Encodes a request as a frame.
pub fn encode(kind: Kind, request: u64) -> frame::Frame {
    frame::Frame {
        tag: b'Q',
        body: format!("{} {request}", kind.name()).into(),
    }
}

fn decode(frame: &frame::Frame) -> (Kind, u64) {
    let text = std::str::from_utf8(&frame.body).expect("the body is UTF-8");
    let (name, request) = text
        .split_once(' ')
        .expect("the body has a kind and a request number");
    let kind = Kind::ALL.iter().find(|kind| kind.name() == name);
    let request = request.parse().expect("the request is a number");
    (*kind.expect("the kind is known"), request)
}

fn reply(kind: Kind, request: u64, rows: &[u64], error: Option<&str>) -> reply::Reply {
    let head = frame::Frame {
        tag: HEAD_TAG,
        ..encode(kind, request)
    };
    let row = |row: &u64| frame::Frame {
        tag: ROW_TAG,
        body: row.to_string().into(),
    };
    let end = frame::Frame {
        tag: END_TAG,
        body: rows.len().to_string().into(),
    };
    reply::Reply {
        frames: [head]
            .into_iter()
            .chain(rows.iter().map(row))
            .chain([end])
            .collect(),
        transaction: transaction::State::Idle,
        stamp: None,
        error: error.map(Into::into),
    }
}

/// Returns the rows of an answer; `None` if it is incomplete or belongs to another request.
pub fn rows(reply: &reply::Reply, kind: Kind, request: u64) -> Option<Vec<u64>> {
    let (head, rest) = reply.frames.split_first()?;
    let (end, rows) = rest.split_last()?;
    let own = head.tag == HEAD_TAG && head.body == encode(kind, request).body;
    let whole = end.tag == END_TAG && end.body == rows.len().to_string();
    let number = |row: &frame::Frame| std::str::from_utf8(&row.body).ok()?.parse().ok();
    (own && whole).then(|| rows.iter().map(number).collect())?
}
