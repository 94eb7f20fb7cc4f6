//! Value of the answers of an overloaded group: each scheduling policy against the previous one.

mod replay;

use mangotray_desk::lending::serving;

const SEEDS: u8 = 5;

/// The current policy: one node per instance, which orders all statements.
fn current_policy(slots: usize) -> replay::Policy {
    replay::Policy {
        nodes: 1,
        concurrency: serving::concurrency(slots, 12),
        relief: true,
        by_urgency: true,
    }
}

/// The previous policy: two nodes per instance, each with five statements at a time.
fn previous_policy(slots: usize) -> replay::Policy {
    replay::Policy {
        nodes: 2,
        concurrency: 5,
        relief: false,
        ..current_policy(slots)
    }
}

/// Mean earnings over all seeds.
fn mean(load: &replay::Load, policy: replay::Policy) -> replay::Earnings {
    let runs: Vec<_> = (0..SEEDS)
        .map(|seed| replay::run(load, policy, seed.into()))
        .collect();
    let part =
        |of: &dyn Fn(&replay::Earnings) -> f64| runs.iter().map(of).sum::<f64>() / f64::from(SEEDS);
    replay::Earnings {
        kinds: (0..load.kinds.len())
            .map(|kind| part(&|run| run.kinds[kind]))
            .collect(),
        total: part(&|run| run.total),
        changes: runs.iter().map(|run| run.changes).max().unwrap_or_default(),
    }
}

fn auctions() -> replay::Load {
    replay::Load {
        kinds: replay::AUCTIONS.to_vec(),
        slots: 2,
        instances: 3,
        millis: 20_000,
        stuck: Some((2000, 16_000)),
    }
}

fn warehouse() -> replay::Load {
    replay::Load {
        kinds: replay::WAREHOUSE.to_vec(),
        slots: 4,
        ..auctions()
    }
}

/// Guards against a group in which a third of all requests is late or refused for 14 seconds. Both
/// replicas apply a record that takes that long, while they receive all later ones, and the primary
/// has to serve the load of all three instances.
#[test]
fn relief_earns_more_than_a_primary_alone() {
    for (load, gain) in [(auctions(), 0.10), (warehouse(), 0.10)] {
        let policy = current_policy(load.slots);
        let with = mean(&load, policy);
        let without = mean(
            &load,
            replay::Policy {
                relief: false,
                ..policy
            },
        );
        assert!(with.total > without.total + gain, "{with:?} {without:?}");
        assert!(with.changes <= 2, "{with:?}");
        let least = |earned: &replay::Earnings| earned.kinds.iter().copied().fold(1.0, f64::min);
        assert!(least(&with) >= least(&without), "{with:?} {without:?}");
    }
}

#[test]
fn replicas_that_serve_cause_no_change() {
    let load = replay::Load {
        stuck: None,
        ..auctions()
    };
    let earned = mean(&load, current_policy(load.slots));
    assert_eq!(earned.changes, 0);
}

/// Guards against an overloaded instance that answers a fifth of its requests too late. Two nodes
/// send it five statements each at a time. It serves its own queue in order of arrival, so that
/// each statement waits behind nine others for 70 ms, however urgent it is.
#[test]
fn few_statements_at_an_instance_let_the_urgent_pass() {
    let load = replay::Load {
        stuck: Some((0, 20_000)),
        ..auctions()
    };
    let few = replay::Policy {
        relief: false,
        ..current_policy(load.slots)
    };
    let many = previous_policy(load.slots);
    let (few, many) = (mean(&load, few), mean(&load, many));
    assert!(few.kinds[0] >= many.kinds[0], "{few:?} {many:?}");
    assert!(few.total > many.total + 0.01, "{few:?} {many:?}");
}

/// Guards against an overloaded group in which nearly every answer is late: requests arrive faster
/// than they can be served for seconds, and the queue is served in order of arrival.
#[test]
fn the_order_of_a_standing_queue_earns_more_than_arrival() {
    for load in [auctions(), warehouse()] {
        let load = replay::Load {
            stuck: Some((0, 20_000)),
            ..load
        };
        let policy = replay::Policy {
            relief: false,
            ..current_policy(load.slots)
        };
        let ordered = mean(&load, policy);
        let arrival = mean(
            &load,
            replay::Policy {
                by_urgency: false,
                ..policy
            },
        );
        assert!(
            ordered.total > arrival.total + 0.02,
            "{ordered:?} {arrival:?}"
        );
    }
}

/// Guards against starvation of the least urgent kind for as long as a group is overloaded: the
/// urgent kinds alone exceed the capacity of the instance, and the least urgent one got only the
/// remaining capacity.
#[test]
fn no_kind_starves() {
    for load in [auctions(), warehouse()] {
        let load = replay::Load {
            stuck: Some((0, 20_000)),
            ..load
        };
        let policy = replay::Policy {
            relief: false,
            ..current_policy(load.slots)
        };
        let earned = mean(&load, policy);
        assert!(earned.kinds.iter().all(|share| *share > 0.3), "{earned:?}");
    }
}
