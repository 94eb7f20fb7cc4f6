//! Gossip: exchanges configuration, roster and heartbeats between the proxies.
//!
//! `spread` and `tracker` decide what to send and to whom; this module does the I/O.

use std::net;
use std::sync;
use std::sync::atomic;

use crate::apply;
use crate::declaration;
use crate::directory;
use crate::enrol;
use crate::fleet;
use crate::id;
use crate::peer;
use crate::report;
use crate::revision;
use crate::roster;
use crate::spread;
use crate::store;

/// Maximum number of suspected peers queried in each round, in addition to the regular ones.
const MAX_SUSPECTS_PER_ROUND: usize = 3;

/// Gossip endpoint of this proxy.
pub struct Gossip {
    directory: sync::Arc<directory::Directory>,
    enrolment: sync::Arc<enrol::Enrolment>,
    fleet: sync::Arc<fleet::Fleet>,
    report: sync::Arc<report::Report>,
    seeds: Vec<net::SocketAddr>,
    round: atomic::AtomicUsize,
    node: sync::Mutex<spread::Node>,
    /// Held while a configuration file is applied, so that an older one is never applied after a
    /// newer one.
    installing: async_lock::Mutex<()>,
}

impl Gossip {
    /// Creates an endpoint that knows no peers. The `seeds` are queried while it knows no other
    /// live proxy or holds no configuration.
    #[must_use]
    pub fn new(
        enrolment: sync::Arc<enrol::Enrolment>,
        fleet: sync::Arc<fleet::Fleet>,
        report: sync::Arc<report::Report>,
        seeds: Vec<net::SocketAddr>,
    ) -> Self {
        let directory = fleet.directory().clone();
        let shared = directory.shared();
        let node = spread::Node::new(shared.vm.clone(), shared.clock.now());
        Self {
            directory,
            enrolment,
            fleet,
            report,
            seeds,
            round: atomic::AtomicUsize::new(0),
            node: sync::Mutex::new(node),
            installing: async_lock::Mutex::new(()),
        }
    }

    /// Runs gossip rounds; never returns.
    pub async fn run(self: sync::Arc<Self>) {
        loop {
            self.run_round();
            async_io::Timer::after(enrol::jittered(spread::EXCHANGE_INTERVAL)).await;
        }
    }

    /// Polls the roster and pushes each new one to peers; never returns.
    pub async fn poll(self: sync::Arc<Self>) {
        loop {
            if self.fleet.poll().await {
                self.push_roster();
            }
            async_io::Timer::after(self.fleet.poll_interval()).await;
        }
    }

    /// Whether this proxy is one of the few that watch the store.
    #[must_use]
    pub fn watches(&self) -> bool {
        self.fleet.watches()
    }

    /// Handles the store's answer to a watch or a read of the configuration.
    pub async fn handle_store_answer(self: &sync::Arc<Self>, entry: Option<&store::Entry>) {
        let file = entry.and_then(|entry| match apply::File::decode(&entry.value) {
            Ok(file) => Some(revision::File {
                revision: file.revision,
                text: file.text,
            }),
            Err(error) => {
                tracing::error!(%error, "cannot decode the stored configuration");
                None
            }
        });
        let live = self.fleet.live();
        let actions = self
            .lock()
            .handle_store_answer(file.as_ref(), self.now(), &live);
        self.spawn_actions(actions);
        self.install().await;
    }

    /// Answers a peer's digest.
    pub async fn answer_digest(&self, digest: peer::Digest) -> peer::News {
        self.fleet.record_heartbeat(&digest.sign).await;
        let now = self.now();
        let Some(report) = digest.report else {
            let report = self.lock().report(now);
            return self.news(spread::Answer { report, file: None }, None);
        };
        let answer = self.lock().answer_report(&report, now);
        self.news(answer, self.fleet.update_for(digest.roster))
    }

    /// Handles news pushed by a peer.
    pub async fn handle_news(self: &sync::Arc<Self>, news: peer::News) {
        self.fleet.record_heartbeat(&news.sign).await;
        let live = self.fleet.live();
        let actions = {
            let mut node = self.lock();
            let _ = node.answer_report(&news.answer.report, self.now());
            let file = news.answer.file.as_ref();
            file.map_or_else(Vec::new, |file| node.handle_file(file, &live))
        };
        self.spawn_actions(actions);
        self.install().await;
        if let Some(update) = news.roster
            && self.fleet.apply_push(update).await
        {
            self.push_roster();
        }
    }

    fn run_round(self: &sync::Arc<Self>) {
        let live = self.fleet.live();
        let actions = self.lock().tick(self.now(), &live);
        self.spawn_actions(actions);
        let suspects = self
            .fleet
            .suspects()
            .into_iter()
            .take(MAX_SUSPECTS_PER_ROUND);
        self.spawn_actions(suspects.map(spread::Action::Exchange).collect());
        let needs_seed = live.len() == 1 || self.lock().state().file().is_none();
        if needs_seed && let Some(seed) = self.next_seed() {
            let gossip = self.clone();
            self.spawn(async move { gossip.exchange(seed, None).await });
        }
    }

