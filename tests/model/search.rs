//! Breadth-first search of the state space.

use std::cell::Cell;
use std::fmt;
use std::hash;

use pathfinding::prelude::bfs_reach;

use crate::config;
use crate::next;
use crate::property;
use crate::rules;
use crate::state;
use crate::step;

/// Result of a search.
#[derive(Debug)]
pub struct Report {
    /// Name of the configuration.
    pub name: &'static str,
    /// Number of states visited.
    pub states: usize,
    /// Number of steps from the first state to the last visited state.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// Shortest counterexample, if there is one.
    pub violation: Option<Violation>,
}

/// A violated property with its counterexample.
#[derive(Debug)]
pub struct Violation {
    /// The violated property.
    pub property: property::Property,
    /// The steps that lead to it.
    pub path: Vec<step::Step>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            states,
            depth,
            exhausted,
            violation,
        } = self;
        write!(
            f,
            "{name}: {states} states, depth {depth}, exhausted {exhausted}"
        )?;
        let Some(violation) = violation else {
            return write!(f, ", no violation");
        };
        let length = violation.path.len();
        write!(f, ", {:?} after {length} steps: ", violation.property)?;
        f.debug_list().entries(&violation.path).finish()
    }
}

/// A state with its predecessor and the step from it. Only the state is compared and hashed.
#[derive(Clone)]
struct Node {
    state: state::State,
    parent: u32,
    step: step::Step,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl hash::Hash for Node {
    fn hash<H: hash::Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Searches for a state that violates a property.
pub fn run(config: &config::Config) -> Report {
    let rules = rules::Rules::new(config);
    run_until(config, &rules, |state| {
        property::first_violation(state, &rules)
    })
}

/// Searches for a state for which `check` returns a property, and stops there.
pub fn run_until(
    config: &config::Config,
    rules: &rules::Rules,
    check: impl Fn(&state::State) -> Option<property::Property>,
) -> Report {
    let first = Node {
        state: state::State::new(config, rules),
        parent: 0,
        step: step::Step::Start,
    };
    let visited = Cell::new(0);
    let mut predecessors = Vec::new();
    let nodes = bfs_reach(first, |node: &Node| {
        let parent = visited.get();
        next::successors(&node.state, config, rules)
            .into_iter()
            .map(move |(step, state)| Node {
                state,
                parent,
                step,
            })
    });
    let mut report = Report {
        name: config.name,
        states: 0,
        depth: 0,
        exhausted: true,
        violation: None,
    };
    for node in nodes {
        predecessors.push((node.parent, node.step));
        visited.set(visited.get() + 1);
        if let Some(property) = check(&node.state) {
            let path = path(&predecessors);
            report.violation = Some(Violation { property, path });
        }
        report.exhausted = report.violation.is_none() && predecessors.len() < config.max_states;
        if !report.exhausted {
            break;
        }
    }
    report.states = predecessors.len();
    report.depth = path(&predecessors).len();
    report
}

/// Steps to the last visited node.
fn path(predecessors: &[(u32, step::Step)]) -> Vec<step::Step> {
    let mut index = predecessors.len() - 1;
    let mut path = Vec::new();
    while index != 0 {
        let (parent, step) = predecessors[index];
        path.push(step);
        index = parent as usize;
    }
    path.reverse();
    path
}
