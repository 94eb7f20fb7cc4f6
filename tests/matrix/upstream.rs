//! Instances as one proxy meets them.

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

use crate::operation;
use crate::operation::Kind;
use crate::world;

/// Time after which a control call without an answer fails.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Time after which a lost answer is noticed.
const LOST_AFTER: time::Duration = time::Duration::from_millis(100);

/// SQLSTATE of a write on an instance that does not lead.
const READ_ONLY: &str = "25006";

/// The proxy whose batches are awaited.
const AT_WORK: usize = 0;

/// Tags of the frames of an answer.
const HEAD: u8 = b'T';
const ROW: u8 = b'D';
const END: u8 = b'C';

/// One proxy's way to one instance.
#[derive(Clone)]
pub struct Upstream {
    pub world: sync::Arc<world::World>,
    pub proxy: usize,
    pub index: id::Index,
}

struct Connection {
    upstream: Upstream,
    incarnation: id::Incarnation,
    open: Option<Vec<u64>>,
}

/// How a call meets the instance at a moment.
enum Link {
    Up,
    Refused,
    Silent,
}

impl Upstream {
    fn link(&self) -> Link {
        let state = self.world.lock();
        match (
            state.reachable[self.index],
            state.instances[self.index].running,
        ) {
            (false, _) => Link::Silent,
            (true, false) => Link::Refused,
            (true, true) => Link::Up,
        }
    }

    async fn reach(&self, point: operation::Point) {
        self.world.reach(self.proxy, point).await;
    }

    /// Fails like a control call to an instance that cannot be reached.
    async fn control(&self) -> Result<(), upstream::Failure> {
        match self.link() {
            Link::Up => Ok(()),
            Link::Refused => Err(upstream::Failure::NotRun("refused".into())),
            Link::Silent => {
                async_io::Timer::after(CONTROL_TIMEOUT).await;
                Err(upstream::Failure::Unknown("no answer".into()))
            }
        }
    }

    /// Fails when the answer of a call that ran is lost.
    async fn answer(&self) -> Result<(), upstream::Failure> {
        self.control().await?;
        if self.world.lock().deaf.remove(&self.proxy) {
            async_io::Timer::after(LOST_AFTER).await;
            return Err(upstream::Failure::Unknown("the answer was lost".into()));
        }
        Ok(())
    }

    fn seen(&self) -> status::Status {
        self.world.lock().instances[self.index].status()
    }

    async fn probe(&self) -> Result<status::Status, upstream::Failure> {
        if self.proxy == AT_WORK && self.world.lock().answered {
            self.reach(operation::Point::Confirms).await;
        }
        self.control().await?;
        Ok(self.seen())
    }

    async fn fenced(&self, term: id::Term) -> Result<status::Status, upstream::Failure> {
        self.control().await?;
        let fence = |state: &mut world::State| {
            let instance = &mut state.instances[self.index];
            instance.fence(term);
            let status = instance.status();
            (operation::Point::Fenced(state.count_fence()), status)
        };
        let status = self.world.reach_by(self.proxy, fence).await;
        self.answer().await?;
        Ok(status)
    }

    async fn promoted(&self, term: id::Term) -> Result<status::Status, upstream::Failure> {
        self.reach(operation::Point::Promotes).await;
        self.control().await?;
        let promote = |state: &mut world::State| {
            if state.instances[self.index].promote(term) {
                state.reigns.entry(term).or_default().insert(self.index);
            }
            (operation::Point::Promoted, ())
        };
        self.world.reach_by(self.proxy, promote).await;
        self.answer().await?;
        Ok(self.seen())
    }

