//! Tests of the choice of an instance for a read.

use super::Candidate;
use super::read;
use crate::board::Leader;
use crate::id;
use crate::stamp::Stamp;

fn candidate(index: id::Index, position: u64) -> Candidate {
    Candidate {
        index,
        stamp: Some(Stamp::new(1, position)),
        usable: true,
        leaving: false,
        near: false,
        load: 0,
    }
}

const LEADER: Option<Leader> = Some(Leader { index: 0, term: 1 });

#[test]
fn prefers_a_fresh_replica_over_the_primary() {
    let candidates = [candidate(0, 9), candidate(1, 9), candidate(2, 5)];
    assert_eq!(read(Stamp::new(1, 7), LEADER, &candidates), Some(1));
    assert_eq!(read(Stamp::new(1, 10), LEADER, &candidates), None);
}

#[test]
fn takes_the_primary_when_no_replica_is_fresh() {
    let candidates = [candidate(0, 9), candidate(1, 3), candidate(2, 5)];
    assert_eq!(read(Stamp::new(1, 7), LEADER, &candidates), Some(0));
}

#[test]
fn a_leaving_instance_gets_no_new_work() {
    let mut leaving = candidate(1, 9);
    leaving.leaving = true;
    let candidates = [candidate(0, 9), leaving, candidate(2, 9)];
    assert_eq!(read(Stamp::new(1, 7), LEADER, &candidates), Some(2));
}

#[test]
fn spreads_by_load_then_nearness() {
    let mut busy = candidate(1, 9);
    busy.load = 3;
    let mut near = candidate(2, 9);
    near.load = 3;
    near.near = true;
    assert_eq!(read(Stamp::new(1, 1), LEADER, &[busy, near]), Some(2));
    busy.load = 2;
    assert_eq!(read(Stamp::new(1, 1), LEADER, &[busy, near]), Some(1));
}
