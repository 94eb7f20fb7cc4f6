//! Properties that must hold in every state.

use crate::instance;
use crate::log;
use crate::rules;
use crate::state;

/// A property that a state can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Property {
    /// A confirmed write is missing from the log of a primary of its term or a later one.
    ConfirmedLost,
    /// A write is in a log twice.
    RunTwice,
    /// Two instances have led one term.
    TermSharedByPrimaries,
    /// A write that was reported as not run is in a log.
    NotRunFound,
    /// A read without a token can be served without a write confirmed before it arrived.
    ReadMisses,
    /// A read with a token can be served without the token's record.
    TokenMisses,
    /// The primary's stamp is below another instance's, see `leader_behind`.
    LeaderBehind,
    /// A write can be confirmed after a later promotion, see `confirmed_late`.
    ConfirmedLate,
}

/// The first property that the state violates.
pub fn first_violation(state: &state::State, rules: &rules::Rules) -> Option<Property> {
    let checks = [
        (Property::ConfirmedLost, confirmed_write_lost(state)),
        (Property::RunTwice, write_run_twice(state)),
        (Property::TermSharedByPrimaries, term_shared(state)),
        (Property::NotRunFound, not_run_write_found(state)),
        (Property::ReadMisses, read_misses(state, rules)),
        (Property::TokenMisses, token_misses(state, rules)),
    ];
    checks
        .into_iter()
        .find_map(|(property, violated)| violated.then_some(property))
}

/// Whether an instance has a higher stamp than the primary although none has a higher fence:
/// the primary cannot serve reads that must see that stamp. Safety does not require the
/// opposite; the check shows the purpose of the first record of a term.
pub fn leader_behind(state: &state::State) -> bool {
    let top = state.instances.iter().map(|instance| instance.fence).max();
    state
        .instances
        .iter()
        .filter(|instance| instance.is_primary() && Some(instance.fence) == top)
        .any(|leader| {
            let stamps = state.instances.iter().map(|instance| instance.log.stamp());
            stamps.max() > Some(leader.log.stamp())
        })
}

/// Whether a write can be confirmed while an instance is already primary of a later term. The
/// log of the later primary has the write, but the caller gets the confirmation through the
/// replaced primary.
pub fn confirmed_late(state: &state::State, rules: &rules::Rules) -> bool {
    state.writes.iter().any(|write| {
        let state::Write::Answered(place) = *write else {
            return false;
        };
        let mut instances = state.instances.iter();
        let replaced = instances.any(|other| other.is_primary() && other.fence > place.term);
        replaced
            && (0..)
                .zip(state.instances)
                .any(|(index, instance)| rules.confirms(place, index, instance.view()))
    })
}

fn confirmed_write_lost(state: &state::State) -> bool {
    state.confirmed().any(|(write, place)| {
        state
            .instances
            .iter()
            .filter(|instance| instance.is_primary() && instance.fence >= place.term)
            .any(|instance| !holds_write(instance, write, place))
    })
}

fn write_run_twice(state: &state::State) -> bool {
    writes().any(|write| {
        state
            .instances
            .iter()
            .any(|instance| instance.log.count(write) > 1)
    })
}

fn term_shared(state: &state::State) -> bool {
    state
        .primaries_by_term
        .iter()
        .any(|primaries| primaries.count_ones() > 1)
}

fn not_run_write_found(state: &state::State) -> bool {
    writes()
        .zip(state.writes)
        .filter(|(_, outcome)| *outcome == state::Write::NotRun)
        .any(|(write, _)| {
            state
                .instances
                .iter()
                .any(|instance| instance.log.count(write) > 0)
        })
}

fn read_misses(state: &state::State, rules: &rules::Rules) -> bool {
    let reader = &state.reader;
    if !reader.read_arrived {
        return false;
    }
    let Some(floor) = rules.floor(reader) else {
        return false;
    };
    state.instances.iter().enumerate().any(|(index, instance)| {
        let required_writes = state
            .confirmed()
            .filter(|(write, _)| reader.required_writes & write_bit(*write) != 0);
        rules.may_serve(reader, index, floor, instance.incarnation)
            && required_writes
                .into_iter()
                .any(|(write, place)| !holds_write(instance, write, place))
    })
}

fn token_misses(state: &state::State, rules: &rules::Rules) -> bool {
    state.confirmed().any(|(write, place)| {
        state.instances.iter().enumerate().any(|(index, instance)| {
            let token = place.stamp();
            !holds_write(instance, write, place)
                && rules.may_serve(&state.reader, index, token, instance.incarnation)
        })
    })
}

fn holds_write(instance: &instance::Instance, write: u8, place: state::Place) -> bool {
    let record = log::Record {
        term: place.term,
        write,
    };
    instance.log.records().get(usize::from(place.position) - 1) == Some(&record)
}

fn writes() -> impl Iterator<Item = u8> {
    (1..).take(state::WRITES)
}

/// The bit of a write's number, from 1.
pub fn write_bit(write: u8) -> u8 {
    1 << (write - 1)
}
