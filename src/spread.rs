//! Distribution of the operators' configuration file to all nodes.
//!
//! A pending watch counts as a call at the store, whose permitted call rate grows more slowly
//! than the fleet. Only a few nodes therefore watch the store. They push a new revision down a
//! tree; nodes that miss it because of a lost message or a dead node get it by a periodic
//! exchange between pairs of nodes.
//!
//! If the watchers lose the store, or a node loses its peers, an old file could stay in force
//! unnoticed. Each exchange therefore carries the time since any node last had an answer from
//! the store. A node for which this time grows too long reads the store itself, after a delay
//! with jitter: the first successful read makes most others unnecessary, and nodes that are
//! cut off from each other do not read at the same time.

use std::cmp;
use std::time;

use compact_str::format_compact;

use crate::id;
use crate::placement;
use crate::revision;

/// Number of nodes that watch the store; two of them may be dead or cut off.
pub const WATCHER_COUNT: usize = 3;

/// Number of children in the push tree that a node sends a new revision to.
pub const FANOUT: usize = 8;

/// Time after which a watch at the store returns without a change.
pub const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time between two exchanges that a node starts.
pub const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time without contact with the store, direct or through peers, after which a node reads the
/// store itself; jitter extends it to at most twice this time. It exceeds the duration of a watch
/// plus the exchange rounds that carry its result through a large fleet.
pub const MAX_STORE_SILENCE: time::Duration = time::Duration::from_secs(20);

/// Number of steps of the jitter that is added to `MAX_STORE_SILENCE`.
const JITTER_STEPS: u32 = 1_000;

/// Duration of one jitter step.
const JITTER_STEP: time::Duration = MAX_STORE_SILENCE.checked_div(JITTER_STEPS).unwrap();

/// An action that the caller carries out for a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the newest file to this VM.
    Push(id::Vm),
    /// Send the node's report to this VM and pass the answer to [`Node::handle_answer`].
    Exchange(id::Vm),
    /// Read the file from the store.
    Read,
}

/// State of a node's file, as sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Digest of the file that the node holds.
    pub digest: revision::Digest,
    /// Time since the last known answer of the store, to this node or to another one whose
    /// report reached it.
    pub age: time::Duration,
}

/// Answer to a peer's report.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The answering node's own report.
    pub report: Report,
    /// The answering node's file, if it is newer than the asking node's.
    pub file: Option<revision::File>,
}

/// Distribution state of one node, without network I/O.
#[derive(Clone, Debug)]
pub struct Node {
    vm: id::Vm,
    state: revision::State,
    /// Time of the last known answer of the store, to this node or to another one.
    store_contact_at: id::Time,
    /// Time of this node's last attempt to read the store.
    read_attempted_at: id::Time,
    round: u64,
}

impl Node {
    /// Creates a node that holds no file yet.
    #[must_use]
    pub fn new(vm: id::Vm, now: id::Time) -> Self {
        Self {
            vm,
            state: revision::State::default(),
            store_contact_at: now,
            read_attempted_at: now,
            round: 0,
        }
    }

    /// The file that the node holds, with its revision.
    #[must_use]
    pub const fn state(&self) -> &revision::State {
        &self.state
    }

    /// The report that the node sends to its peers.
    #[must_use]
    pub fn report(&self, now: id::Time) -> Report {
        Report {
            digest: self.state.digest(),
            age: now.saturating_sub(self.store_contact_at),
        }
    }

    /// Handles the store's answer to a watch or a read.
    pub fn handle_store_answer(
        &mut self,
        file: Option<&revision::File>,
        now: id::Time,
        live: &[id::Vm],
    ) -> Vec<Action> {
        self.store_contact_at = now;
        file.map_or_else(Vec::new, |file| self.handle_file(file, live))
    }

