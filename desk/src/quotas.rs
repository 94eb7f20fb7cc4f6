//! Gets a token for each operation from the node that counts for its organisation.

use std::cell;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;

use crate::boot;
use crate::gate;
use crate::ledger;
use crate::member;
use crate::organisation;
use crate::question;
use crate::router;
use crate::serving;

/// Nodes that are asked for one operation; each one that is silent costs its caller some time.
const ASKED: usize = 3;

/// Least shares into which organisations are parted: those of one share are counted by the same node.
/// Few enough that a node soon knows which of the counting nodes are silent.
const SHARES_LEAST: usize = 16;

/// Nodes for each share: what one counts grows with what so many of them serve, and not with the
/// fleet.
const NODES_EACH: usize = 5;

/// Counts operations together with the other nodes.
pub struct Quotas {
    name: id::Vm,
    router: rc::Rc<router::Router>,
    ledger: cell::RefCell<ledger::Ledger>,
}

impl Quotas {
    /// The part of the node `name`.
    #[must_use]
    pub const fn new(name: id::Vm, router: rc::Rc<router::Router>, ledger: ledger::Ledger) -> Self {
        Self {
            name,
            router,
            ledger: cell::RefCell::new(ledger),
        }
    }

    /// Counts an operation of an organisation.
    ///
    /// # Errors
    /// When it must not begin.
    pub async fn count(
        &self,
        caller: &gate::Caller,
        version: id::Revision,
    ) -> Result<(), gate::Refusal> {
        let Some(quota) = caller.quota else {
            return Ok(());
        };
        let mut ask = ledger::Ask {
            organisation: caller.organisation.clone(),
            quota,
            version,
            turn: ledger::Turn::Counting,
        };
        let members = self.router.members();
        let mut asked = 0;
        for member in serving::ranked(&members, &share(&ask.organisation, shares(members.len()))) {
            if let Some(turn) = self.passed_over(member) {
                ask.turn = ask.turn.max(turn);
                continue;
            }
            match self.ask(member, &ask).await {
                Ok(ledger::Decision::Granted) => return Ok(()),
                Ok(ledger::Decision::Denied(wait)) => return Err(gate::Refusal::OverQuota(wait)),
                Ok(ledger::Decision::Unknown(wait)) => {
                    return Err(gate::Refusal::Uncounted(Some(wait)));
                }
                Err(turn) => ask.turn = ask.turn.max(turn),
            }
            asked += 1;
            if asked == ASKED {
                break;
            }
        }
        Err(gate::Refusal::Uncounted(None))
    }

    /// Decides about an operation that is counted here.
    pub fn decide(&self, ask: &ledger::Ask) -> ledger::Decision {
        self.ledger.borrow_mut().decide(ask, boot::now())
    }

    /// Housekeeping; called about once a second.
    pub fn tidy(&self) {
        self.ledger.borrow_mut().tidy(boot::now());
    }

    fn passed_over(&self, member: &member::Member) -> Option<ledger::Turn> {
        if member.name == self.name {
            return None;
        }
        self.router.peers().passed_over(&member.name)
    }

    // The error tells why the next node is asked.
    async fn ask(
        &self,
        member: &member::Member,
        ask: &ledger::Ask,
    ) -> Result<ledger::Decision, ledger::Turn> {
        if member.name == self.name {
            return Ok(self.decide(ask));
        }
        let question = question::Question::Token(ask.clone());
        match self.router.peers().ask(member, &question).await {
            Some(question::Answer::Token(decision)) => Ok(decision),
            _ => Err(self.passed_over(member).unwrap_or(ledger::Turn::Silent)),
        }
    }
}

/// Shares into which organisations are parted in a fleet of so many nodes. It changes rarely, as each
/// change moves counts to other nodes.
///
/// ```
/// use mangotray_desk::quotas;
/// assert_eq!(quotas::shares(8), 16);
/// assert_eq!(quotas::shares(84), 16);
/// assert_eq!(quotas::shares(300), 64);
/// ```
#[must_use]
pub fn shares(nodes: usize) -> usize {
    (nodes / NODES_EACH).next_power_of_two().max(SHARES_LEAST)
}

// The word by which the node is chosen that counts for an organisation.
fn share(organisation: &organisation::Name, shares: usize) -> CompactString {
    let mut hasher = hash::DefaultHasher::new();
    organisation.as_str().hash(&mut hasher);
    let share = usize::try_from(hasher.finish()).unwrap_or_default() % shares;
    format_compact!("quotas {share}")
}
