//! A search through every order of events around the promoter's seat: two nodes, leases that end, and a store
//! that comes back from an older copy.
//!
//! What is searched: a node takes the seat where it is empty; a lease ends, noticed or not; the store is copied, and
//! comes back; an answer tells a node of the era; a holder records a promotion, and orders it if the answer
//! is of the era of its seat. The order leaves with the answer: that it does so before another holder may act rests on the
//! times of `lease`, not on this search.

use std::collections;

use mangotray_desk::era;

/// What the store holds of the seat: whose it is, by which of its claims, at which revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    holder: usize,
    turn: u8,
    revision: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Content {
    revision: u64,
    lease: Option<Claim>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    /// The seat that it believes to hold, and the era in which it took it.
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
    /// The last order: its number, and by which claim.
    ordered: Option<(u64, usize, u8)>,
    violation: Option<&'static str>,
}

/// The rules, or what becomes of one that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rules {
    All,
    /// The number is the revision alone.
    FenceWithoutEra,
    /// A seat stays valid after a return.
    LeaseSurvivesReset,
    /// A record is guarded by the seat's revision alone.
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
        turn: node.claims,
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
    let lasting = rules == Rules::LeaseSurvivesReset;
    if !lasting && state.nodes[node].seen != era {
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
        next.violation = Some("a record in the term of another holder");
    }
    if !lasting && state.era != era {
        return Some(next);
    }
    let fence = match rules {
        Rules::FenceWithoutEra => claim.revision,
        _ => era::fence(era, claim.revision),
    };
    if let Some((last, by, turn)) = state.ordered {
        let same = (by, turn) == (claim.holder, claim.turn);
        if fence < last {
            next.violation = Some("a number that falls");
        } else if fence == last && !same {
            next.violation = Some("a number of two holders");
        }
    }
    next.ordered = Some((fence, claim.holder, claim.turn));
    Some(next)
}

/// States visited, and what was found broken first.
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
fn numbers_rise_and_records_have_one_writer_through_every_return() {
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
