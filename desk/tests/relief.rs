//! Changes of primary and replica because of lag.

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

/// Whether the same replicas, observed five times a second, ever lead to a change.
fn calls(replicas: &[relief::Replica]) -> bool {
    let mut relief = relief::Relief::default();
    (0..20).any(|step| relief.observe(&view(step * 200, replicas.to_vec())))
}

/// Guards against a primary that alone serves all reads while both replicas have received
/// everything and need many seconds to apply one record: for sixteen seconds a third of the group's
/// requests were late or refused.
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

/// Guards against an acknowledged booking that is lost because a replica that receives nothing is
/// taken for one that has received everything, and is promoted.
#[test]
fn only_a_replica_that_stays_and_has_received_all_takes_over() {
    assert!(!calls(&[replica(57, 57, 0), replica(57, 57, 0)]));
    let leaving = relief::Replica {
        leaving: true,
        ..replica(90, 40, 9000)
    };
    assert!(!calls(&[leaving, replica(57, 57, 0)]));
}

/// Guards against a gap for writes every second: after a change for lag the new primary's replicas
/// are stuck as well, and each change justified the next.
#[test]
fn a_change_is_not_followed_by_another_soon() {
    let stuck = vec![replica(90, 40, 20_000), replica(90, 40, 20_000)];
    let mut relief = relief::Relief::default();
    let mut changes = Vec::new();
    for step in 0..100 {
        let now = step * 200;
        if relief.observe(&view(now, stuck.clone())) {
            relief.note_change(time::Duration::from_millis(now));
            changes.push(now);
        }
    }
    assert!(
        changes.windows(2).all(|pair| pair[1] - pair[0] >= 8000),
        "{changes:?}"
    );
}

/// A single answer with a long lag between two without is no reason for a change.
#[test]
fn the_condition_has_to_last() {
    let mut relief = relief::Relief::default();
    let stuck = vec![replica(90, 40, 9000), replica(90, 40, 9000)];
    let recovered = vec![replica(90, 40, 9000), replica(90, 89, 40)];
    for step in 0..20 {
        let replicas = if step % 2 == 0 { &stuck } else { &recovered };
        assert!(!relief.observe(&view(step * 200, replicas.clone())));
    }
}
