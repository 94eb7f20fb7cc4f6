//! Instances turn slow while requesters of two tenants use one node. Does each statement run with the
//! values that were acknowledged to its requester, and with no others?

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_3::client;
use review_standins_3::stage;

/// Work of a statement, and how much longer it takes while the instance is slow (`srv_slow`).
const USUAL: Duration = Duration::from_millis(14);
const SLOW_FACTOR: f64 = 6.4;

/// How long an instance is slow, and the pause until it is slow again.
const SLOW: Duration = Duration::from_millis(5900);
const PAUSE: Duration = Duration::from_millis(5100);

/// What a session was told, by the ids of its statements: its values and its tenant.
type Told = Arc<Mutex<BTreeMap<String, (BTreeMap<String, String>, String, Instant)>>>;

fn main() {
    let mut stage = stage::Stage::new();
    stage.tenants = ["dome", "hall", "school", "club", "clinic", "ward"]
        .map(|name| (name.into(), format!("key-{name}")))
        .to_vec();
    stage.max_connections = 16;
    let stage = stage;
    let world = &stage.world;
    let services: Vec<String> = (1..=8).map(|number| format!("db-{number}")).collect();
    for service in &services {
        let ids = ["a", "b", "c"].map(|copy| format!("i-{service}-{copy}"));
        stage.service(service, [&ids[0], &ids[1], &ids[2]]);
    }
    for instance in world.lock().instances.values_mut() {
        instance.work = USUAL;
    }
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    stage.configure(7, &[("desk", "read_own", "db-1")], &services, 1);
    let mut nodes = stage.nodes(8);
    std::thread::sleep(Duration::from_secs(5));
    let told: Told = Arc::default();
    let begun = Instant::now();
    let end = begun + Duration::from_secs(60);
    let address = nodes[0].callers;
    let mut tasks = Vec::new();
    let count = 24;
    for number in 0..count {
        let (world, told) = (Arc::clone(world), Arc::clone(&told));
        let (tenant, key) = stage.tenants[number % stage.tenants.len()].clone();
        let sets = (number / stage.tenants.len()) % 2 == 0;
        tasks.push(std::thread::spawn(move || {
            let mut sequence = 0;
            while Instant::now() < end {
                let Ok(mut session) = client::Session::open(address, &format!("desk {key}")) else {
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                };
                let mut values = BTreeMap::new();
                if sets {
                    sequence += 1;
                    let id = format!("s{number:02}x{sequence:06}");
                    let value = format!("of-{tenant}-{number}");
                    match session.query(&id, &format!("SET tint {value}")) {
                        Ok(reply) if reply.end.is_ok() => values.insert("tint".to_owned(), value),
                        _ => continue,
                    };
                }
                for _ in 0..4 {
                    sequence += 1;
                    let id = format!("q{number:02}x{sequence:06}");
                    told.lock()
                        .unwrap()
                        .insert(id.clone(), (values.clone(), tenant.clone(), Instant::now()));
                    let answer = session.query(&id, &format!("READ seat{sequence}"));
                    world.note(&format!(
                        "ANSWER {id} {tenant} {values:?} {:?}",
                        answer.as_ref().map(|reply| reply.end.clone())
                    ));
                    if answer.is_err() {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(
                        40 + (sequence * 7 + number as u64 * 13) % 70,
                    ));
                }
                let _ = session.send("BYE");
            }
        }));
    }
    let mut slow = false;
    while Instant::now() < end {
        let phase = begun.elapsed().as_millis() % (SLOW + PAUSE).as_millis();
        let wanted = stage.trouble && phase >= PAUSE.as_millis();
        if wanted != slow {
            slow = wanted;
            world.note(&format!("SLOW {slow}"));
            // Three of the 24 instances: those of the service that is used.
            for instance in world
                .lock()
                .instances
                .values_mut()
                .filter(|instance| instance.group == "db-1")
            {
                instance.work = if slow {
                    USUAL.mul_f64(SLOW_FACTOR)
                } else {
                    USUAL
                };
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    tasks.into_iter().for_each(|task| drop(task.join()));
    let told = told.lock().unwrap().clone();
    let runs = world.lock().runs.clone();
    let (mut wrong, mut checked, mut lent) = (0, 0, 0);
    for run in &runs {
        let Some((values, tenant, _)) = told.get(&run.id) else {
            continue;
        };
        checked += 1;
        lent += u64::from(run.caller == *tenant);
        if run.values != *values {
            wrong += 1;
            world.note(&format!("PINNED {} of {tenant} runs at {} {} ms after the begin with the values {:?}, its requester has {values:?}",
                run.id, run.instance, world.ms(run.at), run.values));
        }
        if run.caller != *tenant {
            world.note(&format!(
                "FOREIGN {} of {tenant} runs for {}",
                run.id, run.caller
            ));
        }
    }
    println!(
        "{checked} statements run, {lent} for their tenant, {wrong} with other values than those that their requester was acknowledged"
    );
    if checked < 100 {
        stage.exit(stage::NOT_RUN, &mut nodes);
    }
    stage.exit(i32::from(wrong > 0), &mut nodes);
}
