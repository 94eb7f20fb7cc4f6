use std::time::Duration;

use super::{Choice, Member};
use crate::endpoint;

const HEALTHY: Member = Member {
    health: endpoint::Health::HEALTHY,
    tried: false,
};

fn failing() -> Member {
    let mut member = HEALTHY;
    member.health.record_failure(Duration::ZERO, 1.0);
    member
}

fn tried(member: Member) -> Member {
    Member {
        tried: true,
        ..member
    }
}

#[test]
fn keeps_the_order_of_healthy_members() {
    assert_eq!(
        Choice::new(&[HEALTHY, HEALTHY], Duration::ZERO).member,
        Some(0)
    );
    let choice = Choice::new(&[tried(HEALTHY), HEALTHY], Duration::ZERO);
    assert_eq!(choice.member, Some(1));
}

#[test]
fn an_open_circuit_is_probed_beside_the_request_once_its_pause_is_over() {
    let members = [failing(), HEALTHY];
    assert!(Choice::new(&members, Duration::ZERO).probes.is_empty());
    let choice = Choice::new(&members, Duration::from_secs(1));
    assert_eq!((choice.member, choice.probes), (Some(1), vec![0]));
}

#[test]
fn without_a_healthy_member_the_first_due_one_is_tried() {
    let members = [tried(HEALTHY), failing(), failing()];
    assert_eq!(Choice::new(&members, Duration::ZERO).member, None);
    let choice = Choice::new(&members, Duration::from_secs(1));
    assert_eq!((choice.member, choice.probes), (Some(1), vec![2]));
}
