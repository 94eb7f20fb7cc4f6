//! Tests of the conclusions from observations.

use std::time::Duration;

use super::Board;
use super::Leader;
use super::Observation;
use crate::id;
use crate::role::Role;
use crate::stamp::Stamp;
use crate::status;

fn status(term: id::Term, position: id::Position, fence: id::Term, role: Role) -> status::Status {
    status::Status {
        stamp: Stamp::new(term, position),
        fence,
        role,
        voter: true,
        incarnation: 1,
    }
}

fn observe(board: &mut Board, index: id::Index, at: u64, status: status::Status) {
    let started = Duration::from_millis(at);
    board.record_answer(
        index,
        Observation {
            started,
            finished: started,
            status,
        },
    );
}

fn at(millis: u64) -> id::Time {
    Duration::from_millis(millis)
}

#[test]
fn floor_needs_a_majority_that_started_late_enough() {
    let mut board = Board::new(3);
    observe(&mut board, 0, 10, status(1, 5, 1, Role::Primary));
    observe(&mut board, 1, 5, status(1, 4, 1, Role::Replica));
    assert_eq!(board.floor(at(6)), None);
    observe(&mut board, 2, 12, status(1, 3, 1, Role::Replica));
    assert_eq!(board.floor(at(6)), Some(Stamp::new(1, 5)));
    assert_eq!(board.floor(at(5)), Some(Stamp::new(1, 4)));
}

#[test]
fn an_instance_that_lost_its_log_does_not_count_towards_a_majority() {
    // Guards against a caller that does not see its own confirmed write. The write is confirmed on
    // instances 0 and 1, instance 1 is rebuilt empty, and a read samples 1 (empty) and 2 (behind).
    // The empty instance must not count towards the majority.
    let mut board = Board::new(3);
    let mut empty = status(0, 0, 1, Role::Replica);
    empty.voter = false;
    observe(&mut board, 1, 10, empty);
    observe(&mut board, 2, 10, status(1, 3, 1, Role::Replica));
    assert_eq!(board.floor(at(0)), None);
}

#[test]
fn confirmation_compares_the_term_of_the_record() {
    // Guards against a confirmed write that the next promotion loses. A replica is fenced at term 2
    // while its log still ends in term 1, and must not confirm a commit by the old primary in
    // term 1. The fence must not be compared in place of the record's term.
    let mut board = Board::new(3);
    observe(&mut board, 1, 10, status(1, 9, 2, Role::Replica));
    assert!(!board.confirmed(Stamp::new(1, 9), 0, at(5)));
    observe(&mut board, 2, 10, status(1, 9, 1, Role::Replica));
    assert!(board.confirmed(Stamp::new(1, 9), 0, at(5)));
    assert!(!board.confirmed(Stamp::new(1, 10), 0, at(5)));
    assert!(!board.confirmed(Stamp::new(1, 9), 0, at(11)));
}

#[test]
fn a_record_of_a_later_term_confirms_nothing() {
    let mut board = Board::new(3);
    observe(&mut board, 1, 10, status(2, 50, 2, Role::Replica));
    assert!(!board.confirmed(Stamp::new(1, 9), 0, at(5)));
}

#[test]
fn leader_is_the_highest_term_and_not_fenced_off() {
    let mut board = Board::new(3);
    observe(&mut board, 0, 10, status(1, 9, 1, Role::Primary));
    assert_eq!(board.leader(), Some(Leader { index: 0, term: 1 }));
    observe(&mut board, 1, 10, status(1, 9, 2, Role::Replica));
    assert_eq!(board.leader(), Some(Leader { index: 0, term: 1 }));
    observe(&mut board, 2, 10, status(1, 9, 2, Role::Replica));
    assert_eq!(board.leader(), None);
    observe(&mut board, 2, 11, status(2, 10, 2, Role::Primary));
    assert_eq!(board.leader(), Some(Leader { index: 2, term: 2 }));
}

#[test]
fn an_answer_to_an_older_probe_is_dropped() {
    let mut board = Board::new(3);
    observe(&mut board, 0, 10, status(1, 9, 1, Role::Replica));
    observe(&mut board, 0, 8, status(1, 7, 1, Role::Replica));
    assert_eq!(board.status(0).unwrap().stamp, Stamp::new(1, 9));
}
