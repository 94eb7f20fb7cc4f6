use std::time;

use crate::board;
use crate::gap;
use crate::id;
use crate::role;
use crate::stamp;
use crate::status;

fn answer(board: &mut board::Board, index: id::Index, at: u64, term: u64, position: u64) {
    let leads = index + 1 == usize::try_from(term).unwrap();
    let status = status::Status {
        stamp: stamp::Stamp::new(term, position),
        fence: term,
        role: if leads {
            role::Role::Primary
        } else {
            role::Role::Replica
        },
        voter: true,
        incarnation: 1,
    };
    let finished = time::Duration::from_millis(at);
    let started = finished;
    board.record_answer(
        index,
        board::Observation {
            started,
            finished,
            status,
        },
    );
}

fn all(board: &mut board::Board, at: u64, term: u64) {
    (0..3).for_each(|index| answer(board, index, at, term, 5));
}

// Guards against a failover reported without a gap, or only with the time after the fencing. The
// primary of term 1 answers last at 100 ms, the others are fenced at term 2 at 600 ms, and the
// primary of term 2 is first seen at 900 ms. The gap starts with the old primary's last answer.
#[test]
fn a_gap_runs_from_the_last_answer_of_the_old_primary_to_the_next_leader() {
    let mut board = board::Board::new(3);
    let mut meter = gap::Meter::default();
    all(&mut board, 100, 1);
    assert_eq!(meter.update(&board), None);
    for index in [1, 2] {
        board.record_failure(0);
        let mut fenced = board.status(index).unwrap();
        fenced.fence = 2;
        let at = time::Duration::from_millis(600);
        board.record_answer(
            index,
            board::Observation {
                started: at,
                finished: at,
                status: fenced,
            },
        );
        assert_eq!(meter.update(&board), None);
    }
    answer(&mut board, 1, 900, 2, 6);
    assert_eq!(meter.update(&board), Some(time::Duration::from_millis(800)));
    assert_eq!(meter.update(&board), None);
}

// Guards against reporting a gap of only one probe for a primary that was cut off from its replicas
// for seconds. Its log grows at 200 ms and no replica follows, it answers until 1,900 ms and is
// replaced at 2,000 ms; it confirms nothing after 200 ms.
#[test]
fn a_primary_without_followers_is_not_healthy() {
    let mut board = board::Board::new(3);
    let mut meter = gap::Meter::default();
    all(&mut board, 100, 1);
    for at in [200, 1_900] {
        answer(&mut board, 0, at, 1, 9);
        assert_eq!(meter.update(&board), None);
    }
    answer(&mut board, 1, 2_000, 2, 6);
    assert_eq!(
        meter.update(&board),
        Some(time::Duration::from_millis(1_800))
    );
}

#[test]
fn the_first_leader_and_a_leader_that_returns_end_no_gap() {
    let mut board = board::Board::new(3);
    let mut meter = gap::Meter::default();
    assert_eq!(meter.update(&board), None);
    all(&mut board, 100, 1);
    assert_eq!(meter.update(&board), None);
    board.record_failure(0);
    all(&mut board, 5_000, 1);
    assert_eq!(meter.update(&board), None);
}
