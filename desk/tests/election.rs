//! Many nodes before an empty seat.

use std::time;

use mangotray_desk::election;

/// Time after which the others hear of a claim.
const PROPAGATION_DELAY: time::Duration = time::Duration::from_millis(200);

const NODES: usize = 95;

/// Nodes that ask the store for the seat, and when the first does, where each waits for a random part
/// of `within`.
fn claims(within: time::Duration, random: &mut fastrand::Rng) -> (usize, time::Duration) {
    let turns: Vec<_> = (0..NODES).map(|_| within.mul_f64(random.f64())).collect();
    let first = turns.iter().min().copied().unwrap_or_default();
    let asking = turns
        .iter()
        .filter(|turn| **turn <= first + PROPAGATION_DELAY)
        .count();
    (asking, first)
}

/// The load: a fleet of 95 starts again, and all nodes see the seat empty at once. The rule before it gave
/// them the time that does for eight.
#[test]
fn few_of_many_nodes_ask_for_an_empty_seat_and_the_first_as_soon() {
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
