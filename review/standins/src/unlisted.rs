//! Case of a promotion right after an outage of the store: a replica that isn't listed yet is the
//! only one with some commits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangotray_soak::{caller, ports, store};

use crate::common::{Executor, Node, Record, Stage, pause};
use crate::tap::{Calls, Link};

const CALLERS: usize = 12;

/// `heartbeat_ms` of the small deployments, in which a new instance writes its entry again.
const PING: Duration = Duration::from_millis(1200);

pub async fn run(trouble: bool, record: &Record, executor: &Executor) -> eyre::Result<bool> {
    let folder = tempfile::tempdir()?;
    let stage = Stage::set_up(executor, 1).await?;
    let calls = Rc::<RefCell<Calls>>::default();
    let mut ports = ports::Ports::reserve()?;
    let mut nodes = Vec::new();
    for number in 0..3 {
        let name = format!("front-{number}");
        let (_, address) = Link::start(name, stage.platform, &calls, record, executor).await?;
        nodes.push(Node::start(number, folder.path(), address, &mut ports)?);
    }
    pause(5000).await;
    let addresses: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    for number in 0..CALLERS {
        let seed = number as u64 + 1;
        let caller = caller::run(Rc::clone(&stage.world), number, addresses.clone(), seed);
        executor.spawn(caller).detach();
    }
    pause(5000).await;
    let served = stage.world.borrow().checker.served;
    record.note(&format!("{served} operations served so far"));
    eyre::ensure!(served > 0, "no operation was served before the disruption");
    let set_fault = |fault| stage.store.borrow_mut().fault = fault;
    if trouble {
        set_fault(store::Fault::Busy);
        record.note("the store is down: it answers 503");
    }
    pause(1000).await;
    stage.add_replica(executor, "i-d", 1).await?;
    record.note("i-d starts, as the successor of a replica, and receives the log");
    if !trouble {
        stage.register("i-d");
        record.note("i-d is listed");
    }
    pause(500).await;
    for id in ["i-b", "i-c"] {
        stage.set_deaf(id, true);
    }
    record.note("i-b and i-c receive nothing for now");
    pause(2000).await;
    stage.crash("i-a");
    let acknowledged = stage.world.borrow().checker.acknowledged.len();
    record.note(&format!(
        "the primary i-a crashes; {acknowledged} commits were acknowledged so far"
    ));
    pause(700).await;
    set_fault(store::Fault::None);
    let returned = Instant::now();
    record.note("the store answers");
    if trouble {
        // The next ping of i-d.
        let registered = returned + PING;
        while Instant::now() < registered {
            pause(10).await;
        }
        stage.register("i-d");
        record.note("i-d is listed");
    }
    for id in ["i-b", "i-c"] {
        stage.set_deaf(id, false);
    }
    let limit = Instant::now() + Duration::from_secs(15);
    while stage.leader().is_none_or(|(id, _)| id == "i-a") {
        eyre::ensure!(Instant::now() < limit, "the primary was not replaced");
        pause(10).await;
    }
    record.note(&format!("the leader and its term: {:?}", stage.leader()));
    pause(3000).await;
    stage.report_losses(record, &calls.borrow())
}
