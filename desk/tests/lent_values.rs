//! Session values on lent connections, in random orders of use by two organisations and two borrowers.

mod cluster;

use std::rc;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future;
use mangotray_desk::boot;
use mangotray_desk::connection;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::shard;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::room::size;
use mangotray_desk::statement;
use mangotray_desk::status;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const SEEDS: u64 = 60;

const STEPS: usize = 60;

/// Time that a statement has which cannot run.
const SHORT: time::Duration = time::Duration::from_millis(3);

/// Reaches the instance through a lending node.
struct Lender {
    pool: rc::Rc<pool::Pool>,
    direct: cluster::Dialer,
}

impl upstream::Dialer for Lender {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        let session = relay::Session::new(rc::Rc::clone(&self.pool), target.organisation.clone());
        let connection: Box<dyn upstream::Connection> = Box::new(relay::Local(session));
        future::ready(Ok((connection, None))).boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.direct.status(reply)
    }
}

/// What becomes of a checked out connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is returned at once.
    Unused,
    /// It is returned after the commands for the statement were built.
    Unsent,
    /// The lending node has no connection for the statement in time.
    Refused,
    /// The instance's answer is lost.
    Unanswered,
    /// The statement runs.
    Served,
}

const FATES: [Fate; 7] = [
    Fate::Unused,
    Fate::Unsent,
    Fate::Refused,
    Fate::Unanswered,
    Fate::Served,
    Fate::Served,
    Fate::Served,
];

/// Two organisations whose statements share lent connections.
fn organisations() -> [organisation::Name; 2] {
    let first: organisation::Name = "dome".into();
    let names = (0..).map(|number| organisation::Name::from(format!("hall-{number}")));
    let second = names
        .into_iter()
        .find(|name| shard::of(name) == shard::of(&first));
    [first, second.expect("names in each shard")]
}

fn borrower(cluster: &cluster::Cluster, lender: &rc::Rc<pool::Pool>) -> rc::Rc<pool::Pool> {
    let dialer = Lender {
        pool: rc::Rc::clone(lender),
        direct: cluster::Dialer(rc::Rc::clone(&cluster.world)),
    };
    let instance = cluster.world.borrow().list().remove(0);
    let executor = rc::Rc::clone(&cluster.executor);
    let size = size::Size {
        max_connections: 1,
        ..size::Size::shared()
    };
    rc::Rc::new(pool::Pool::new(
        instance,
        rc::Rc::new(dialer),
        executor,
        size,
    ))
}

/// Values that a caller has set, and a statement that it has prepared.
fn caller(random: &mut fastrand::Rng) -> (connection::Values, Option<CompactString>) {
    let names: [(CompactString, CompactString); 3] = [
        ("tint".into(), "red".into()),
        ("tint".into(), "blue".into()),
        ("shade".into(), "dark".into()),
    ];
    let set = names.into_iter().filter(|_| random.u8(..3) == 0);
    let values = set.collect();
    let prepared = random.bool().then(|| CompactString::from("s1"));
    (values, prepared)
}

async fn step(
    cluster: &cluster::Cluster,
    lender: &rc::Rc<pool::Pool>,
    borrower: &rc::Rc<pool::Pool>,
    organisation: &organisation::Name,
    random: &mut fastrand::Rng,
    id: CompactString,
) {
    let (values, prepared) = caller(random);
    let fate = FATES[random.usize(..FATES.len())];
    let fails = matches!(fate, Fate::Refused | Fate::Unanswered);
    let limit = if fails { SHORT } else { cluster::LIMIT };
    let busy = (fate == Fate::Refused).then(|| occupy(cluster, lender));
    if busy.is_some() {
        wait::sleep(SHORT).await;
    }
    let deadline = boot::now() + limit;
    let urgency = urgency::Urgency::immediate(deadline);
    let checkout = borrower
        .check_out(urgency, organisation, &values, deadline)
        .await;
    let mut checkout = checkout.unwrap_or_else(|shortage| panic!("{fate:?}: {shortage:?}"));
    if fate == Fate::Unused {
        return;
    }
    let shape = statement::Shape {
        access: statement::Access::Read,
        text: "q1".into(),
    };
    let needed = prepared.as_ref().map(|handle| (handle, &shape));
    let mut commands = checkout.setup_commands(&values, needed, false);
    commands.push(match prepared.clone() {
        Some(handle) => upstream::Command::Execute {
            id: id.clone(),
            handle,
            arguments: "1".into(),
            after: None,
        },
        None => upstream::Command::Run {
            id: id.clone(),
            text: "READ 1".into(),
            after: None,
        },
    });
    if fate == Fate::Unsent {
        return;
    }
    cluster.world.borrow_mut().stalled = fails;
    let result = checkout.run(&commands, deadline).await;
    cluster.world.borrow_mut().stalled = false;
    if let Some(busy) = busy {
        busy.await;
    }
    if !fails {
        let replies = result.expect("an answer");
        let last = replies.last().expect("a reply");
        assert!(last.is_done(), "{last:?}");
        let world = cluster.world.borrow();
        let ran = world.ran.last().expect("a statement");
        assert_eq!((&ran.id, &ran.values), (&id, &values));
    }
}

/// Runs a query of the lending node's own that keeps its only permit while the instance is stalled.
fn occupy(cluster: &cluster::Cluster, lender: &rc::Rc<pool::Pool>) -> async_executor::Task<()> {
    cluster.world.borrow_mut().stalled = true;
    let lender = rc::Rc::clone(lender);
    let dialer = cluster::Dialer(rc::Rc::clone(&cluster.world));
    cluster.executor.spawn(async move {
        let report = status::query(&lender, &dialer, cluster::LIMIT).await;
        assert!(report.is_some());
    })
}

/// Guards against a statement that runs with values of another caller: a connection was taken for
/// another organisation whose statement was never sent, so that its two ends recorded different
/// values.
#[test]
fn each_statement_runs_with_the_values_of_its_caller() {
    let organisations = organisations();
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let cluster = cluster::Cluster::new();
        let lender = cluster.pool(6, 1);
        let borrowers = [borrower(&cluster, &lender), borrower(&cluster, &lender)];
        cluster.run(async {
            for number in 0..STEPS {
                let borrower = &borrowers[random.usize(..2)];
                let organisation = &organisations[random.usize(..2)];
                let id = compact_str::format_compact!("{seed}-{number}");
                step(&cluster, &lender, borrower, organisation, &mut random, id).await;
            }
        });
    }
}
