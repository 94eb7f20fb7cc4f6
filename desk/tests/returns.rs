//! A search through every order of events around the promoter's seat: two nodes, leases that end, and a store
//! that comes back from an older copy.
//!
//! What is searched: a node takes the seat where it is empty; a lease ends, noticed or not; the store is copied, and
//! comes back; an answer tells a node of the era; a holder records a promotion, and orders it if the answer
//! is of the era of its seat. The order leaves with the answer: that it does so before another holder may act rests on the
//! times of `seat`, not on this search.

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
    seat: Option<Claim>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    /// The seat that it believes to hold, and the era in which it took it.
    held: Option<(Claim, u64)>,
    /// The era of the last answer.
    seen: u64,
    turns: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    era: u64,
    now: Content,
    copy: Content,
    nodes: [Node; 2],
    /// The last order: its number, and by which claim.
    ordered: Option<(u64, usize, u8)>,
    broken: Option<&'static str>,
}

/// The rules, or what becomes of one that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rules {
    All,
    /// The number is the revision alone.
    NumberWithoutEra,
    /// A seat stays valid after a return.
    SeatOutlivesEra,
    /// A record is guarded by the seat's revision alone.
    GuardWithoutHolder,
}

const ERAS: u64 = 3;
const TURNS: u8 = 2;
const REVISIONS: u64 = 8;

fn next(state: &State, rules: Rules) -> Vec<State> {
    let mut found = vec![copied(state)];
    found.extend(returned(state));
    found.extend(lapsed(state));
    for node in 0..2 {
        found.extend(taken(state, node));
        found.push(heard(state, node));
        found.extend(ordered(state, node, rules));
    }
    found.retain(|state| state.now.revision <= REVISIONS);
    found
}

fn copied(state: &State) -> State {
    let copy = state.now;
    State {
        copy,
        ..state.clone()
    }
}

fn returned(state: &State) -> Option<State> {
    (state.era < ERAS).then(|| State {
        era: state.era + 1,
        now: state.copy,
        ..state.clone()
    })
}

fn lapsed(state: &State) -> Option<State> {
    state.now.seat?;
    let mut next = state.clone();
    next.now.seat = None;
    next.now.revision += 1;
    Some(next)
}

fn taken(state: &State, holder: usize) -> Option<State> {
    let node = state.nodes[holder];
    if state.now.seat.is_some() || node.turns == TURNS {
        return None;
    }
    let mut next = state.clone();
    next.now.revision += 1;
    let claim = Claim {
        holder,
        turn: node.turns,
        revision: next.now.revision,
    };
    next.now.seat = Some(claim);
    next.nodes[holder] = Node {
        held: Some((claim, state.era)),
        seen: state.era,
        turns: node.turns + 1,
    };
    Some(next)
}

fn heard(state: &State, node: usize) -> State {
    let mut next = state.clone();
    next.nodes[node].seen = state.era;
    next
}

fn ordered(state: &State, node: usize, rules: Rules) -> Option<State> {
    let (claim, era) = state.nodes[node].held?;
    let lasting = rules == Rules::SeatOutlivesEra;
    if !lasting && state.nodes[node].seen != era {
        return None;
    }
    let seat = state.now.seat?;
    let guarded = match rules {
        Rules::GuardWithoutHolder => seat.revision == claim.revision,
        _ => seat == claim,
    };
    if !guarded {
        return None;
    }
    let mut next = heard(state, node);
    if seat != claim {
        next.broken = Some("a record in the term of another holder");
    }
    if !lasting && state.era != era {
        return Some(next);
    }
    let number = match rules {
        Rules::NumberWithoutEra => claim.revision,
        _ => era::fence(era, claim.revision),
    };
    if let Some((last, by, turn)) = state.ordered {
        let same = (by, turn) == (claim.holder, claim.turn);
        if number < last {
            next.broken = Some("a number that falls");
        } else if number == last && !same {
            next.broken = Some("a number of two holders");
        }
    }
    next.ordered = Some((number, claim.holder, claim.turn));
    Some(next)
}

/// States visited, and what was found broken first.
fn search(rules: Rules) -> (usize, Option<&'static str>) {
    let start = State {
        era: 1,
        ..State::default()
    };
    let mut seen = collections::BTreeSet::from([start.clone()]);
    let mut waiting = collections::VecDeque::from([start]);
    while let Some(state) = waiting.pop_front() {
        if state.broken.is_some() {
            return (seen.len(), state.broken);
        }
        for state in next(&state, rules) {
            if seen.insert(state.clone()) {
                waiting.push_back(state);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn numbers_rise_and_records_have_one_writer_through_every_return() {
    let (states, broken) = search(Rules::All);
    println!("{states} states");
    assert_eq!(broken, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn each_rule_is_needed() {
    let broken = |rules| search(rules).1;
    assert!(broken(Rules::NumberWithoutEra).is_some());
    assert!(broken(Rules::SeatOutlivesEra).is_some());
    assert!(broken(Rules::GuardWithoutHolder).is_some());
}
