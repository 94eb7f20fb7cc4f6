//! Claims of terms from the store by compare-and-swap, with answers lost.
//!
//! Two claimants run the loop of `term::Registry` over the real `term::Record`, each
//! for two claims, at a store whose every call may lose its answer.

use mangotray::id;
use mangotray::term;
use pathfinding::prelude::bfs_reach;

/// Claims of each claimant.
const CLAIMS: u8 = 2;

/// A broken variant of the loop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    /// Nothing is broken.
    Nothing,
    /// The store takes a value whatever version it replaces.
    SwapWithoutVersion,
    /// A lost answer is taken for success.
    LossTakenForSuccess,
}

/// Where a claimant stands.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// About to read the record.
    Reading,
    /// Has read the record at a version.
    Read {
        next: id::Term,
        latest: Option<(id::Term, term::Attempt)>,
        version: u8,
    },
}

/// The store and both claimants.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    next: id::Term,
    latest: Option<(id::Term, term::Attempt)>,
    version: u8,
    phases: [Phase; 2],
    claims: [u8; 2],
    losses: u8,
    handed: Vec<id::Term>,
}

impl State {
    fn new() -> Self {
        Self {
            next: 2,
            latest: None,
            version: 1,
            phases: [Phase::Reading; 2],
            claims: [0; 2],
            losses: 3,
            handed: Vec::new(),
        }
    }

    fn hand(&mut self, who: usize, term: id::Term) {
        self.handed.push(term);
        self.handed.sort_unstable();
        self.claims[who] += 1;
        self.phases[who] = Phase::Reading;
    }

    fn shared(&self) -> bool {
        self.handed.windows(2).any(|pair| pair[0] == pair[1])
    }
}

fn record(next: id::Term, latest: Option<(id::Term, term::Attempt)>) -> term::Record {
    term::Record {
        next,
        latest,
        ..term::Record::default()
    }
}

fn successors(state: &State, broken: Broken) -> Vec<State> {
    (0..2)
        .filter(|who| state.claims[*who] < CLAIMS)
        .flat_map(|who| match state.phases[who] {
            Phase::Reading => vec![read(state, who)],
            Phase::Read {
                next,
                latest,
                version,
            } => swaps(state, who, &record(next, latest), version, broken),
        })
        .collect()
}

/// Reads the record, which settles a claim whose answer was lost if it shows.
fn read(state: &State, who: usize) -> State {
    let mut after = state.clone();
    match record(state.next, state.latest).term_of(attempt(state, who)) {
        Some(term) => after.hand(who, term),
        None => {
            after.phases[who] = Phase::Read {
                next: state.next,
                latest: state.latest,
                version: state.version,
            };
        }
    }
    after
}

/// Swaps the record: answered, or with the answer lost.
fn swaps(
    state: &State,
    who: usize,
    seen: &term::Record,
    version: u8,
    broken: Broken,
) -> Vec<State> {
    let (record, term) = seen.claim(0, attempt(state, who));
    let stored = version == state.version || broken == Broken::SwapWithoutVersion;
    let mut swapped = state.clone();
    swapped.phases[who] = Phase::Reading;
    if stored {
        swapped.next = record.next;
        swapped.latest = record.latest;
        swapped.version += 1;
    }
    let mut answered = swapped.clone();
    if stored {
        answered.hand(who, term);
    }
    let mut outcomes = vec![answered];
    if state.losses > 0 {
        swapped.losses -= 1;
        if broken == Broken::LossTakenForSuccess {
            swapped.hand(who, term);
        }
        outcomes.push(swapped);
    }
    outcomes
}

/// Number of the present claim; every claim draws its own.
fn attempt(state: &State, who: usize) -> term::Attempt {
    let claim = usize::from(state.claims[who]);
    term::Attempt::from([[1_u8, 2], [3, 4]][who][claim])
}

/// Whether two claims can be handed one term, and how many states were visited.
fn search(broken: Broken) -> (bool, usize) {
    let mut visited = 0;
    let shared = bfs_reach(State::new(), |state| successors(state, broken))
        .inspect(|_| visited += 1)
        .any(|state| state.shared());
    (shared, visited)
}

#[test]
fn terms_are_unique() {
    let (shared, visited) = search(Broken::Nothing);
    println!("claims: {visited} states, exhausted {}", !shared);
    assert!(!shared);
}

// Symptom: two promoters get one term.
// Events: both read the record, both write it.
// Cause: the second overwrote what it had not read.
#[test]
fn blind_swap_is_noticed() {
    let (shared, visited) = search(Broken::SwapWithoutVersion);
    println!("SwapWithoutVersion: noticed after {visited} states");
    assert!(shared);
}

// Symptom: two promoters get one term.
// Events: one swap wins; the answer to the other, which lost, does not arrive.
// Cause: the loser took the term without reading back.
#[test]
fn unproven_claim_is_noticed() {
    let (shared, visited) = search(Broken::LossTakenForSuccess);
    println!("LossTakenForSuccess: noticed after {visited} states");
    assert!(shared);
}
