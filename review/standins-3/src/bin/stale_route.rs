//! A route is moved to another service while reads with `allow_stale` are some seconds behind. Are
//! requests that are sent later than `config_apply_ms` after the acknowledgement still run by the old
//! service?

use std::time::{Duration, Instant};

use review_standins_3::client;
use review_standins_3::stage;

/// `config_apply_ms` of the small sheets.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);

/// How far stale reads are behind, and for how long.
const STALE: Duration = Duration::from_millis(5500);
const STALE_FOR: Duration = Duration::from_secs(12);

fn main() {
    let stage = stage::Stage::new();
    let world = &stage.world;
    stage.service("old-db", ["i-old-a", "i-old-b", "i-old-c"]);
    stage.service("new-db", ["i-new-a", "i-new-b", "i-new-c"]);
    let services = ["old-db", "new-db"];
    stage.configure(7, &[("desk", "read_own", "old-db")], &services, 1);
    let mut nodes = stage.nodes(3);
    std::thread::sleep(Duration::from_secs(6));
    let begun = Instant::now();
    if stage.trouble {
        world.note("STALE begins");
        world.lock().stale = STALE;
    }
    let mut moved = None;
    let mut sent = Vec::new();
    let mut number = 0;
    while begun.elapsed() < Duration::from_secs(14) {
        if moved.is_none() && begun.elapsed() > Duration::from_secs(4) {
            moved = Some(stage.configure(9, &[("desk", "read_own", "new-db")], &services, 1));
        }
        if begun.elapsed() > STALE_FOR {
            world.lock().stale = Duration::ZERO;
        }
        for node in &nodes {
            number += 1;
            let id = format!("q{number:08}");
            let text = if number % 2 == 0 {
                format!("WRITE seat{number} class{number}")
            } else {
                format!("READ seat{number}")
            };
            let at = Instant::now();
            let answer = client::Session::open(node.callers, "desk clerk")
                .and_then(|mut session| session.query(&id, &text));
            world.note(&format!(
                "ANSWER {id} {text} at {}: sent {} {:?}",
                node.name,
                world.ms(at),
                answer.as_ref().map(|reply| reply.end.clone())
            ));
            sent.push((id, at, answer.is_ok_and(|reply| reply.end.is_ok())));
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    let Some(moved) = moved else {
        stage.exit(stage::NOT_RUN, &mut nodes)
    };
    let runs = world.lock().runs.clone();
    let (mut late, mut new) = (0, 0);
    for (id, at, served) in &sent {
        for run in runs.iter().filter(|run| run.id == *id) {
            new += u64::from(run.group == "new-db");
            if run.group == "old-db" && *at > moved + CONFIG_APPLY {
                late += 1;
                world.note(&format!("CONFIG {id} {} sent {} ms after the acknowledgement runs at {} of the old service, success {served}",
                    run.text, (*at - moved).as_millis(), run.instance));
            }
        }
    }
    println!(
        "{} requests, {new} run by the new service, {late} run by the old one although sent later than {} ms after the acknowledgement",
        sent.len(),
        CONFIG_APPLY.as_millis()
    );
    if new == 0 {
        stage.exit(stage::NOT_RUN, &mut nodes);
    }
    stage.exit(i32::from(late > 0), &mut nodes);
}
