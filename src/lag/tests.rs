//! Tests of the estimate of replication lag.

use std::time::Duration;

use super::Estimate;
use crate::board;
use crate::id;
use crate::role::Role;
use crate::stamp::Stamp;
use crate::status;

fn observe(board: &mut board::Board, index: id::Index, millis: u64, position: u64) {
    let time = Duration::from_millis(millis);
    let role = if index == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let status = status::Status {
        stamp: Stamp::new(1, position),
        fence: 1,
        role,
        voter: true,
        incarnation: 1,
    };
    let observation = board::Observation {
        started: time,
        finished: time,
        status,
    };
    board.record_answer(index, observation);
}

#[test]
fn slow_replicas_lengthen_the_limit_and_quick_ones_shorten_it_again() {
    // Guards against repeated replacement of a healthy primary whose replicas follow with a delay
    // longer than the default stall limit. The limit must not be the same for all groups.
    let mut board = board::Board::new(3);
    let mut estimate = Estimate::default();
    let least = Duration::from_millis(800);
    for step in 0..10 {
        let start = 1_000 + step * 2_000;
        observe(&mut board, 0, start, step + 1);
        observe(&mut board, 1, start, step);
        observe(&mut board, 2, start, step);
        estimate.update(&board, Duration::from_millis(start));
        observe(&mut board, 1, start + 500, step + 1);
        observe(&mut board, 2, start + 500, step + 1);
        estimate.update(&board, Duration::from_millis(start + 500));
    }
    assert_eq!(estimate.stall_limit(least), Duration::from_secs(2));
    for step in 10..200 {
        let start = 21_000 + step * 10;
        observe(&mut board, 0, start, step + 1);
        estimate.update(&board, Duration::from_millis(start));
        observe(&mut board, 1, start + 2, step + 1);
        observe(&mut board, 2, start + 2, step + 1);
        estimate.update(&board, Duration::from_millis(start + 2));
    }
    assert_eq!(estimate.stall_limit(least), least);
}

#[test]
fn one_slow_replica_does_not_lengthen_the_limit() {
    // Guards against a primary that is cut off from its replicas and not replaced for many seconds.
    // One replica was restarted and did not advance for long while the other did; the limit must
    // not follow the longest wait of any single replica.
    let mut board = board::Board::new(3);
    let mut estimate = Estimate::default();
    observe(&mut board, 2, 1_000, 0);
    for step in 0..100 {
        let start = 1_000 + step * 100;
        observe(&mut board, 0, start, step + 1);
        estimate.update(&board, Duration::from_millis(start));
        observe(&mut board, 1, start + 2, step + 1);
        estimate.update(&board, Duration::from_millis(start + 2));
    }
    observe(&mut board, 2, 12_000, 100);
    estimate.update(&board, Duration::from_secs(12));
    let least = Duration::from_millis(800);
    assert_eq!(estimate.stall_limit(least), least);
}
