//! What is earned when more is asked than can be done: each policy against the one before it.

mod replay;

use mangotray_desk::serving;

const SEEDS: u8 = 5;

/// Served through few nodes, in one order.
fn current_policy(slots: usize) -> replay::Policy {
    replay::Policy {
        nodes: 1,
        concurrency: serving::concurrency(slots, 12),
        relief: true,
        by_urgency: true,
    }
}

/// Two nodes an instance, five statements each.
fn previous_policy(slots: usize) -> replay::Policy {
    replay::Policy {
        nodes: 2,
        concurrency: 5,
        relief: false,
        ..current_policy(slots)
    }
}

/// Mean over the seeds of what is earned.
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

/// Symptom: for fourteen seconds a third of what a group is asked is late or refused.
/// Events: both replicas hold a record that takes them that long; they receive all others.
/// Cause: the primary did the work of all three.
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

/// Symptom: an overloaded instance answers a fifth of what it is asked too late.
/// Events: two nodes let it work on five statements each; each waits in the instance behind
/// nine others, 70 ms, however urgent it is.
/// Cause: the instance serves its own queue in order of arrival.
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

/// Symptom: nearly every answer of an overloaded group is late.
/// Events: more arrives than can be done, for seconds.
/// Cause: those that wait were served as they came.
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

/// Symptom: for as long as a group is overloaded, nobody can browse.
/// Events: the urgent kinds alone ask for more than the instance can do.
/// Cause: the least urgent kind got what the others left.
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
