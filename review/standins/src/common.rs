//! What the cases share: the record, the node processes, and the group of stand-in instances.

use std::cell::RefCell;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangotray_soak::{instance, ports, registry, store, world};

use crate::tap;

pub type Executor = Rc<async_executor::LocalExecutor<'static>>;

/// The file in the case's folder that tells what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Rc<RefCell<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> eyre::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Rc::new(RefCell::new(fs::File::create(path)?)),
        })
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} s  {text}", self.began.elapsed().as_secs_f64());
        println!("{line}");
        writeln!(self.file.borrow_mut(), "{line}").expect("the record can be written");
    }
}

/// A node, started with the command of the deploy file. Killed when dropped.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub child: Child,
}

impl Node {
    /// The settings are those of `deploy/node.ini`, with the figures of the small deployments.
    pub fn start(
        number: usize,
        folder: &Path,
        platform: SocketAddr,
        ports: &mut ports::Ports,
    ) -> eyre::Result<Self> {
        let name = format!("front-{number}");
        let [callers, health, peers] = [ports.free()?, ports.free()?, ports.free()?];
        let settings = folder.join(format!("{name}.ini"));
        let domain = number % 3;
        fs::write(
            &settings,
            format!(
                "[vm]\nname = {name}\ndomain = d{domain}\n\n[listen]\ncallers = {callers}\n\
                 health = {health}\npeers = {peers}\n\n[store]\naddress = {platform}\n\
                 lease_least_ms = 1000\n\n[duty]\naddress = {platform}\n\n[stop]\ngrace_s = 6\n\n\
                 [limits]\ndescriptors = 4300\n"
            ),
        )?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/mangotray-node")
            .env("MANGOTRAY_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name,
            callers,
            child,
        })
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = i32::try_from(self.child.id()).ok();
        if let Some(pid) = pid.and_then(rustix::process::Pid::from_raw) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The stand-ins of the platform's store and of one group of three instances.
pub struct Stage {
    pub world: world::Shared,
    pub store: store::Shared,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Requesters' statements that have reached an instance.
    pub runs: tap::Runs,
}

impl Stage {
    /// Each message between a node and an instance takes `one_way_ms` on its way.
    pub async fn set_up(executor: &Executor, one_way_ms: u64) -> eyre::Result<Self> {
        let world = world::World::new(1);
        let store = store::Store::new(Rc::clone(&world), 2);
        let stage = Self {
            world,
            store,
            // Set below.
            platform: SocketAddr::from(([127, 0, 0, 1], 0)),
            runs: tap::Runs::default(),
        };
        for (number, id) in registry::INSTANCES.iter().enumerate() {
            stage
                .start_instance(executor, id, number == 0, one_way_ms)
                .await?;
            stage.register(id);
        }
        let (store, world) = (&stage.store, &stage.world);
        registry::configure(store, 1);
        let platform = store::start(store, executor).await?;
        let (replicated, kept) = (Rc::clone(world), Rc::clone(store));
        executor
            .spawn(async move {
                let mut roles = std::collections::BTreeMap::new();
                loop {
                    pause(3).await;
                    replicated.borrow_mut().replicate();
                    kept.borrow_mut().apply_due_promotions();
                    kept.borrow_mut().expire_leases();
                    for id in registry::INSTANCES {
                        let role = {
                            let world = replicated.borrow();
                            let instance = &world.instances[id];
                            (instance.primary, instance.up)
                        };
                        if roles.insert(id, role) != Some(role) && role.1 {
                            registry::register(&kept, &replicated, id);
                        }
                    }
                }
            })
            .detach();
        Ok(Self { platform, ..stage })
    }

    async fn start_instance(
        &self,
        executor: &Executor,
        id: &str,
        primary: bool,
        one_way_ms: u64,
    ) -> eyre::Result<()> {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
        let target = listener.local_addr()?;
        let address = tap::instance_link(id, target, one_way_ms, &self.runs, executor).await?;
        let instance = world::Instance {
            id: id.to_owned(),
            address,
            primary,
            term: 1,
            log: Vec::new(),
            hold_term: 0,
            up: true,
            dark_since: None,
            incarnation: 0,
            draining: false,
            lag: Some(world::REPLICA_LAG),
            lost_answer_rate: 0.0,
            active_statements: 0,
            superseded_since: None,
        };
        self.world
            .borrow_mut()
            .instances
            .insert(id.to_owned(), instance);
        let serve = instance::serve(
            Rc::clone(&self.world),
            id.to_owned(),
            listener,
            Rc::clone(executor),
        );
        executor.spawn(serve).detach();
        Ok(())
    }

    /// Starts a new replica, which isn't listed yet.
    pub async fn add_replica(
        &self,
        executor: &Executor,
        id: &str,
        one_way_ms: u64,
    ) -> eyre::Result<()> {
        self.start_instance(executor, id, false, one_way_ms).await
    }

    /// Writes an instance's entry into the store.
    pub fn register(&self, id: &str) {
        registry::register(&self.store, &self.world, id);
    }

    /// Whether a replica receives nothing.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        if let Some(instance) = self.world.borrow_mut().instances.get_mut(id) {
            instance.set_lag((!deaf).then_some(world::REPLICA_LAG));
        }
    }

    /// Records the lost commits and the calls with a lower number than one before. Returns whether
    /// no commit was lost.
    pub fn report_losses(&self, record: &Record, calls: &tap::Calls) -> eyre::Result<bool> {
        let mut world = self.world.borrow_mut();
        world.finished = true;
        record.note(&format!(
            "{} operations served at the end",
            world.checker.served
        ));
        let (mut one, mut lost) = (0, 0);
        // What a promote has rolled back is missing in later reads as well, which isn't counted again.
        for violation in &world.checker.violations {
            one += usize::from(violation.starts_with("ONE"));
            lost += usize::from(violation.starts_with("LOST"));
            if violation.starts_with("ONE") || violation.starts_with("LOST") {
                record.note(&format!("check of the stand-ins: {violation}"));
            }
        }
        eyre::ensure!(calls.count > 0, "no promotion was ordered");
        eyre::ensure!(
            one == calls.stale.len(),
            "the two checks of the calls differ"
        );
        for call in &calls.stale {
            record.note(&format!(
                "BROKEN ONE: a lower generation number than one seen before: {call}"
            ));
        }
        if lost > 0 {
            record.note(&format!(
                "BROKEN LOST: {lost} acknowledged commits aren't in the log of the promoted instance"
            ));
        }
        Ok(lost == 0)
    }

    /// The instance that leads, and its term.
    pub fn leader(&self) -> Option<(String, u64)> {
        let world = self.world.borrow();
        let leader = world.leader().filter(|leader| leader.up);
        leader.map(|leader| (leader.id.clone(), leader.term))
    }

    /// Crashes an instance: its process is gone, its address refuses, and it writes nothing more.
    pub fn crash(&self, id: &str) {
        if let Some(instance) = self.world.borrow_mut().instances.get_mut(id) {
            instance.up = false;
        }
    }

    /// Starts a crashed instance again with its log; as a replica if another leads by now.
    pub fn come_back(&self, id: &str) {
        let superseded = self.leader().is_some_and(|(leader, _)| leader != id);
        if let Some(instance) = self.world.borrow_mut().instances.get_mut(id) {
            instance.up = true;
            instance.incarnation += 1;
            instance.hold_term = 0;
            if superseded {
                instance.step_down();
            }
        }
    }
}

pub async fn pause(millis: u64) {
    async_io::Timer::after(Duration::from_millis(millis)).await;
}
