//! Model check of the promoter's election: all orders of events with two nodes, expiring leases,
//! and a store that is reset to an older copy.
//!
//! The events are: a node obtains a vacant lease; a lease expires, noticed or not; the store is
//! copied, and reset to the copy; an answer tells a node the era; a holder records a promotion, and
//! orders it if the answer is of the era of its lease. The model assumes that the order is sent
//! with the answer; that this happens before another holder may act follows from the delays in
//! `election`, not from this search.

use std::collections;

use mangotray_desk::era;

/// The lease in the store: its holder, the number of the holder's claim, and the revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    holder: usize,
    number: u8,
    revision: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Content {
    revision: u64,
    lease: Option<Claim>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    /// The lease that the node assumes to hold, and the era in which it obtained it.
    held: Option<(Claim, u64)>,
    /// The era of the last answer.
    seen: u64,
    claims: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    era: u64,
    now: Content,
    copy: Content,
    nodes: [Node; 2],
    /// The last order: its fencing token, holder and claim.
    ordered: Option<(u64, usize, u8)>,
    violation: Option<&'static str>,
}

/// The rules, and variants that lack one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rules {
    All,
    /// The fencing token is the revision alone.
    FenceWithoutEra,
    /// A lease stays valid after a reset.
    LeaseSurvivesReset,
    /// A record is guarded by the revision of the lease alone.
    GuardWithoutHolder,
}

const MAX_ERA: u64 = 3;
const CLAIMS: u8 = 2;
const MAX_REVISION: u64 = 8;

fn next(state: &State, rules: Rules) -> Vec<State> {
    let mut found = vec![snapshotted(state)];
    found.extend(reset(state));
    found.extend(expired(state));
    for node in 0..2 {
        found.extend(claimed(state, node));
        found.push(observed(state, node));
        found.extend(ordered(state, node, rules));
    }
    found.retain(|state| state.now.revision <= MAX_REVISION);
    found
}

fn snapshotted(state: &State) -> State {
    let copy = state.now;
    State {
        copy,
        ..state.clone()
    }
}

fn reset(state: &State) -> Option<State> {
    (state.era < MAX_ERA).then(|| State {
        era: state.era + 1,
        now: state.copy,
        ..state.clone()
    })
}

fn expired(state: &State) -> Option<State> {
    state.now.lease?;
    let mut next = state.clone();
    next.now.lease = None;
    next.now.revision += 1;
    Some(next)
}

fn claimed(state: &State, holder: usize) -> Option<State> {
    let node = state.nodes[holder];
    if state.now.lease.is_some() || node.claims == CLAIMS {
        return None;
    }
    let mut next = state.clone();
    next.now.revision += 1;
    let claim = Claim {
        holder,
        number: node.claims,
        revision: next.now.revision,
    };
    next.now.lease = Some(claim);
    next.nodes[holder] = Node {
        held: Some((claim, state.era)),
        seen: state.era,
        claims: node.claims + 1,
    };
    Some(next)
}

fn observed(state: &State, node: usize) -> State {
    let mut next = state.clone();
    next.nodes[node].seen = state.era;
    next
}

fn ordered(state: &State, node: usize, rules: Rules) -> Option<State> {
    let (claim, era) = state.nodes[node].held?;
    let survives_reset = rules == Rules::LeaseSurvivesReset;
    if !survives_reset && state.nodes[node].seen != era {
        return None;
    }
    let lease = state.now.lease?;
    let guarded = match rules {
        Rules::GuardWithoutHolder => lease.revision == claim.revision,
        _ => lease == claim,
    };
    if !guarded {
        return None;
    }
    let mut next = observed(state, node);
    if lease != claim {
        next.violation = Some("a record written under another holder's lease");
    }
    if !survives_reset && state.era != era {
        return Some(next);
    }
    let fence = match rules {
        Rules::FenceWithoutEra => claim.revision,
        _ => era::fence(era, claim.revision),
    };
    if let Some((last, by, number)) = state.ordered {
        let is_same_claim = (by, number) == (claim.holder, claim.number);
        if fence < last {
            next.violation = Some("a fencing token that falls");
        } else if fence == last && !is_same_claim {
            next.violation = Some("a fencing token of two holders");
        }
    }
    next.ordered = Some((fence, claim.holder, claim.number));
    Some(next)
}

/// Returns the number of visited states and the first violation.
fn search(rules: Rules) -> (usize, Option<&'static str>) {
    let start = State {
        era: 1,
        ..State::default()
    };
    let mut seen = collections::BTreeSet::from([start.clone()]);
    let mut queue = collections::VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        if state.violation.is_some() {
            return (seen.len(), state.violation);
        }
        for state in next(&state, rules) {
            if seen.insert(state.clone()) {
                queue.push_back(state);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn fencing_tokens_rise_and_records_have_one_writer_through_every_reset() {
    let (states, violation) = search(Rules::All);
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn each_rule_is_needed() {
    let violation = |rules| search(rules).1;
    assert!(violation(Rules::FenceWithoutEra).is_some());
    assert!(violation(Rules::LeaseSurvivesReset).is_some());
    assert!(violation(Rules::GuardWithoutHolder).is_some());
}
