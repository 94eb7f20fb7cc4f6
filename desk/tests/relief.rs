//! When primary and replica change places.

use std::time;

use mangotray::stamp;
use mangotray_desk::relief;

const AGE: time::Duration = time::Duration::from_millis(2500);

fn replica(received: u64, applied: u64, lag: u64) -> relief::Replica {
    relief::Replica {
        received: stamp::Stamp::new(1, received),
        applied: stamp::Stamp::new(1, applied),
        lag: time::Duration::from_millis(lag),
        leaving: false,
    }
}

fn view(millis: u64, replicas: Vec<relief::Replica>) -> relief::View {
    relief::View {
        now: time::Duration::from_millis(millis),
        position: stamp::Stamp::new(1, 90),
        replicas,
        age: AGE,
    }
}

/// Whether the same replicas, seen five times a second, ever call for a change.
fn calls(replicas: &[relief::Replica]) -> bool {
    let mut relief = relief::Relief::default();
    (0..20).any(|turn| relief.observe(&view(turn * 200, replicas.to_vec())))
}

/// Symptom: for sixteen seconds a third of what a group is asked is late or refused.
/// Events: both replicas receive a record that takes them many seconds to apply.
/// Cause: the primary alone served all reads, while the replicas had received everything.
#[test]
fn a_primary_whose_replicas_are_stuck_changes_places() {
    assert!(calls(&[replica(90, 40, 9000), replica(90, 40, 14_000)]));
    assert!(calls(&[replica(90, 40, 9000), replica(57, 57, 0)]));
}

#[test]
fn a_replica_that_serves_reads_again_soon_needs_no_change() {
    assert!(!calls(&[replica(90, 86, 60), replica(90, 89, 40)]));
    assert!(!calls(&[replica(90, 40, 9000), replica(90, 86, 60)]));
    assert!(!calls(&[replica(90, 40, 3000), replica(90, 40, 3000)]));
}

/// Symptom: an acknowledged booking is gone after a change of primary.
/// Events: both replicas receive nothing; the primary changes places with one of them.
/// Cause: a replica that lags was taken for one that has received everything.
#[test]
fn only_a_replica_that_stays_and_has_received_all_takes_over() {
    assert!(!calls(&[replica(57, 57, 0), replica(57, 57, 0)]));
    let leaving = relief::Replica {
        leaving: true,
        ..replica(90, 40, 9000)
    };
    assert!(!calls(&[leaving, replica(57, 57, 0)]));
}

/// Symptom: a group has a gap for writes every second.
/// Events: a group changes primary for relief; the new primary's replicas are stuck as well.
/// Cause: each change justified the next.
#[test]
fn a_change_is_not_followed_by_another_soon() {
    let stuck = vec![replica(90, 40, 20_000), replica(90, 40, 20_000)];
    let mut relief = relief::Relief::default();
    let mut changes = Vec::new();
    for turn in 0..100 {
        let now = turn * 200;
        if relief.observe(&view(now, stuck.clone())) {
            relief.done(time::Duration::from_millis(now));
            changes.push(now);
        }
    }
    assert!(
        changes.windows(2).all(|pair| pair[1] - pair[0] >= 8000),
        "{changes:?}"
    );
}

/// One answer that tells of a long lag, between two that do not, is no reason.
#[test]
fn the_reason_has_to_last() {
    let mut relief = relief::Relief::default();
    let stuck = vec![replica(90, 40, 9000), replica(90, 40, 9000)];
    let well = vec![replica(90, 40, 9000), replica(90, 89, 40)];
    for turn in 0..20 {
        let replicas = if turn % 2 == 0 { &stuck } else { &well };
        assert!(!relief.observe(&view(turn * 200, replicas.clone())));
    }
}
