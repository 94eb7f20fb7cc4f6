//! Requests a token for each operation from the node that counts for its organisation.

use std::cell;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;

use crate::access;
use crate::boot;
use crate::lending::router;
use crate::lending::serving;
use crate::limits::buckets;
use crate::member;
use crate::organisation;
use crate::question;

/// Maximum number of nodes asked for one operation; each silent one delays the caller.
const MAX_NODES_ASKED: usize = 3;

/// Minimum number of shards of organisations; one node counts for all organisations of a shard.
/// Few enough that a node quickly learns which of the counting nodes are silent.
const MIN_SHARDS: usize = 16;

/// Nodes per shard. The load of a counting node then depends on the operations that so many nodes
/// serve, and not on the size of the fleet.
const NODES_PER_SHARD: usize = 5;

/// Enforces the quotas of organisations together with the other nodes.
pub struct Quotas {
    name: id::Vm,
    router: rc::Rc<router::Router>,
    buckets: cell::RefCell<buckets::Buckets>,
}

impl Quotas {
    /// Creates the quotas of the node `name`.
    #[must_use]
    pub const fn new(
        name: id::Vm,
        router: rc::Rc<router::Router>,
        buckets: buckets::Buckets,
    ) -> Self {
        Self {
            name,
            router,
            buckets: cell::RefCell::new(buckets),
        }
    }

    /// Counts an operation of an organisation.
    ///
    /// # Errors
    /// When the limit is reached, or no node can be asked.
    pub async fn count(
        &self,
        caller: &access::Caller,
        version: id::Revision,
    ) -> Result<(), access::Refusal> {
        let Some(quota) = caller.quota else {
            return Ok(());
        };
        let mut request = buckets::Request {
            organisation: caller.organisation.clone(),
            quota,
            version,
            turn: buckets::Reason::Counting,
        };
        let members = self.router.members();
        let mut asked = 0;
        for member in serving::ranked(
            &members,
            &shard_key(&request.organisation, shards(members.len())),
        ) {
            if let Some(reason) = self.skip_reason(member) {
                request.turn = request.turn.max(reason);
                continue;
            }
            match self.ask(member, &request).await {
                Ok(buckets::Decision::Granted) => return Ok(()),
                Ok(buckets::Decision::Denied(wait)) => {
                    return Err(access::Refusal::OverQuota(wait));
                }
                Ok(buckets::Decision::Unknown(wait)) => {
                    return Err(access::Refusal::QuotaUnknown(Some(wait)));
                }
                Err(reason) => request.turn = request.turn.max(reason),
            }
            asked += 1;
            if asked == MAX_NODES_ASKED {
                break;
            }
        }
        Err(access::Refusal::QuotaUnknown(None))
    }

    /// Decides a token request on this node.
    pub fn decide(&self, request: &buckets::Request) -> buckets::Decision {
        self.buckets.borrow_mut().decide(request, boot::now())
    }

    /// Removes unused buckets; called about once a second.
    pub fn prune(&self) {
        self.buckets.borrow_mut().prune(boot::now());
    }

    fn skip_reason(&self, member: &member::Member) -> Option<buckets::Reason> {
        if member.name == self.name {
            return None;
        }
        self.router.peers().skip_reason(&member.name)
    }

    // The error is the reason for which the next node is asked.
    async fn ask(
        &self,
        member: &member::Member,
        request: &buckets::Request,
    ) -> Result<buckets::Decision, buckets::Reason> {
        if member.name == self.name {
            return Ok(self.decide(request));
        }
        let question = question::Question::Token(request.clone());
        match self.router.peers().ask(member, &question).await {
            Some(question::Answer::Token(decision)) => Ok(decision),
            _ => Err(self.skip_reason(member).unwrap_or(buckets::Reason::Silent)),
        }
    }
}

/// Number of shards of organisations in a fleet of `nodes`. It only takes powers of two, as each
/// change moves organisations to other counting nodes.
///
/// ```
/// use mangotray_desk::limits::quotas;
/// assert_eq!(quotas::shards(8), 16);
/// assert_eq!(quotas::shards(84), 16);
/// assert_eq!(quotas::shards(300), 64);
/// ```
#[must_use]
pub fn shards(nodes: usize) -> usize {
    (nodes / NODES_PER_SHARD)
        .next_power_of_two()
        .max(MIN_SHARDS)
}

// The rendezvous key that selects the counting node of an organisation.
fn shard_key(organisation: &organisation::Name, shards: usize) -> CompactString {
    let mut hasher = hash::DefaultHasher::new();
    organisation.as_str().hash(&mut hasher);
    let shard = usize::try_from(hasher.finish()).unwrap_or_default() % shards;
    format_compact!("quotas {shard}")
}