    fn next_seed(&self) -> Option<net::SocketAddr> {
        let round = self.round.fetch_add(1, atomic::Ordering::Relaxed);
        let index = round.checked_rem(self.seeds.len())?;
        self.seeds.get(index).copied()
    }

    fn spawn_actions(self: &sync::Arc<Self>, actions: Vec<spread::Action>) {
        for action in actions {
            let gossip = self.clone();
            self.spawn(async move { gossip.perform(action).await });
        }
    }

    async fn perform(self: sync::Arc<Self>, action: spread::Action) {
        match action {
            spread::Action::Push(vm) => self.push(&vm).await,
            spread::Action::Exchange(vm) => {
                if let Some(member) = self.directory.roster().member(&vm) {
                    self.exchange(member.address, Some(&vm)).await;
                }
            }
            spread::Action::Read => {
                if let Ok(found) = self.directory.shared().store.get(apply::KEY).await {
                    self.handle_store_answer(found.as_ref()).await;
                }
            }
        }
    }

    async fn push(&self, vm: &id::Vm) {
        let answer = {
            let node = self.lock();
            spread::Answer {
                report: node.report(self.now()),
                file: node.state().file().cloned(),
            }
        };
        self.announce(vm, self.news(answer, None)).await;
    }

    /// Pushes the current roster to this proxy's children in the distribution tree, as is done
    /// for the configuration.
    fn push_roster(self: &sync::Arc<Self>) {
        let now = self.now();
        let Some(update) = self.fleet.update_for(None) else {
            return;
        };
        let live = self.fleet.live();
        let report = self.lock().report(now);
        let answer = spread::Answer { report, file: None };
        let vm = &self.directory.shared().vm;
        for target in spread::targets(vm, &live, update.mark.checksum) {
            let news = self.news(answer.clone(), Some(update.clone()));
            let gossip = self.clone();
            self.spawn(async move { gossip.announce(&target, news).await });
        }
    }

    async fn announce(&self, vm: &id::Vm, news: peer::News) {
        let Some(member) = self.directory.roster().member(vm) else {
            return;
        };
        let endpoint = self.directory.shared().peers.endpoint(member.address);
        let delivered = match endpoint.connection().await {
            Some(connection) => connection.announce(news).await.is_ok(),
            None => false,
        };
        if !delivered {
            self.fleet.record_missed_heartbeat(vm);
        }
    }

    async fn exchange(self: &sync::Arc<Self>, address: net::SocketAddr, vm: Option<&id::Vm>) {
        let asked = self.now();
        let digest = peer::Digest {
            sign: self.enrolment.heartbeat(),
            report: Some(self.lock().report(asked)),
            roster: self.fleet.digest(),
        };
        let endpoint = self.directory.shared().peers.endpoint(address);
        let news = match endpoint.connection().await {
            Some(connection) => connection.exchange(digest).await.ok(),
            None => None,
        };
        match (news, vm) {
            (Some(news), _) => self.handle_answer(news, asked).await,
            (None, Some(vm)) => self.fleet.record_missed_heartbeat(vm),
            (None, None) => tracing::warn!(%address, "seed did not answer"),
        }
    }

    async fn handle_answer(self: &sync::Arc<Self>, news: peer::News, asked: id::Time) {
        self.fleet.record_heartbeat(&news.sign).await;
        // The roster goes first: the actions below look up member addresses in it.
        if let Some(update) = news.roster
            && self.fleet.apply_update(update, asked).await
        {
            self.push_roster();
        }
        let live = self.fleet.live();
        let actions = self
            .lock()
            .handle_answer(&news.sign.vm, &news.answer, self.now(), &live);
        self.spawn_actions(actions);
        self.install().await;
    }

    /// Applies the newest configuration file held, unless it is already applied.
    async fn install(&self) {
        let _guard = self.installing.lock().await;
        let held = self.lock().state().file().cloned();
        let Some(file) = held.filter(|file| file.revision > self.report.revision()) else {
            return;
        };
        match declaration::Declaration::parse(&file.text) {
            Ok(declared) => {
                self.fleet.set_catalog(declared.catalog).await;
                self.report.set_revision(file.revision);
                tracing::info!(target: "mangotray::placement", revision = file.revision,
                    "configuration in force");
            }
            Err(faults) => tracing::error!(?faults, "stored configuration is invalid"),
        }
    }

    fn news(&self, answer: spread::Answer, roster: Option<roster::Update>) -> peer::News {
        peer::News {
            sign: self.enrolment.heartbeat(),
            answer,
            roster,
            primaries: Vec::new(),
            witness: self.enrolment.report(),
            suspects: Vec::new(),
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.directory.shared().executor.spawn(task).detach();
    }

    fn now(&self) -> id::Time {
        self.directory.shared().clock.now()
    }

    fn lock(&self) -> sync::MutexGuard<'_, spread::Node> {
        let guard = self.node.lock();
        guard.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
