//! Tests of the failure detector.

use std::time::Duration;

use super::Cause;
use super::Detector;
use super::Verdict;
use crate::board;
use crate::id;
use crate::role::Role;
use crate::stamp::Stamp;
use crate::status;

fn observe(board: &mut board::Board, index: id::Index, millis: u64, role: Role, position: u64) {
    let time = Duration::from_millis(millis);
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

fn observe_all(board: &mut board::Board, millis: u64, primary: u64, replica: u64) {
    observe(board, 0, millis, Role::Primary, primary);
    observe(board, 1, millis, Role::Replica, replica);
    observe(board, 2, millis, Role::Replica, replica);
}

fn assess(board: &board::Board, millis: u64) -> Verdict {
    Detector::default().assess(board, Duration::from_millis(millis))
}

#[test]
fn a_silent_primary_is_suspected_after_failed_probes() {
    let mut board = board::Board::new(3);
    observe_all(&mut board, 1_000, 1, 1);
    observe(&mut board, 1, 1_500, Role::Replica, 1);
    observe(&mut board, 2, 1_500, Role::Replica, 1);
    assert_eq!(assess(&board, 1_600), Verdict::Healthy);
    for _ in 0..3 {
        board.record_failure(0);
    }
    assert_eq!(assess(&board, 1_600), Verdict::Suspect(Cause::Silent));
}

#[test]
fn a_paused_proxy_does_not_suspect_the_primary() {
    // Guards against replacing a healthy primary after this proxy's process was paused for ten
    // seconds: all answers are old then, so their age alone must not cause a suspicion.
    let mut board = board::Board::new(3);
    observe_all(&mut board, 1_000, 1, 1);
    assert_eq!(assess(&board, 11_000), Verdict::Blind);
    observe(&mut board, 1, 11_001, Role::Replica, 1);
    observe(&mut board, 2, 11_001, Role::Replica, 1);
    assert_eq!(assess(&board, 11_002), Verdict::Healthy);
}

#[test]
fn a_primary_whose_writes_reach_no_replica_is_suspected() {
    // Guards against writes that all end with an unknown outcome while every instance answers. The
    // primary is cut off from its replicas but not from the proxies, so its probes succeed.
    let mut board = board::Board::new(3);
    observe_all(&mut board, 1_000, 5, 5);
    observe_all(&mut board, 600_000, 9, 5);
    assert_eq!(assess(&board, 600_100), Verdict::Healthy);
    observe_all(&mut board, 600_799, 11, 5);
    assert_eq!(assess(&board, 600_799), Verdict::Healthy);
    observe_all(&mut board, 600_801, 12, 5);
    assert_eq!(assess(&board, 600_801), Verdict::Suspect(Cause::Stalled));
}

#[test]
fn replicas_that_lag_but_advance_are_not_stalled() {
    let mut board = board::Board::new(3);
    for step in 0..100 {
        let millis = 1_000 + step * 100;
        observe_all(&mut board, millis, 1_000 + step, step);
        assert_eq!(assess(&board, millis), Verdict::Healthy);
    }
}

#[test]
fn a_group_without_primary_is_vacant() {
    let mut board = board::Board::new(3);
    observe(&mut board, 1, 1_000, Role::Replica, 1);
    observe(&mut board, 2, 1_000, Role::Replica, 1);
    assert_eq!(assess(&board, 1_000), Verdict::Suspect(Cause::Vacant));
}

#[test]
fn a_replica_fenced_above_the_primary_calls_for_a_new_term() {
    // Guards against a replica that receives no records any more in a group that seems healthy. A
    // promotion fences the replica at term 2 and is abandoned, and the primary of term 1 continues
    // with the other replica.
    let mut board = board::Board::new(3);
    let mut observe_fenced = |millis, position| {
        observe(&mut board, 0, millis, Role::Primary, position);
        observe(&mut board, 1, millis, Role::Replica, position);
        observe(&mut board, 2, millis, Role::Replica, 1);
        let time = Duration::from_millis(millis);
        let mut status = board.status(2).unwrap();
        status.fence = 2;
        board.record_answer(
            2,
            board::Observation {
                started: time,
                finished: time,
                status,
            },
        );
        assess(&board, millis)
    };
    assert_eq!(observe_fenced(1_000, 1), Verdict::Healthy);
    assert_eq!(observe_fenced(9_000, 2), Verdict::Healthy);
    assert_eq!(observe_fenced(9_799, 3), Verdict::Healthy);
    assert_eq!(observe_fenced(9_801, 4), Verdict::Suspect(Cause::FencedOff));
}