    async fn connect(&self) -> Result<Box<dyn upstream::Connection>, upstream::Failure> {
        self.control().await?;
        Ok(Box::new(Connection {
            upstream: self.clone(),
            incarnation: self.seen().incarnation,
            open: None,
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
        self.fenced(term).boxed()
    }

    fn promote(
        &self,
        term: id::Term,
    ) -> future::BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        self.promoted(term).boxed()
    }

    fn open(
        &self,
    ) -> future::BoxFuture<'_, Result<Box<dyn upstream::Connection>, upstream::Failure>> {
        self.connect().boxed()
    }
}

impl Connection {
    /// Waits for ever on a silent link; the request's deadline ends it.
    async fn alive(&self) -> Result<(), upstream::Failure> {
        match self.upstream.link() {
            Link::Up if self.upstream.seen().incarnation == self.incarnation => Ok(()),
            Link::Silent => future::pending().await,
            _ => Err(upstream::Failure::Unknown("connection reset".into())),
        }
    }

    async fn exchange(&mut self, frame: &frame::Frame) -> Result<reply::Reply, upstream::Failure> {
        let (kind, request) = decode(frame);
        self.upstream.reach(operation::Point::Arrives(kind)).await;
        self.alive().await?;
        let effort = self.upstream.world.lock().effort;
        if kind == Kind::Write {
            async_io::Timer::after(effort).await;
            self.alive().await?;
        }
        let (world, proxy) = (self.upstream.world.clone(), self.upstream.proxy);
        let run = |state: &mut world::State| {
            let reply = self.execute(state, kind, request);
            (operation::Point::Ran(kind), reply)
        };
        let reply = world.reach_by(proxy, run).await;
        self.alive().await?;
        self.upstream.answer().await?;
        if matches!(kind, Kind::Write | Kind::Commit) {
            self.upstream.world.lock().answered = true;
        }
        Ok(reply)
    }

    fn execute(&mut self, state: &mut world::State, kind: Kind, request: u64) -> reply::Reply {
        let index = self.upstream.index;
        if kind != Kind::Read && !state.instances[index].leads() {
            self.open = None;
            return reply(kind, request, &[], Some(READ_ONLY));
        }
        match kind {
            Kind::Write => state.append(index, &[request]),
            Kind::Begin => self.open = Some(Vec::new()),
            Kind::Insert => self.open.get_or_insert_default().push(request),
            Kind::Commit => {
                let writes = self.open.take().unwrap_or_default();
                state.append(index, &writes);
            }
            Kind::Read => {}
        }
        state.ran |= matches!(kind, Kind::Write | Kind::Commit);
        let rows: Vec<u64> = match kind {
            Kind::Read => state.instances[index].writes().collect(),
            _ => Vec::new(),
        };
        let mut reply = reply(kind, request, &rows, None);
        if self.open.is_some() {
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

/// The frame of a request.
pub fn encode(kind: Kind, request: u64) -> frame::Frame {
    frame::Frame {
        tag: b'Q',
        body: format!("{} {request}", kind.name()).into(),
    }
}

fn decode(frame: &frame::Frame) -> (Kind, u64) {
    let text = std::str::from_utf8(&frame.body).expect("the cell's own text");
    let (name, request) = text.split_once(' ').expect("two words");
    let kind = Kind::ALL.iter().find(|kind| kind.name() == name);
    let request = request.parse().expect("a number");
    (*kind.expect("a known kind"), request)
}

fn reply(kind: Kind, request: u64, rows: &[u64], error: Option<&str>) -> reply::Reply {
    let head = frame::Frame {
        tag: HEAD,
        ..encode(kind, request)
    };
    let row = |row: &u64| frame::Frame {
        tag: ROW,
        body: row.to_string().into(),
    };
    let end = frame::Frame {
        tag: END,
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

/// The rows of an answer; `None` when it is not whole or belongs to another request.
pub fn rows(reply: &reply::Reply, kind: Kind, request: u64) -> Option<Vec<u64>> {
    let (head, rest) = reply.frames.split_first()?;
    let (end, rows) = rest.split_last()?;
    let own = head.tag == HEAD && head.body == encode(kind, request).body;
    let whole = end.tag == END && end.body == rows.len().to_string();
    let number = |row: &frame::Frame| std::str::from_utf8(&row.body).ok()?.parse().ok();
    (own && whole).then(|| rows.iter().map(number).collect())?
}
