//! One proxy: the real runtime of a group over the fakes.

use std::net;
use std::sync;
use std::time;

use mangotray::batch;
use mangotray::class;
use mangotray::clock;
use mangotray::clock::Clock;
use mangotray::database;
use mangotray::direct;
use mangotray::group;
use mangotray::id;
use mangotray::lane;
use mangotray::outcome;
use mangotray::policy;
use mangotray::pool;
use mangotray::reply;
use mangotray::stamp;
use mangotray::term;
use mangotray::upstream;

use crate::life;
use crate::operation;
use crate::operation::Kind;
use crate::store;
use crate::upstream as fake;
use crate::world;

/// Share of each instance.
const LIMIT: pool::Limit = pool::Limit {
    connections: 4,
    slots: 3,
};

/// Time for which a share is given when nothing is to end it.
const FAR: time::Duration = time::Duration::from_hours(1);

/// Age that reads of `AGED_TABLE` accept.
pub const AGE: time::Duration = time::Duration::from_millis(300);

/// Table with a stated age.
const AGED_TABLE: &str = "calendar";

pub type Executor = sync::Arc<async_executor::Executor<'static>>;

/// What came of one batch.
pub type Answer = Result<reply::Reply, outcome::Outcome>;

/// A proxy.
pub struct Proxy {
    pub number: usize,
    pub group: sync::Arc<group::Group>,
    pub terms: sync::Arc<term::Registry>,
    pub life: sync::Arc<life::Life>,
    world: sync::Arc<world::World>,
    _runner: async_executor::Task<()>,
}

impl Proxy {
    pub fn start(
        pool: &Executor,
        world: &sync::Arc<world::World>,
        service: &sync::Arc<store::Service>,
        number: usize,
        rank: u32,
    ) -> sync::Arc<Self> {
        let executor = Executor::default();
        let client = store::Client {
            service: service.clone(),
            world: world.clone(),
            proxy: number,
        };
        let vm = format!("entry-{number}");
        let terms = term::Registry::new(sync::Arc::new(client), "g", vm.into(), number as u64);
        let terms = sync::Arc::new(terms);
        let clock: sync::Arc<dyn clock::Clock> = world.clock.clone();
        let group = group::Group::start(group::Parts {
            declaration: declaration(None),
            upstreams: upstreams(world, number),
            limit: LIMIT,
            terms: terms.clone(),
            clock,
            domain: "x".into(),
            policy: policy::Policy::Default,
            rank,
            executor: executor.clone(),
        });
        let life = sync::Arc::new(life::Life::default());
        let tasks = executor.clone();
        let run = async move { tasks.run(std::future::pending()).await };
        let proxy = sync::Arc::new(Self {
            number,
            group,
            terms,
            _runner: pool.spawn(life.work(run)),
            life,
            world: world.clone(),
        });
        proxy.renew();
        proxy
    }

    /// Gives the share again.
    pub fn renew(&self) {
        self.group.set_share(LIMIT, self.world.clock.now() + FAR);
    }

    /// Lets the share end after `left`.
    pub fn lapse(&self, left: time::Duration) {
        self.group.set_share(LIMIT, self.world.clock.now() + left);
    }

    /// Puts a file in force that takes `leaving` out of service.
    pub fn declare(&self, leaving: Option<id::Index>) {
        self.group.set_declaration(declaration(leaving));
    }

    /// A session of this proxy.
    pub fn session(self: &sync::Arc<Self>) -> Session {
        Session {
            proxy: self.clone(),
            lane: Some(direct::Lane::new(self.group.clone())),
        }
    }
}

/// A caller's session.
pub struct Session {
    proxy: sync::Arc<Proxy>,
    lane: Option<direct::Lane>,
}

impl Session {
    /// Runs one batch; `None` when the proxy died under it. `started` marks the first
    /// batch of an operation.
    pub async fn run(&mut self, batch: batch::Batch, started: bool) -> Option<Answer> {
        let mut lane = self.lane.take()?;
        let proxy = self.proxy.clone();
        let task = async move {
            if started {
                let point = operation::Point::Start;
                proxy.world.reach(proxy.number, point).await;
            }
            let answer = lane::Lane::run(&mut lane, batch).await;
            (lane, answer)
        };
        let life = self.proxy.life.clone();
        let run = async { Some(life.work(task).await) };
        let end = async {
            life.ended().await;
            None
        };
        let (lane, answer) = futures_lite::future::or(run, end).await?;
        self.lane = Some(lane);
        Some(answer)
    }

    /// A batch to be answered within `patience`.
    pub fn batch(&self, kind: Kind, request: u64, patience: time::Duration) -> batch::Batch {
        let now = self.proxy.world.clock.now();
        batch::Batch {
            mixed: false,
            own: None,
            request,
            caller: 1,
            frames: vec![fake::encode(kind, request)],
            class: class(kind),
            tables: Vec::new(),
            token: None,
            arrived: now,
            deadline: now + patience,
        }
    }
}

/// Makes a read accept data of a stated age.
pub fn aged(mut batch: batch::Batch) -> batch::Batch {
    batch.tables = vec![AGED_TABLE.into()];
    batch
}

/// Makes a read carry a token.
pub fn with_token(mut batch: batch::Batch, token: stamp::Stamp) -> batch::Batch {
    batch.token = Some(token);
    batch
}

fn class(kind: Kind) -> class::Class {
    match kind {
        Kind::Write | Kind::Insert => class::Class::Write,
        Kind::Begin => class::Class::Begin,
        Kind::Commit => class::Class::Commit,
        Kind::Read => class::Class::Read,
    }
}

fn upstreams(
    world: &sync::Arc<world::World>,
    proxy: usize,
) -> Vec<sync::Arc<dyn upstream::Upstream>> {
    let instances = 0..world::INSTANCES;
    instances
        .map(|index| {
            let world = world.clone();
            let upstream = fake::Upstream {
                world,
                proxy,
                index,
            };
            sync::Arc::new(upstream) as sync::Arc<dyn upstream::Upstream>
        })
        .collect()
}

fn declaration(leaving: Option<id::Index>) -> database::Group {
    let instance = |index: usize| database::Instance {
        name: format!("i{index}").into(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: format!("d{index}").into(),
        leaving: leaving == Some(index),
    };
    database::Group {
        name: "g".into(),
        database: "g".into(),
        instances: (0..world::INSTANCES).map(instance).collect(),
        connections: 20,
        slots: 3,
        deadline: time::Duration::from_secs(2),
        ages: vec![database::Age {
            tables: vec![AGED_TABLE.into()],
            limit: AGE,
        }],
    }
}
