//! Cases of the duty of promotions: the order of a holder whose lease has ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangotray_soak::{caller, ports};
use rustix::process::Signal;

use crate::common::{Executor, Node, Record, Stage, pause};
use crate::tap::{Calls, Link};

/// How the holder is disrupted between the record of its promotion and its order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// It is frozen, as `node_freeze` does.
    Freeze,
    /// It is partitioned from the platform, as `core_cut` and `node_cut` do.
    Cut,
}

impl Disruption {
    const fn length(self) -> Duration {
        match self {
            Self::Freeze => FREEZE,
            Self::Cut => CUT,
        }
    }
}

const NODES: usize = 3;
const CALLERS: usize = 12;

/// Twice the 4 s of `node_freeze` in the site files.
const FREEZE: Duration = Duration::from_millis(8000);

/// The `for_s` of `node_cut` in the site files is 5.5 s; twice that would be allowed.
const CUT: Duration = Duration::from_millis(8000);

/// Time from the record's acceptance to the freeze: the holder has read the answer by then, and
/// asks the replicas for their status, which takes twice the delay of their links.
const FREEZE_AFTER: u64 = 25;

pub async fn run(
    disruption: Disruption,
    trouble: bool,
    record: &Record,
    executor: &Executor,
) -> eyre::Result<bool> {
    let folder = tempfile::tempdir()?;
    let stage = Stage::set_up(executor, 30).await?;
    let calls = Rc::<RefCell<Calls>>::default();
    let mut ports = ports::Ports::reserve()?;
    let (mut nodes, mut links) = (Vec::new(), Vec::new());
    for number in 0..NODES {
        let name = format!("front-{number}");
        let (link, address) = Link::start(name, stage.platform, &calls, record, executor).await?;
        nodes.push(Node::start(number, folder.path(), address, &mut ports)?);
        links.push(link);
    }
    pause(5000).await;
    let addresses: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    for number in 0..CALLERS {
        let seed = number as u64 + 1;
        let caller = caller::run(Rc::clone(&stage.world), number, addresses.clone(), seed);
        executor.spawn(caller).detach();
    }
    pause(3000).await;
    let served = stage.world.borrow().checker.served;
    record.note(&format!("{served} operations served so far"));
    eyre::ensure!(served > 0, "no operation was served before the disruption");
    if disruption == Disruption::Cut {
        // The first replacement is undisturbed. It leaves the holder with an open connection.
        let (first, _) = crash_primary(&stage, record)?;
        await_successor(&stage, &first, record).await?;
        pause(1500).await;
        stage.come_back(&first);
        record.note(&format!("{first} is back with its log, as a replica"));
        pause(5000).await;
        for link in &links {
            link.recorded.set(None);
        }
    }
    if trouble && disruption == Disruption::Cut {
        links.iter().for_each(|link| link.cut_at_record.set(true));
    }
    let (lost, _) = crash_primary(&stage, record)?;
    let limit = Instant::now() + Duration::from_secs(10);
    let holder = loop {
        if let Some(holder) = links.iter().position(|link| link.recorded.get().is_some()) {
            break holder;
        }
        eyre::ensure!(Instant::now() < limit, "no promotion was recorded");
        pause(1).await;
    };
    links.iter().for_each(|link| link.cut_at_record.set(false));
    let (node, link) = (nodes.swap_remove(holder), Rc::clone(&links[holder]));
    let noted = record.clone();
    let disrupted = executor.spawn(async move {
        if trouble {
            disrupt(disruption, &node, &link, &noted).await;
        } else {
            async_io::Timer::after(disruption.length()).await;
        }
        node
    });
    await_successor(&stage, &lost, record).await?;
    replace_again(&stage, &lost, record).await?;
    let _node = disrupted.await;
    pause(4000).await;
    stage.report_losses(record, &calls.borrow())
}

/// The new primary crashes as well, and comes back with its log as a replica that receives nothing
/// for a while, as `replica_lag` with `deaf` has it.
async fn replace_again(stage: &Stage, first: &str, record: &Record) -> eyre::Result<()> {
    pause(100).await;
    stage.come_back(first);
    record.note(&format!("{first} is back with its log, as a replica"));
    pause(400).await;
    let (second, _) = crash_primary(stage, record)?;
    await_successor(stage, &second, record).await?;
    stage.set_deaf(&second, true);
    stage.come_back(&second);
    record.note(&format!(
        "{second} is back with its log, as a replica, and receives nothing for now"
    ));
    Ok(())
}

fn crash_primary(stage: &Stage, record: &Record) -> eyre::Result<(String, u64)> {
    let leader = stage.leader();
    let (id, term) = leader.ok_or_else(|| eyre::eyre!("no instance leads"))?;
    stage.crash(&id);
    record.note(&format!("the primary {id} of term {term} crashes"));
    Ok((id, term))
}

async fn await_successor(stage: &Stage, lost: &str, record: &Record) -> eyre::Result<()> {
    let limit = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some((id, term)) = stage.leader().filter(|(id, _)| id != lost) {
            record.note(&format!("{id} leads term {term}"));
            return Ok(());
        }
        eyre::ensure!(Instant::now() < limit, "the primary was not replaced");
        pause(20).await;
    }
}

async fn disrupt(disruption: Disruption, node: &Node, link: &Link, record: &Record) {
    match disruption {
        Disruption::Freeze => {
            pause(FREEZE_AFTER).await;
            node.signal(Signal::STOP);
            record.note(&format!("{}: FROZEN", node.name));
            async_io::Timer::after(disruption.length()).await;
            node.signal(Signal::CONT);
            record.note(&format!("{}: runs again", node.name));
        }
        Disruption::Cut => {
            async_io::Timer::after(disruption.length()).await;
            link.cut.set(false);
            record.note(&format!("{}: the cut has healed", node.name));
        }
    }
}
