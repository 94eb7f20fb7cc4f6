//! Which idle connection is closed to make room. Guards against a new connection, 12 ms of an
//! instance's slot, for every third statement of organisations that each need their own.

use std::collections;
use std::time;

use mangotray::id;
use mangotray_desk::organisation;
use mangotray_desk::room::usage;

const CONNECTIONS: usize = 9;
const ORGANISATIONS: u64 = 73;
const STATEMENTS: u64 = 20_000;

/// Draws organisations by Zipf's law: the first is used n times as often as the n-th.
fn zipf(random: &mut fastrand::Rng) -> u64 {
    let weight = |rank: u64| 1.0 / f64::from(u32::try_from(rank).expect("a small number"));
    let total: f64 = (1..=ORGANISATIONS).map(weight).sum();
    let mut draw = random.f64() * total;
    for rank in 1..ORGANISATIONS {
        draw -= weight(rank);
        if draw < 0.0 {
            return rank;
        }
    }
    ORGANISATIONS
}

/// New connections for statements that arrive at random, 50 a second, each for one organisation;
/// the idle connection to close is chosen from organisations with the time of their last use.
fn opened(seed: u64, by_worth: bool) -> u32 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut usage = usage::Usage::default();
    let mut idle: collections::BTreeMap<organisation::Name, id::Time> =
        collections::BTreeMap::new();
    let (mut now, mut opened) = (time::Duration::ZERO, 0);
    for _ in 0..STATEMENTS {
        now += time::Duration::from_micros(random.u64(..40_000));
        let organisation = compact_str::format_compact!("o{}", zipf(&mut random));
        if !idle.contains_key(&organisation) {
            opened += 1;
            if idle.len() == CONNECTIONS {
                let worth = |name: &organisation::Name| {
                    if by_worth {
                        usage.worth(name, 1, now)
                    } else {
                        0.0
                    }
                };
                let rank = |entry: &(&organisation::Name, &id::Time)| (worth(entry.0), *entry.1);
                let lowest = idle.iter().min_by(|one, other| {
                    let ((one, used), (other, other_used)) = (rank(one), rank(other));
                    one.total_cmp(&other).then(used.cmp(&other_used))
                });
                let lowest = lowest.expect("idle connections").0.clone();
                idle.remove(&lowest);
            }
        }
        usage.note(&organisation, now);
        idle.insert(organisation, now);
    }
    opened
}

#[test]
fn closing_by_worth_opens_fewer_connections_than_by_last_use() {
    for seed in 0..5 {
        let (by_worth, by_last_use) = (opened(seed, true), opened(seed, false));
        println!(
            "new connections for {STATEMENTS} statements: {by_worth} by worth, {by_last_use} by last use"
        );
        assert!(
            by_worth * 100 < by_last_use * 95,
            "{by_worth} {by_last_use}"
        );
    }
}

/// Guards against connections of organisations that were busy an hour ago and never come back.
#[test]
fn an_organisation_that_has_become_idle_loses_its_worth() {
    let mut usage = usage::Usage::default();
    let (before, now) = ("before".into(), "now".into());
    for count in 0..1000 {
        usage.note(&before, time::Duration::from_millis(10 * count));
    }
    let later = time::Duration::from_secs(70);
    for count in 0..5 {
        usage.note(&now, later + time::Duration::from_secs(count));
    }
    let at = later + time::Duration::from_secs(5);
    assert!(usage.worth(&now, 1, at) > usage.worth(&before, 1, at));
}
