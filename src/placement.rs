//! Which VMs serve which database group.
//!
//! Rendezvous hashing: each VM scores itself against the group's name, and the best
//! scores serve. Every proxy computes the same set from the same list of VMs, without
//! asking anybody; a VM that joins or leaves moves only the groups that it wins or loses.
//! The set only says who *should* serve; who *may* use the instances is in `share`.

use std::cmp;
use std::collections;

use crate::id;

/// VMs that serve one group: enough to lose one VM or one failure domain and still serve
/// while the next one is lost, few enough that each gets a useful share of 20 connections.
pub const SERVING: usize = 3;

/// Connections that a serving VM needs at each instance: one for control, one for work.
pub const MIN_CONNECTIONS: usize = 2;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Never part of UTF-8, so that ("ab", "c") and ("a", "bc") differ.
const SEPARATOR: u8 = 0xff;

/// A VM that may serve groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain that it runs in.
    pub domain: id::Domain,
    /// True while the VM is going away; it is never chosen.
    pub leaving: bool,
}

/// Number of VMs that serve a group with these limits of one instance.
///
/// It depends on the declaration only, never on who is alive: proxies with different
/// views of the fleet must agree on it. It is never above the instance's slots, so that
/// each serving VM has a whole slot.
///
/// ```
/// use mangotray::placement;
/// assert_eq!(placement::count(20, 3), 3);
/// assert_eq!(placement::count(20, 2), 2);
/// assert_eq!(placement::count(3, 8), 1);
/// ```
#[must_use]
pub fn count(connections: usize, slots: usize) -> usize {
    (connections / MIN_CONNECTIONS).min(slots).clamp(1, SERVING)
}

/// The VMs that serve `group`, best first; fewer than `count` when there are too few.
///
/// No failure domain is used twice while another one with a VM is unused.
///
/// ```
/// use mangotray::placement;
/// let candidate = |vm: &str, domain: &str| placement::Candidate {
///     vm: vm.into(),
///     domain: domain.into(),
///     leaving: false,
/// };
/// let vms = [candidate("v1", "a"), candidate("v2", "a"), candidate("v3", "b")];
/// let serving = placement::serving("dome-sched-1", &vms, 2);
/// assert_eq!(serving.len(), 2);
/// assert!(serving.contains(&"v3".into()));
/// ```
#[must_use]
pub fn serving(group: &str, vms: &[Candidate], count: usize) -> Vec<id::Vm> {
    let mut ranked = rank_by_score(group, vms);
    ranked.dedup_by(|a, b| a.1.vm == b.1.vm);
    let mut per_domain: collections::HashMap<&str, usize> = collections::HashMap::new();
    let mut rounds: Vec<(usize, &Candidate)> = ranked
        .into_iter()
        .map(|(_, candidate)| {
            let occurrence = per_domain.entry(&candidate.domain).or_default();
            *occurrence += 1;
            (*occurrence, candidate)
        })
        .collect();
    // Stable: within a round the order by score remains.
    rounds.sort_by_key(|(round, _)| *round);
    rounds
        .into_iter()
        .take(count)
        .map(|(_, candidate)| candidate.vm.clone())
        .collect()
}

/// Candidates that stay, by falling score; names break ties so that all nodes agree.
fn rank_by_score<'a>(group: &str, vms: &'a [Candidate]) -> Vec<(u64, &'a Candidate)> {
    let mut ranked: Vec<(u64, &Candidate)> = vms
        .iter()
        .filter(|candidate| !candidate.leaving)
        .map(|candidate| (score(group, &candidate.vm), candidate))
        .collect();
    ranked
        .sort_by_key(|(score, candidate)| (cmp::Reverse(*score), &candidate.vm, &candidate.domain));
    ranked
}

/// Score of a VM for a group, the same on every node and in every version.
///
/// Written out here: a library's default hash may change with its version, and two
/// versions side by side would then choose two serving sets.
///
/// ```
/// use mangotray::placement;
/// assert_eq!(placement::score("g", "v"), placement::score("g", "v"));
/// assert_ne!(placement::score("ab", "c"), placement::score("a", "bc"));
/// ```
#[must_use]
pub fn score(group: &str, vm: &str) -> u64 {
    let bytes = group.bytes().chain([SEPARATOR]).chain(vm.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Spreads the few differing bits of similar names over the whole word.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests;
