//! Sizes and processing times of the operators' file, the roster and the messages between
//! proxies.

use std::hint;
use std::time;

use mangotray::catalog;
use mangotray::declaration;
use mangotray::enrol;
use mangotray::evidence;
use mangotray::peer;
use mangotray::placement;
use mangotray::revision;
use mangotray::roster;
use mangotray::spread;
use mangotray::store;
use mangotray::witness;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::fit;
use crate::capacity::usage;
use crate::declare;

const GROUP_COUNTS: [usize; 4] = [175, 350, 700, 1_400];
const PROXY_COUNTS: [usize; 5] = [8, 86, 172, 345, 690];
const FAILURE_DOMAINS: usize = 6;

/// Runs of one timing; the shortest is taken, as other load only lengthens a run.
const TIMING_RUNS: usize = 5;

/// Measures sizes in bytes and times in microseconds.
pub fn measure(_: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let mut series = measure_files()?;
    series.extend(measure_rosters()?);
    Ok(series)
}

fn measure_files() -> eyre::Result<Vec<fit::Series>> {
    let mut points = [const { Vec::new() }; 5];
    for groups in GROUP_COUNTS {
        let catalog = catalog::Catalog {
            groups: (0..groups).map(bench::foreign_group).collect(),
            vms: Vec::new(),
        };
        let text = declare::text(&catalog);
        if let Err(faults) = declaration::Declaration::parse(&text) {
            eyre::bail!("the generated file is invalid: {:?}", faults.first());
        }
        let file = revision::File {
            revision: 1,
            text: text.as_str().into(),
        };
        let news = news(Some(file), None);
        let message = postcard::to_stdvec(&news)?;
        let costs = [
            usage::float(text.len()),
            shortest_run_us(|| declaration::Declaration::parse(&text).is_ok()),
            usage::float(message.len()),
            shortest_run_us(|| postcard::to_stdvec(&news)),
            shortest_run_us(|| postcard::from_bytes::<peer::News>(&message)),
        ];
        let size = usage::float(groups);
        points
            .iter_mut()
            .zip(costs)
            .for_each(|(points, cost)| points.push((size, cost)));
    }
    let [length, parse, message, encode, decode] = points;
    Ok(vec![
        fit::Series::new("operators' file", "groups", "B", length),
        fit::Series::new("time to parse the file", "groups", "us", parse),
        fit::Series::new("push to a peer", "groups", "B", message),
        fit::Series::new("time to encode the push", "groups", "us", encode),
        fit::Series::new("time to decode the push", "groups", "us", decode),
    ])
}

fn measure_rosters() -> eyre::Result<Vec<fit::Series>> {
    let mut points = [const { Vec::new() }; 6];
    for proxies in PROXY_COUNTS {
        let entries = (0..proxies)
            .map(registration)
            .collect::<Result<Vec<_>, _>>()?;
        let stored = entries.iter().map(|entry| entry.value.len());
        let before = usage::resident_kilobytes()?;
        let copies: Vec<_> = (0..ROSTER_COPIES)
            .map(|_| roster::Roster::new(&entries, &[]))
            .collect();
        let memory = (usage::resident_kilobytes()? - before) / usage::float(ROSTER_COPIES);
        let roster = copies[0].clone();
        let candidates: Vec<_> = roster.records.values().map(candidate).collect();
        let update = roster::Update {
            mark: roster::Digest {
                age: time::Duration::ZERO,
                checksum: roster.checksum(),
            },
            content: Some(roster.clone()),
        };
        let push = postcard::to_stdvec(&news(None, Some(update)))?;
        let costs = [
            usage::float(stored.sum()),
            shortest_run_us(|| roster::Roster::new(&entries, &[])),
            shortest_run_us(|| place_groups(&candidates)),
            memory,
            usage::float(push.len()),
            shortest_run_us(|| roster.checksum()),
        ];
        let size = usage::float(proxies);
        points
            .iter_mut()
            .zip(costs)
            .for_each(|(points, cost)| points.push((size, cost)));
    }
    let [length, parse, place, memory, push, checksum] = points;
    Ok(vec![
        fit::Series::new("registrations as stored", "proxies", "B", length),
        fit::Series::new("time to parse the roster", "proxies", "us", parse),
        fit::Series::new("time to place 1400 groups", "proxies", "us", place),
        fit::Series::new("resident memory of a roster", "proxies", "kB", memory),
        fit::Series::new("push of a roster", "proxies", "B", push),
        fit::Series::new("time of a roster's checksum", "proxies", "us", checksum),
    ])
}

/// Number of copies of a roster whose memory is measured together.
const ROSTER_COPIES: usize = 50;

/// Computes the serving sets of the 1400 groups of the target; returns their total size.
fn place_groups(candidates: &[placement::Candidate]) -> usize {
    (0..1_400)
        .map(|group| placement::serving_set(&format!("dome_sched_{group}"), candidates, 3).len())
        .sum()
}

fn candidate(record: &enrol::Record) -> placement::Candidate {
    placement::Candidate {
        vm: record.vm.clone(),
        domain: record.domain.clone(),
        leaving: record.draining,
    }
}

fn registration(index: usize) -> eyre::Result<store::Entry> {
    let vm = compact_str::format_compact!("entry-{}", index + 1);
    let record = enrol::Record {
        vm: vm.clone(),
        domain: compact_str::format_compact!("domain-{}", index % FAILURE_DOMAINS),
        incarnation: fastrand::Rng::with_seed(1).u64(..),
        callers: "10.20.30.40:6432".parse()?,
        peers: "10.20.30.40:6433".parse()?,
        admin: "10.20.30.40:9633".parse()?,
        draining: false,
        lease: Some("01234567-89ab-cdef-0123-456789abcdef".into()),
    };
    Ok(store::Entry {
        key: enrol::key(&vm),
        value: serde_json::to_vec(&record)?.into(),
        version: 1,
        lease: record.lease,
    })
}

/// The message that a proxy pushes to a peer.
fn news(file: Option<revision::File>, roster: Option<roster::Update>) -> peer::News {
    let text = file.as_ref().map_or("", |file| &file.text);
    let digest = revision::Digest {
        revision: 1,
        checksum: revision::checksum(text),
    };
    let age = time::Duration::ZERO;
    peer::News {
        sign: evidence::Heartbeat {
            vm: "entry-1".into(),
            domain: "domain-1".into(),
            incarnation: 1,
            draining: false,
        },
        answer: spread::Answer {
            report: spread::Report { digest, age },
            file,
        },
        roster,
        primaries: Vec::new(),
        witness: witness::Witness::new(age).report(age),
        suspects: Vec::new(),
    }
}

/// Shortest time of `TIMING_RUNS` runs, in microseconds.
fn shortest_run_us<T>(run: impl Fn() -> T) -> f64 {
    let time = |_| {
        let started = time::Instant::now();
        hint::black_box(run());
        started.elapsed()
    };
    let times = (0..TIMING_RUNS).map(time);
    times.min().unwrap_or_default().as_secs_f64() * 1e6
}
