//! Claims of a vacant lease by many nodes.

use std::time;

use mangotray_desk::election;

/// Time after which the other nodes are notified of a claim.
const PROPAGATION_DELAY: time::Duration = time::Duration::from_millis(200);

const NODES: usize = 95;

/// Returns the number of nodes that ask the store for the lease, and when the first does, if each
/// waits for a random part of `within`.
fn claims(within: time::Duration, random: &mut fastrand::Rng) -> (usize, time::Duration) {
    let delays: Vec<_> = (0..NODES).map(|_| within.mul_f64(random.f64())).collect();
    let first = delays.iter().min().copied().unwrap_or_default();
    let asking = delays
        .iter()
        .filter(|delay| **delay <= first + PROPAGATION_DELAY)
        .count();
    (asking, first)
}

/// Guards against many simultaneous claims when a fleet of 95 nodes restarts and all see the lease
/// vacant at once: a fixed window suits only eight nodes.
#[test]
fn few_of_many_nodes_ask_for_a_vacant_lease_and_the_first_as_early() {
    const ROUNDS: u32 = 200;
    let mut random = fastrand::Rng::with_seed(7);
    let mut waited = time::Duration::ZERO;
    for _ in 0..ROUNDS {
        let (before, _) = claims(election::claim_window(8), &mut random);
        let (asking, first) = claims(election::claim_window(NODES), &mut random);
        assert!(before > NODES / 2, "{before}");
        assert!(asking < NODES / 4, "{asking}");
        waited += first;
    }
    assert!(waited < PROPAGATION_DELAY * ROUNDS, "{waited:?}");
}
