//! Model of claiming terms from the store by compare-and-swap when answers are lost.
//!
//! Two claimants run the loop of `term::Registry` with the production `term::Record`, for
//! two claims each. The answer to any swap may be lost, up to a bounded number of times.

use mangotray::id;
use mangotray::term;
use pathfinding::prelude::bfs_reach;

const CLAIMS_PER_CLAIMANT: u8 = 2;

/// Deliberate defect of the claiming loop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// The loop is as in production.
    None,
    /// The store accepts a swap without comparing the version.
    SwapWithoutVersion,
    /// A claimant treats a lost answer as success.
    LossTakenForSuccess,
}

/// Progress of a claimant's current claim.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The record is to be read.
    Reading,
    /// The record was read at `version` and is to be swapped.
    Swapping {
        next: id::Term,
        latest: Option<(id::Term, term::Attempt)>,
        version: u8,
    },
}

/// State of the store and of both claimants.
#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    next: id::Term,
    latest: Option<(id::Term, term::Attempt)>,
    version: u8,
    phases: [Phase; 2],
    completed_claims: [u8; 2],
    remaining_losses: u8,
    granted_terms: Vec<id::Term>,
}

impl State {
    fn new() -> Self {
        Self {
            next: 2,
            latest: None,
            version: 1,
            phases: [Phase::Reading; 2],
            completed_claims: [0; 2],
            remaining_losses: 3,
            granted_terms: Vec::new(),
        }
    }

    fn grant(&mut self, claimant: usize, term: id::Term) {
        self.granted_terms.push(term);
        self.granted_terms.sort_unstable();
        self.completed_claims[claimant] += 1;
        self.phases[claimant] = Phase::Reading;
    }

    fn has_duplicate_term(&self) -> bool {
        self.granted_terms.windows(2).any(|pair| pair[0] == pair[1])
    }
}

fn record(next: id::Term, latest: Option<(id::Term, term::Attempt)>) -> term::Record {
    term::Record {
        next,
        latest,
        ..term::Record::default()
    }
}

fn successors(state: &State, defect: Defect) -> Vec<State> {
    (0..2)
        .filter(|claimant| state.completed_claims[*claimant] < CLAIMS_PER_CLAIMANT)
        .flat_map(|claimant| match state.phases[claimant] {
            Phase::Reading => vec![read_record(state, claimant)],
            Phase::Swapping {
                next,
                latest,
                version,
            } => swap_outcomes(state, claimant, &record(next, latest), version, defect),
        })
        .collect()
}

/// Reads the record. If it holds the present claim, whose answer was lost, the claim succeeds.
fn read_record(state: &State, claimant: usize) -> State {
    let mut after = state.clone();
    match record(state.next, state.latest).term_of(attempt(state, claimant)) {
        Some(term) => after.grant(claimant, term),
        None => {
            after.phases[claimant] = Phase::Swapping {
                next: state.next,
                latest: state.latest,
                version: state.version,
            };
        }
    }
    after
}

/// Outcomes of swapping the record: one with an answer and, if allowed, one without.
fn swap_outcomes(
    state: &State,
    claimant: usize,
    record_read: &term::Record,
    version: u8,
    defect: Defect,
) -> Vec<State> {
    let (record, term) = record_read.claim(0, attempt(state, claimant));
    let stored = version == state.version || defect == Defect::SwapWithoutVersion;
    let mut swapped = state.clone();
    swapped.phases[claimant] = Phase::Reading;
    if stored {
        swapped.next = record.next;
        swapped.latest = record.latest;
        swapped.version += 1;
    }
    let mut answered = swapped.clone();
    if stored {
        answered.grant(claimant, term);
    }
    let mut outcomes = vec![answered];
    if state.remaining_losses > 0 {
        swapped.remaining_losses -= 1;
        if defect == Defect::LossTakenForSuccess {
            swapped.grant(claimant, term);
        }
        outcomes.push(swapped);
    }
    outcomes
}

/// Number of the present claim; it is unique to the claim.
fn attempt(state: &State, claimant: usize) -> term::Attempt {
    let claim = usize::from(state.completed_claims[claimant]);
    term::Attempt::from([[1_u8, 2], [3, 4]][claimant][claim])
}

/// Whether two claims can get the same term, and how many states were visited.
fn search(defect: Defect) -> (bool, usize) {
    let mut visited = 0;
    let duplicate = bfs_reach(State::new(), |state| successors(state, defect))
        .inspect(|_| visited += 1)
        .any(|state| state.has_duplicate_term());
    (duplicate, visited)
}

#[test]
fn terms_are_unique() {
    let (duplicate, visited) = search(Defect::None);
    println!("claims: {visited} states, exhausted {}", !duplicate);
    assert!(!duplicate);
}

// Symptom: two promoters get one term.
// Events: both read the record, then both write it.
// Cause: the second overwrites a version that it has not read.
#[test]
fn swap_without_version_gives_a_term_twice() {
    let (duplicate, visited) = search(Defect::SwapWithoutVersion);
    println!("SwapWithoutVersion: noticed after {visited} states");
    assert!(duplicate);
}

// Symptom: two promoters get one term.
// Events: one swap succeeds, the other fails and its answer is lost.
// Cause: the second promoter uses the term without reading the record again.
#[test]
fn lost_answer_taken_for_success_gives_a_term_twice() {
    let (duplicate, visited) = search(Defect::LossTakenForSuccess);
    println!("LossTakenForSuccess: noticed after {visited} states");
    assert!(duplicate);
}
