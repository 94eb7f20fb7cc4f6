//! A proxy: the production runtime of a group on fake instances and a fake store.

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

use crate::cluster;
use crate::operation;
use crate::operation::Kind;
use crate::process;
use crate::store;
use crate::upstream as fake;

/// A proxy's share of the connections and slots of each instance.
const INSTANCE_SHARE: pool::Limit = pool::Limit {
    connections: 4,
    slots: 3,
};

/// Validity of a share; longer than any cell runs.
const SHARE_DURATION: time::Duration = time::Duration::from_hours(1);

/// Maximum age of data that reads of `AGED_TABLE` accept.
pub const MAX_READ_AGE: time::Duration = time::Duration::from_millis(300);

/// Table for which the file declares a maximum age.
const AGED_TABLE: &str = "calendar";

pub type Executor = sync::Arc<async_executor::Executor<'static>>;

/// Result of one batch.
pub type Answer = Result<reply::Reply, outcome::Outcome>;

/// A proxy process with its group runtime.
pub struct Proxy {
    pub number: usize,
    pub group: sync::Arc<group::Group>,
    pub terms: sync::Arc<term::Registry>,
    pub process: sync::Arc<process::Process>,
    cluster: sync::Arc<cluster::Cluster>,
    _runner: async_executor::Task<()>,
}

impl Proxy {
    pub fn start(
        pool: &Executor,
        cluster: &sync::Arc<cluster::Cluster>,
        service: &sync::Arc<store::Service>,
        number: usize,
        rank: u32,
    ) -> sync::Arc<Self> {
        let executor = Executor::default();
        let process = sync::Arc::new(process::Process::default());
        let client = store::Client {
            service: service.clone(),
            cluster: cluster.clone(),
            proxy: number,
        };
        let vm = format!("entry-{number}");
        let terms = term::Registry::new(sync::Arc::new(client), "g", vm.into(), number as u64);
        let terms = sync::Arc::new(terms);
        let clock: sync::Arc<dyn clock::Clock> = cluster.clock.clone();
        let group = group::Group::start(group::Parts {
            declaration: declaration(None),
            upstreams: upstreams(cluster, &process, number),
            limit: INSTANCE_SHARE,
            terms: terms.clone(),
            clock,
            domain: "x".into(),
            policy: policy::Policy::Default,
            rank,
            executor: executor.clone(),
        });
        let tasks = executor.clone();
        let run = async move { tasks.run(std::future::pending()).await };
        let proxy = sync::Arc::new(Self {
            number,
            group,
            terms,
            _runner: pool.spawn(process.run(run)),
            process,
            cluster: cluster.clone(),
        });
        proxy.renew_share();
        proxy
    }

    /// Renews the share for [`SHARE_DURATION`].
    pub fn renew_share(&self) {
        self.group
            .set_share(INSTANCE_SHARE, self.cluster.clock.now() + SHARE_DURATION);
    }

    /// Limits the validity of the share to `remaining`.
    pub fn end_share_after(&self, remaining: time::Duration) {
        self.group
            .set_share(INSTANCE_SHARE, self.cluster.clock.now() + remaining);
    }

    /// Sets a declaration of the group that marks the instance `leaving` as leaving.
    pub fn declare(&self, leaving: Option<id::Index>) {
        self.group.set_declaration(declaration(leaving));
    }

    /// Opens a session of a caller on this proxy.
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
    /// Runs one batch; returns `None` if the proxy ended meanwhile. `is_first_batch` marks the
    /// first batch of an operation.
    pub async fn run(&mut self, batch: batch::Batch, is_first_batch: bool) -> Option<Answer> {
        let mut lane = self.lane.take()?;
        let proxy = self.proxy.clone();
        let task = async move {
            if is_first_batch {
                let point = operation::Point::Start;
                proxy.cluster.reach(proxy.number, point).await;
            }
            let answer = lane::Lane::run(&mut lane, batch).await;
            (lane, answer)
        };
        let process = self.proxy.process.clone();
        let run = async { Some(process.run(task).await) };
        let end = async {
            process.wait_for_end().await;
            None
        };
        let (lane, answer) = futures_lite::future::or(run, end).await?;
        self.lane = Some(lane);
        Some(answer)
    }

    /// Returns a batch with a deadline `timeout` from now.
    pub fn batch(&self, kind: Kind, request: u64, timeout: time::Duration) -> batch::Batch {
        let now = self.proxy.cluster.clock.now();
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
            deadline: now + timeout,
        }
    }
}

/// Makes a read accept data up to the age declared for its table.
pub fn with_accepted_age(mut batch: batch::Batch) -> batch::Batch {
    batch.tables = vec![AGED_TABLE.into()];
    batch
}

/// Adds a token to a read.
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
    cluster: &sync::Arc<cluster::Cluster>,
    process: &sync::Arc<process::Process>,
    proxy: usize,
) -> Vec<sync::Arc<dyn upstream::Upstream>> {
    let instances = 0..cluster::INSTANCES;
    instances
        .map(|index| {
            let upstream = fake::Upstream {
                cluster: cluster.clone(),
                process: process.clone(),
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
        instances: (0..cluster::INSTANCES).map(instance).collect(),
        connections: 20,
        slots: 3,
        deadline: time::Duration::from_secs(2),
        ages: vec![database::Age {
            tables: vec![AGED_TABLE.into()],
            limit: MAX_READ_AGE,
        }],
    }
}
