//! How a revision of the operators' file reaches every node.
//!
//! A waiting watch counts as a call at the store, whose rates grow more slowly than the
//! fleet. So a few nodes watch the store; they push a new revision down a tree, and what
//! a lost message or a dead node leaves out is made up by periodic exchange between
//! pairs.
//!
//! What goes wrong: the watchers lose the store, or a node loses its peers, and an old
//! file stays in force while all looks well. One notices by the time since anybody heard
//! the store, which goes along with each exchange. A node for which it grows too long
//! reads the store itself, at a moment of its own: the first to succeed spares the rest,
//! and a fleet cut to pieces does not read in step.

use std::cmp;
use std::time;

use compact_str::format_compact;

use crate::id;
use crate::placement;
use crate::revision;

/// Nodes that watch the store; two may be dead or cut off.
pub const WATCHERS: usize = 3;

/// Nodes that one node pushes a new revision to.
pub const FANOUT: usize = 8;

/// Time that one watch waits at the store.
pub const WAIT: time::Duration = time::Duration::from_secs(5);

/// Time between two exchanges of a node.
pub const INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time without news of the store after which a node reads it, up to twice that. Longer
/// than a watch and the rounds of exchange that carry its news through a large fleet.
pub const SILENCE: time::Duration = time::Duration::from_secs(20);

/// Steps in which the moment of such a read is spread.
const JITTER_STEPS: u32 = 1_000;

/// Time of one such step.
const JITTER_STEP: time::Duration = SILENCE.checked_div(JITTER_STEPS).unwrap();

/// What a node is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the newest file to this VM.
    Push(id::Vm),
    /// Send the report to this VM and take in its answer.
    Exchange(id::Vm),
    /// Read the file from the store.
    Read,
}

/// What a node tells a peer about its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// What it holds.
    pub digest: revision::Digest,
    /// Time since it, or a node that it heard of, last heard the store.
    pub age: time::Duration,
}

/// Answer to a peer's report.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The answering node's own report.
    pub report: Report,
    /// Its file, when that is newer than the asking node's.
    pub file: Option<revision::File>,
}

/// One node's part in the spreading, apart from sockets.
#[derive(Clone, Debug)]
pub struct Node {
    vm: id::Vm,
    state: revision::State,
    /// When the store was last heard, by this node or one that it heard of.
    store_heard_at: id::Time,
    /// When this node last set out to read the store.
    read_attempted_at: id::Time,
    round: u64,
}

impl Node {
    /// A node that holds nothing yet.
    #[must_use]
    pub fn new(vm: id::Vm, now: id::Time) -> Self {
        Self {
            vm,
            state: revision::State::default(),
            store_heard_at: now,
            read_attempted_at: now,
            round: 0,
        }
    }

    /// What the node holds.
    #[must_use]
    pub const fn state(&self) -> &revision::State {
        &self.state
    }

    /// What the node tells its peers.
    #[must_use]
    pub fn report(&self, now: id::Time) -> Report {
        Report {
            digest: self.state.digest(),
            age: now.saturating_sub(self.store_heard_at),
        }
    }

    /// Takes in what the store answered to a watch or a read.
    pub fn heard(
        &mut self,
        file: Option<&revision::File>,
        now: id::Time,
        live: &[id::Vm],
    ) -> Vec<Action> {
        self.store_heard_at = now;
        file.map_or_else(Vec::new, |file| self.learn(file, live))
    }

    /// Takes a file in, wherever it came from; a new one is pushed on.
    ///
    /// ```
    /// use std::time;
    /// use mangotray::{revision, spread};
    /// let live = ["a".into(), "b".into()];
    /// let mut node = spread::Node::new("a".into(), time::Duration::ZERO);
    /// let file = revision::File { revision: 1, text: "x".into() };
    /// assert_eq!(node.learn(&file, &live), [spread::Action::Push("b".into())]);
    /// assert!(node.learn(&file, &live).is_empty());
    /// ```
    pub fn learn(&mut self, file: &revision::File, live: &[id::Vm]) -> Vec<Action> {
        match self.state.offer(file.revision, &file.text) {
            revision::Offer::Adopted => {}
            revision::Offer::Conflict => {
                tracing::error!(vm = %self.vm, revision = file.revision, "two files, one revision");
                return Vec::new();
            }
            revision::Offer::Stale | revision::Offer::Same => return Vec::new(),
        }
        tracing::info!(vm = %self.vm, revision = file.revision, "configuration adopted");
        targets(&self.vm, live, file.revision)
            .into_iter()
            .map(Action::Push)
            .collect()
    }

    /// Answers a peer's report.
    pub fn asked(&mut self, report: &Report, now: id::Time) -> Answer {
        self.record_contact(report, now);
        Answer {
            report: self.report(now),
            file: self.state.newer(&report.digest).cloned(),
        }
    }

    /// Takes in the answer of `peer` to an exchange.
    pub fn answered(
        &mut self,
        peer: &id::Vm,
        answer: &Answer,
        now: id::Time,
        live: &[id::Vm],
    ) -> Vec<Action> {
        self.record_contact(&answer.report, now);
        if self.state.newer(&answer.report.digest).is_some() {
            return vec![Action::Push(peer.clone())];
        }
        answer
            .file
            .as_ref()
            .map_or_else(Vec::new, |file| self.learn(file, live))
    }

