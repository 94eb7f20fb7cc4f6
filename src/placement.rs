//! Assigns database groups to the VMs that serve them, by rendezvous hashing.
//!
//! Each VM gets a score from the hash of its name and the group's name, and the VMs with the
//! highest scores form the group's serving set. Every proxy computes the same set from the same
//! list of VMs without coordination. When a VM joins or leaves, only the serving sets that gain
//! or lose this VM change. The serving set says which VMs *should* serve; which VMs *may* use
//! the instances is in `share`.

use std::cmp;
use std::collections;

use crate::id;

/// Maximum number of VMs that serve one group. With three, the group is still served after the
/// loss of one VM or failure domain and during the loss of a second; with more, each VM's share
/// of 20 connections would be too small to be useful.
pub const MAX_SERVING_VMS: usize = 3;

/// Connections that a serving VM needs to each instance: one for control, one for statements.
pub const MIN_CONNECTIONS: usize = 2;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// A byte that never occurs in UTF-8, so that ("ab", "c") and ("a", "bc") hash differently.
const SEPARATOR: u8 = 0xff;

/// A VM that may serve groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain of the VM.
    pub domain: id::Domain,
    /// True while the VM is being removed; such a VM is never selected.
    pub leaving: bool,
}

/// Number of VMs that serve a group, from the connection and slot limits of one instance.
///
/// The number depends only on the declaration, not on which VMs are alive, because proxies with
/// different views of the fleet must agree on it. It never exceeds `slots` unless `slots` is 0,
/// so that each serving VM has a whole slot.
///
/// ```
/// use mangotray::placement;
/// assert_eq!(placement::serving_count(20, 3), 3);
/// assert_eq!(placement::serving_count(20, 2), 2);
/// assert_eq!(placement::serving_count(3, 8), 1);
/// ```
#[must_use]
pub fn serving_count(connections: usize, slots: usize) -> usize {
    (connections / MIN_CONNECTIONS)
        .min(slots)
        .clamp(1, MAX_SERVING_VMS)
}

/// Selects the VMs that serve `group`, in order of preference; fewer than `count` when not
/// enough VMs are available.
///
/// A failure domain is used again only when every other domain with a VM is already in use.
///
/// ```
/// use mangotray::placement;
/// let candidate = |vm: &str, domain: &str| placement::Candidate {
///     vm: vm.into(),
///     domain: domain.into(),
///     leaving: false,
/// };
/// let vms = [candidate("v1", "a"), candidate("v2", "a"), candidate("v3", "b")];
/// let serving = placement::serving_set("dome-sched-1", &vms, 2);
/// assert_eq!(serving.len(), 2);
/// assert!(serving.contains(&"v3".into()));
/// ```
#[must_use]
pub fn serving_set(group: &str, vms: &[Candidate], count: usize) -> Vec<id::Vm> {
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
    // The sort is stable, so VMs of the same round stay in order of their score.
    rounds.sort_by_key(|(round, _)| *round);
    rounds
        .into_iter()
        .take(count)
        .map(|(_, candidate)| candidate.vm.clone())
        .collect()
}

/// Candidates that are not leaving, by descending score. Ties are broken by name, so that all
/// nodes get the same order.
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
/// The hash is implemented here because a library's default hash may change between versions;
/// nodes of different versions would then compute different serving sets.
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

/// Finalises the hash, so that the few bits in which similar names differ affect all 64 bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests;
