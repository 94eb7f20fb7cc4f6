use std::collections;
use std::sync;

use assert_matches::assert_matches;
use futures_lite::future as lite;
use proptest::prelude::*;

use crate::platform::fake;
use crate::store;
use crate::term;

fn registry(store: &sync::Arc<fake::Fake>, vm: &str, incarnation: u64) -> term::Registry {
    let store = sync::Arc::clone(store) as sync::Arc<dyn store::Store>;
    term::Registry::new(store, "dome-sched-1", vm.into(), incarnation)
}

fn behaviours() -> impl Strategy<Value = Vec<fake::Behaviour>> {
    let fate = prop_oneof![
        Just(fake::Behaviour::Answered),
        Just(fake::Behaviour::AnswerLost),
        Just(fake::Behaviour::RequestLost),
        Just(fake::Behaviour::Delayed),
        Just(fake::Behaviour::Refused),
    ];
    prop::collection::vec(fate, 0..24)
}

/// Makes the claims of one process and returns the terms; for each `true` a term is reserved and
/// then taken.
async fn claims(registry: &term::Registry, steps: &[bool]) -> Vec<u64> {
    let mut terms = Vec::new();
    for reserve in steps {
        if *reserve {
            let _ = registry.reserve(0).await;
            terms.extend(registry.take_reserved(0));
        } else {
            terms.extend(registry.claim(0).await);
        }
    }
    terms
}

proptest! {
    // Guards against two primaries of one group with the same term. Two VMs claim at the same time
    // while answers are lost and swaps take effect late or never; a claim must not return a term
    // that the store has not confirmed as its own.
    #[test]
    fn no_term_is_handed_out_twice(
        behaviours in behaviours(),
        first in prop::collection::vec(any::<bool>(), 0..64),
        a in prop::collection::vec(any::<bool>(), 1..6),
        b in prop::collection::vec(any::<bool>(), 1..6),
    ) {
        let store = fake::Fake::new(&behaviours);
        let (one, two) = (registry(&store, "vm-1", 1), registry(&store, "vm-2", 2));
        let (one, two) = fake::interleave(&first, claims(&one, &a), claims(&two, &b));
        let terms: Vec<u64> = one.into_iter().chain(two).collect();
        let unique: collections::BTreeSet<_> = terms.iter().collect();
        prop_assert_eq!(unique.len(), terms.len());
    }

    // The same with concurrent claims by one process, which probers may make.
    #[test]
    fn concurrent_claims_of_one_registry_are_unique(
        behaviours in behaviours(),
        first in prop::collection::vec(any::<bool>(), 0..64),
        a in prop::collection::vec(any::<bool>(), 1..6),
        b in prop::collection::vec(any::<bool>(), 1..6),
    ) {
        let store = fake::Fake::new(&behaviours);
        let shared = registry(&store, "vm-1", 1);
        let (one, two) = fake::interleave(&first, claims(&shared, &a), claims(&shared, &b));
        let terms: Vec<u64> = one.into_iter().chain(two).collect();
        let unique: collections::BTreeSet<_> = terms.iter().collect();
        prop_assert_eq!(unique.len(), terms.len());
    }

    #[test]
    fn a_claim_is_above_all_before(next in 1..1_000_u64, above in 0..1_000_u64) {
        let record = term::Record { next, ..term::Record::default() };
        let (after, term) = record.claim(above, 1);
        prop_assert!(term > above && term >= next && after.next > term);
    }
}

// Guards against a failover that waits although the store has recorded its claim. All answers to
// swaps are lost while reads work, so the claim has to find its own attempt by reading the record.
#[test]
fn a_claim_whose_answer_was_lost_is_found_by_reading_back() {
    let store = fake::Fake::new(&[fake::Behaviour::AnswerLost; 2]);
    let registry = registry(&store, "vm-1", 1);
    assert_eq!(lite::block_on(registry.claim(4)), Ok(5));
    assert_eq!(lite::block_on(registry.claim(4)), Ok(6));
}

#[test]
fn a_claim_whose_swap_has_no_answer_is_unknown() {
    let store = fake::Fake::new(&[fake::Behaviour::RequestLost; 64]);
    let registry = registry(&store, "vm-1", 1);
    assert_matches!(
        lite::block_on(registry.claim(0)),
        Err(store::Failure::Unknown(_))
    );
}

// Guards against an outage of the store that prevents promotions. The store fails after a term was
// reserved and then the primary fails; no term can be claimed during the outage.
#[test]
fn a_reserved_term_is_used_once_without_the_store() {
    let store = fake::Fake::new(&[]);
    let holder = registry(&store, "vm-1", 1);
    let term = lite::block_on(holder.reserve(0)).unwrap();
    assert_eq!(lite::block_on(holder.reserve(0)), Ok(term));
    store.state.lock().unwrap().unavailable = true;
    assert_matches!(
        lite::block_on(holder.claim(0)),
        Err(store::Failure::NotRun(_))
    );
    assert_eq!(registry(&store, "vm-1", 2).take_reserved(0), None);
    assert_eq!(holder.take_reserved(0), Some(term));
    assert_eq!(holder.take_reserved(0), None);
}

#[test]
fn an_outdated_reservation_is_replaced() {
    let store = fake::Fake::new(&[]);
    let (holder, other) = (registry(&store, "vm-1", 1), registry(&store, "vm-2", 2));
    let old = lite::block_on(holder.reserve(0)).unwrap();
    let newer = lite::block_on(other.claim(old)).unwrap();
    assert!(lite::block_on(holder.reserve(newer)).unwrap() > newer);
    let record: term::Record = serde_json::from_slice(&store.state.lock().unwrap().value).unwrap();
    assert_eq!(record.reserved.len(), 1);
    assert_eq!(holder.take_reserved(1_000), None);
}

#[test]
fn the_last_promotion_is_kept() {
    let store = fake::Fake::new(&[]);
    let registry = registry(&store, "vm-1", 1);
    lite::block_on(registry.publish(7, 2)).unwrap();
    lite::block_on(registry.publish(6, 0)).unwrap();
    let promotion = lite::block_on(registry.current()).unwrap().unwrap();
    assert_eq!((promotion.holder.term, promotion.instance), (7, 2));
    assert_eq!(lite::block_on(registry.claim(0)), Ok(8));
}

#[test]
fn the_record_stays_small_while_vms_come_and_go() {
    let store = fake::Fake::new(&[]);
    for vm in 0..100 {
        let registry = registry(&store, &format!("vm-{vm}"), vm);
        lite::block_on(registry.reserve(0)).unwrap();
    }
    let record: term::Record = serde_json::from_slice(&store.state.lock().unwrap().value).unwrap();
    assert_eq!((record.reserved.len(), record.next), (16, 101));
}