    /// Decides what to do at a time; to be called once each `INTERVAL`.
    ///
    /// ```
    /// use std::time;
    /// use mangotray::spread;
    /// let live = ["a".into(), "b".into()];
    /// let mut node = spread::Node::new("a".into(), time::Duration::ZERO);
    /// let actions = node.tick(time::Duration::ZERO, &live);
    /// assert_eq!(actions, [spread::Action::Exchange("b".into())]);
    /// let late = spread::SILENCE * 2;
    /// assert!(node.tick(late, &live).contains(&spread::Action::Read));
    /// ```
    pub fn tick(&mut self, now: id::Time, live: &[id::Vm]) -> Vec<Action> {
        self.round += 1;
        let exchange = partner(&self.vm, live, self.round).map(Action::Exchange);
        let read = silent(
            &self.vm,
            self.store_heard_at.max(self.read_attempted_at),
            now,
        )
        .then_some(Action::Read);
        if read.is_some() {
            tracing::info!(vm = %self.vm, "no news of the store, reading it");
            self.read_attempted_at = now;
        }
        exchange.into_iter().chain(read).collect()
    }

    fn record_contact(&mut self, report: &Report, now: id::Time) {
        self.store_heard_at = self.store_heard_at.max(now.saturating_sub(report.age));
    }
}

/// The VMs that watch the store, of those that are live.
///
/// ```
/// let live = ["a", "b", "c", "d"].map(Into::into);
/// assert_eq!(mangotray::spread::watchers(&live).len(), 3);
/// ```
#[must_use]
pub fn watchers(live: &[id::Vm]) -> Vec<id::Vm> {
    ranked("config/watch", live)
        .into_iter()
        .take(WATCHERS)
        .cloned()
        .collect()
}

/// The VMs that `vm` pushes a new revision to.
///
/// The watchers are the roots; they also push to each other, so that one whose watch
/// works is enough. Each revision orders the other VMs anew, so that a silent VM does
/// not cut off the same others each time.
///
/// ```
/// let live = ["a", "b", "c", "d"].map(Into::into);
/// let watcher = &mangotray::spread::watchers(&live)[0];
/// assert_eq!(mangotray::spread::targets(watcher, &live, 1).len(), 3);
/// ```
#[must_use]
pub fn targets(vm: &id::Vm, live: &[id::Vm], revision: id::Revision) -> Vec<id::Vm> {
    let mut order = watchers(live);
    let roots = order.len();
    let ranked = ranked(&format_compact!("config/{revision}"), live);
    let others: Vec<id::Vm> = ranked
        .into_iter()
        .filter(|other| !order.contains(other))
        .cloned()
        .collect();
    order.extend(others);
    let Some(position) = order.iter().position(|other| other == vm) else {
        return Vec::new();
    };
    let others = order[..roots]
        .iter()
        .filter(|other| position < roots && *other != vm);
    let children = order.iter().skip(roots + position * FANOUT).take(FANOUT);
    others.chain(children).cloned().collect()
}

/// The VM that `vm` exchanges digests with in a round; changes from round to round.
///
/// ```
/// let live = ["a".into(), "b".into()];
/// assert_eq!(mangotray::spread::partner(&live[0], &live, 1), Some("b".into()));
/// ```
#[must_use]
pub fn partner(vm: &id::Vm, live: &[id::Vm], round: u64) -> Option<id::Vm> {
    let own = live.iter().position(|other| other == vm);
    let others = live.len() - usize::from(own.is_some());
    let key = format_compact!("config/exchange/{round}");
    let position = remainder(placement::score(&key, vm), others)?;
    // The own place is left out, so that all others are as likely as each other.
    let skipped = usize::from(own.is_some_and(|own| position >= own));
    live.get(position + skipped).cloned()
}

/// True when there was no news of the store since so long that `vm` reads it itself.
///
/// ```
/// use std::time;
/// use mangotray::spread;
/// let vm = "a".into();
/// assert!(!spread::silent(&vm, time::Duration::ZERO, spread::SILENCE / 2));
/// assert!(spread::silent(&vm, time::Duration::ZERO, spread::SILENCE * 2));
/// ```
#[must_use]
pub fn silent(vm: &id::Vm, since: id::Time, now: id::Time) -> bool {
    let key = format_compact!("config/silence/{}", since.as_millis());
    let step = remainder(placement::score(&key, vm), JITTER_STEPS).unwrap_or_default();
    now >= since + SILENCE + JITTER_STEP * step
}

/// Remainder of a score by a count; `None` for a count of zero.
fn remainder<T: TryFrom<u64>>(score: u64, count: T) -> Option<T>
where
    u64: TryFrom<T>,
{
    let count = u64::try_from(count).ok()?;
    T::try_from(score.checked_rem(count)?).ok()
}

fn ranked<'a>(key: &str, live: &'a [id::Vm]) -> Vec<&'a id::Vm> {
    let mut ranked: Vec<&id::Vm> = live.iter().collect();
    ranked.sort_by_cached_key(|vm| (cmp::Reverse(placement::score(key, vm)), *vm));
    ranked
}

#[cfg(test)]
mod tests;