    /// Handles a file from the store or a peer; a newer file is adopted and pushed to the node's
    /// targets.
    ///
    /// ```
    /// use std::time;
    /// use mangotray::{revision, spread};
    /// let live = ["a".into(), "b".into()];
    /// let mut node = spread::Node::new("a".into(), time::Duration::ZERO);
    /// let file = revision::File { revision: 1, text: "x".into() };
    /// assert_eq!(node.handle_file(&file, &live), [spread::Action::Push("b".into())]);
    /// assert!(node.handle_file(&file, &live).is_empty());
    /// ```
    pub fn handle_file(&mut self, file: &revision::File, live: &[id::Vm]) -> Vec<Action> {
        match self.state.offer(file.revision, &file.text) {
            revision::Offer::Adopted => {}
            revision::Offer::Conflict => {
                tracing::error!(
                    vm = %self.vm,
                    revision = file.revision,
                    "configuration files differ at the same revision"
                );
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
    pub fn answer_report(&mut self, report: &Report, now: id::Time) -> Answer {
        self.record_contact(report, now);
        Answer {
            report: self.report(now),
            file: self.state.file_newer_than(&report.digest).cloned(),
        }
    }

    /// Handles the answer of `peer` to an exchange. A peer with an older file is sent this node's.
    pub fn handle_answer(
        &mut self,
        peer: &id::Vm,
        answer: &Answer,
        now: id::Time,
        live: &[id::Vm],
    ) -> Vec<Action> {
        self.record_contact(&answer.report, now);
        if self.state.file_newer_than(&answer.report.digest).is_some() {
            return vec![Action::Push(peer.clone())];
        }
        answer
            .file
            .as_ref()
            .map_or_else(Vec::new, |file| self.handle_file(file, live))
    }

    /// Returns the actions that are due at `now`; to be called once per [`EXCHANGE_INTERVAL`].
    ///
    /// ```
    /// use std::time;
    /// use mangotray::spread;
    /// let live = ["a".into(), "b".into()];
    /// let mut node = spread::Node::new("a".into(), time::Duration::ZERO);
    /// let actions = node.tick(time::Duration::ZERO, &live);
    /// assert_eq!(actions, [spread::Action::Exchange("b".into())]);
    /// let late = spread::MAX_STORE_SILENCE * 2;
    /// assert!(node.tick(late, &live).contains(&spread::Action::Read));
    /// ```
    pub fn tick(&mut self, now: id::Time, live: &[id::Vm]) -> Vec<Action> {
        self.round += 1;
        let exchange = partner(&self.vm, live, self.round).map(Action::Exchange);
        let read = should_read(
            &self.vm,
            self.store_contact_at.max(self.read_attempted_at),
            now,
        )
        .then_some(Action::Read);
        if read.is_some() {
            tracing::info!(vm = %self.vm, "no recent contact with the store; reading it");
            self.read_attempted_at = now;
        }
        exchange.into_iter().chain(read).collect()
    }

    fn record_contact(&mut self, report: &Report, now: id::Time) {
        self.store_contact_at = self.store_contact_at.max(now.saturating_sub(report.age));
    }
}

/// Selects the VMs that watch the store from the live ones.
///
/// ```
/// let live = ["a", "b", "c", "d"].map(Into::into);
/// assert_eq!(mangotray::spread::watchers(&live).len(), 3);
/// ```
#[must_use]
pub fn watchers(live: &[id::Vm]) -> Vec<id::Vm> {
    ranked("config/watch", live)
        .into_iter()
        .take(WATCHER_COUNT)
        .cloned()
        .collect()
}

/// The VMs that `vm` pushes a new revision to.
///
/// The watchers are the roots of the tree. They also push to each other, so that one working
/// watch is enough. The order of the other VMs changes with each revision, so that an
/// unresponsive VM does not cut off the same VMs each time.
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

/// Selects the VM that `vm` exchanges reports with in a round, by a hash of the round; `None` if
/// there is no other live VM.
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
    // Skips the VM's own position, so that all others are equally likely.
    let skipped = usize::from(own.is_some_and(|own| position >= own));
    live.get(position + skipped).cloned()
}

/// Whether the last contact with the store, at `since`, is so old that `vm` reads it itself.
///
/// ```
/// use std::time;
/// use mangotray::spread;
/// let vm = "a".into();
/// assert!(!spread::should_read(&vm, time::Duration::ZERO, spread::MAX_STORE_SILENCE / 2));
/// assert!(spread::should_read(&vm, time::Duration::ZERO, spread::MAX_STORE_SILENCE * 2));
/// ```
#[must_use]
pub fn should_read(vm: &id::Vm, since: id::Time, now: id::Time) -> bool {
    let key = format_compact!("config/silence/{}", since.as_millis());
    let step = remainder(placement::score(&key, vm), JITTER_STEPS).unwrap_or_default();
    now >= since + MAX_STORE_SILENCE + JITTER_STEP * step
}

/// Remainder of `score` divided by `count`; `None` if `count` is zero.
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
