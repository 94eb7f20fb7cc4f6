//! The primary of a service without `sync_replicas` crashes and comes back with its log. Do reads with
//! bounded staleness run on logs that lack commits which were acknowledged longer ago than the bound?

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_3::client;
use review_standins_3::instance;
use review_standins_3::stage;
use review_standins_3::world::Position;

/// `max_staleness_ms` of the route that is read.
const MAX_STALENESS: Duration = Duration::from_millis(1500);

/// How long a crashed primary is down, and when primaries crash.
const DOWN: Duration = Duration::from_secs(4);
const CRASHES: [u64; 3] = [6, 20, 34];

const LENGTH: Duration = Duration::from_secs(45);

fn main() {
    let stage = stage::Stage::new();
    let world = &stage.world;
    stage.service("dome-sched", ["i-a", "i-b", "i-c"]);
    for instance in world.lock().instances.values_mut() {
        // "replicas 20 ms behind"
        instance.network = Duration::from_millis(20);
        instance.apply = Duration::ZERO;
    }
    let routes = [
        ("seats", "primary", "dome-sched"),
        ("calendar", "bounded_stale", "dome-sched"),
    ];
    stage.configure(7, &routes, &["dome-sched"], 0);
    let mut nodes = stage.nodes(3);
    std::thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let end = begun + LENGTH;
    let acknowledged: Arc<Mutex<Vec<(Position, Instant)>>> = Arc::default();
    let reads: Arc<Mutex<Vec<(String, Instant, bool)>>> = Arc::default();
    let mut tasks = Vec::new();
    // Some 60 writes a second through one node.
    for number in 0..3 {
        let (world, acknowledged, address) = (
            Arc::clone(world),
            Arc::clone(&acknowledged),
            nodes[0].callers,
        );
        tasks.push(std::thread::spawn(move || {
            let mut count = 0;
            while Instant::now() < end {
                let Ok(mut session) = client::Session::open(address, "seats desk") else {
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while Instant::now() < end {
                    count += 1;
                    let id = format!("w{number}x{count:05}");
                    let answer = session.query(&id, &format!("WRITE seat{count} class{count}"));
                    world.note(&format!(
                        "ANSWER {id} {:?}",
                        answer.as_ref().map(|reply| reply.end.clone())
                    ));
                    let Ok(reply) = answer else { break };
                    let position = reply.end.as_ref().ok().and_then(|digest| position(digest));
                    if let Some(position) = position {
                        acknowledged.lock().unwrap().push((position, reply.at));
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            }
        }));
    }
    // Some 30 reads a second through another one, a session each.
    for number in 0..2 {
        let (world, reads, address) = (Arc::clone(world), Arc::clone(&reads), nodes[1].callers);
        tasks.push(std::thread::spawn(move || {
            let mut count = 0;
            while Instant::now() < end {
                count += 1;
                let id = format!("r{number}x{count:05}");
                if let Ok(mut session) = client::Session::open(address, "calendar crew") {
                    let at = Instant::now();
                    let answer = session.query(&id, &format!("READ seat{count}"));
                    world.note(&format!(
                        "ANSWER {id} sent {} {:?}",
                        world.ms(at),
                        answer.as_ref().map(|reply| reply.end.clone())
                    ));
                    reads.lock().unwrap().push((
                        id,
                        at,
                        answer.is_ok_and(|reply| reply.end.is_ok()),
                    ));
                }
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    for at in CRASHES.iter().filter(|_| stage.trouble) {
        std::thread::sleep(
            (begun + Duration::from_secs(*at)).saturating_duration_since(Instant::now()),
        );
        let leader = {
            let state = world.lock();
            let primaries = state.instances.iter().filter(|(_, found)| found.primary);
            primaries
                .max_by_key(|(_, found)| found.term)
                .map(|(id, _)| id.clone())
        };
        let Some(leader) = leader else { continue };
        instance::crash(world, &leader);
        std::thread::sleep(DOWN);
        instance::restart(world, &leader);
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    std::thread::sleep(Duration::from_secs(2));
    let (runs, log) = {
        let state = world.lock();
        let primaries = state.instances.values().filter(|found| found.primary);
        let log = primaries
            .max_by_key(|found| found.term)
            .map(|found| found.log.clone());
        (state.runs.clone(), log.unwrap_or_default())
    };
    // Commits that a promote rolled back don't count.
    let kept = |position: &Position| {
        log.binary_search_by_key(position, |entry| entry.position)
            .is_ok()
    };
    let acknowledged = acknowledged.lock().unwrap().clone();
    let counted: Vec<_> = acknowledged
        .iter()
        .filter(|(position, _)| kept(position))
        .collect();
    let reads = reads.lock().unwrap().clone();
    let mut stale = 0;
    for (id, at, served) in &reads {
        for run in runs.iter().filter(|run| run.id == *id) {
            let lacks = |(position, acked): &&&(Position, Instant)| {
                *acked + MAX_STALENESS < *at && *position > run.applied
            };
            let Some((position, acked)) = counted.iter().find(lacks) else {
                continue;
            };
            stale += 1;
            world.note(&format!("STALE {id} runs at {} with {}.{} and lacks {}.{}, acknowledged {} ms before the read was sent, success {served}",
                run.instance, run.applied.0, run.applied.1, position.0, position.1, (*at - *acked).as_millis()));
        }
    }
    println!(
        "{} commits acknowledged, {} of them kept, {} reads, {stale} of them on a log that lacks a commit acknowledged over {} ms before",
        acknowledged.len(),
        counted.len(),
        reads.len(),
        MAX_STALENESS.as_millis()
    );
    if counted.len() < 100 || reads.len() < 100 {
        stage.exit(stage::NOT_RUN, &mut nodes);
    }
    stage.exit(i32::from(stale > 0), &mut nodes);
}

// The position in the digest of a commit.
fn position(digest: &str) -> Option<Position> {
    let mut words = digest.split('.').skip(2);
    Some((words.next()?.parse().ok()?, words.next()?.parse().ok()?))
}
