//! Requests a token for each operation from the node that counts for its organisation.

use std::cell;
use std::rc;

use compact_str::CompactString;
use mangotray::id;

use crate::access;
use crate::boot;
use crate::lending::router;
use crate::lending::serving;
use crate::limits::borrowing;
use crate::limits::buckets;
use crate::limits::denials;
use crate::limits::shard;
use crate::limits::shares;
use crate::limits::tokens;
use crate::limits::view;
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
    borrowing: Option<rc::Rc<borrowing::Borrowing>>,
    denials: cell::RefCell<denials::Denials>,
}

impl Quotas {
    /// Creates the quotas of the node `name`; `borrowing` if it shares limits with others.
    #[must_use]
    pub const fn new(
        name: id::Vm,
        router: rc::Rc<router::Router>,
        buckets: buckets::Buckets,
        borrowing: Option<rc::Rc<borrowing::Borrowing>>,
    ) -> Self {
        Self {
            name,
            router,
            buckets: cell::RefCell::new(buckets),
            borrowing,
            denials: cell::RefCell::new(denials::Denials::new()),
        }
    }

    /// The shares of limits; `None` if this node asks the counting nodes for each operation.
    #[must_use]
    pub fn borrowing(&self) -> Option<&borrowing::Borrowing> {
        self.borrowing
            .as_deref()
            .filter(|borrowing| borrowing.is_able())
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
        let request = buckets::Request {
            organisation: caller.organisation.clone(),
            quota,
            version,
            turn: buckets::Reason::Counting,
        };
        if let Some(borrowing) = &self.borrowing {
            borrowing.refresh();
        }
        if self.borrowing().is_none() {
            return self.request(request).await;
        }
        let name = request.organisation.clone();
        let remembered = self.denials.borrow_mut().check(&name, version, boot::now());
        if let Some(refusal) = remembered {
            metrics::counter!("mangotray_local_denials_total").increment(1);
            return Err(refusal);
        }
        let counted = self.request(request).await;
        self.denials
            .borrow_mut()
            .learn(&name, version, counted.err(), boot::now());
        counted
    }

    async fn request(&self, mut request: buckets::Request) -> Result<(), access::Refusal> {
        let members = self.router.members();
        let mut asked = 0;
        let mut soonest = None;
        for member in serving::ranked(
            &members,
            &shard_key(&request.organisation, self.shards(members.len())),
        ) {
            if let Some(reason) = self.skip_reason(member) {
                request.turn = request.turn.max(reason);
                continue;
            }
            match self.ask(member, &request, soonest.is_some()).await {
                Ok(buckets::Decision::Granted) => return Ok(()),
                Ok(buckets::Decision::Denied(wait)) => {
                    return Err(access::Refusal::OverQuota(wait));
                }
                Ok(buckets::Decision::Unknown(wait)) if self.borrowing().is_none() => {
                    return Err(access::Refusal::QuotaUnknown(Some(wait)));
                }
                // The next owner may have a share of its own.
                Ok(buckets::Decision::Unknown(wait)) => {
                    soonest = Some(soonest.map_or(wait, |soonest| wait.min(soonest)));
                }
                Err(reason) => request.turn = request.turn.max(reason),
            }
            asked += 1;
            if asked == MAX_NODES_ASKED {
                break;
            }
        }
        Err(access::Refusal::QuotaUnknown(soonest))
    }

    fn shards(&self, members: usize) -> usize {
        self.borrowing()
            .map_or_else(|| shards(members), |_| shares::SHARDS)
    }

    /// Decides a token request on this node.
    pub fn decide(&self, request: &buckets::Request) -> buckets::Decision {
        self.decide_here(request, false)
    }

    fn decide_here(&self, request: &buckets::Request, overflow: bool) -> buckets::Decision {
        match self.borrowing() {
            // A node that does not know shares asks for its own tokens only.
            Some(borrowing) => {
                shares::as_counted(borrowing.grant(&self.for_tokens(request, overflow)))
            }
            None => self.buckets.borrow_mut().decide(request, boot::now()),
        }
    }

    fn for_tokens(&self, request: &buckets::Request, overflow: bool) -> tokens::Request {
        tokens::Request {
            token: request.clone(),
            from: self.name.clone(),
            wanted: 1,
            overflow,
        }
    }

    /// Removes unused buckets; called about once a second.
    pub fn prune(&self) {
        self.buckets.borrow_mut().prune(boot::now());
        self.denials.borrow_mut().prune(boot::now());
        if let Some(borrowing) = &self.borrowing {
            borrowing.prune();
        }
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
        overflow: bool,
    ) -> Result<buckets::Decision, buckets::Reason> {
        if member.name == self.name {
            return Ok(self.decide_here(request, overflow));
        }
        if self.borrowing().is_some() && member.protocol >= view::MIN_PROTOCOL {
            let question = question::Question::Tokens(self.for_tokens(request, overflow));
            metrics::counter!("mangotray_limit_questions_total", "kind" => "tokens").increment(1);
            match self.router.peers().ask(member, &question).await {
                Some(question::Answer::Tokens(decision)) => {
                    return Ok(shares::as_counted(decision));
                }
                // The node does not share limits, so it counts for all others.
                Some(_) => {}
                None => return Err(self.skip_reason(member).unwrap_or(buckets::Reason::Silent)),
            }
        }
        metrics::counter!("mangotray_limit_questions_total", "kind" => "token").increment(1);
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
    shard::Shard::holding(organisation, shards).key()
}
