//! A session's caller: its key, and the organisation that the key was last found to belong to.

use crate::access;
use crate::catalog;
use crate::key;
use crate::node;
use crate::organisation;

/// The caller of one session.
pub(crate) struct Identity {
    key: key::Key,
    /// Organisation of the last caller that was identified, for logs.
    organisation: organisation::Name,
    /// The key is no longer valid.
    revoked: bool,
}

impl Identity {
    /// A caller with a key that has not been checked yet.
    pub(crate) const fn new(key: key::Key) -> Self {
        Self {
            key,
            organisation: organisation::OWN,
            revoked: false,
        }
    }

    /// Organisation of the last caller that was identified, for logs.
    pub(crate) const fn organisation(&self) -> &organisation::Name {
        &self.organisation
    }

    /// Whether the key is no longer valid.
    pub(crate) const fn is_revoked(&self) -> bool {
        self.revoked
    }

    /// Identifies the caller and counts the operation against its quota. Returns the organisation
    /// that the operation runs for.
    pub(crate) async fn admit(
        &mut self,
        node: &node::Node,
        route: &catalog::Route,
    ) -> Result<organisation::Name, access::Refusal> {
        let identified = node.identify(route, &self.key);
        let caller = identified.map_err(|refusal| self.record(refusal))?;
        self.organisation.clone_from(&caller.organisation);
        let counted = node.count(&caller).await;
        counted.map_err(|refusal| self.record(refusal))?;
        Ok(caller.organisation)
    }

    /// Checks that an open transaction of an organisation may continue: since its last statement,
    /// the key may have been revoked, or this node cut off from the configuration.
    pub(crate) fn check(
        &mut self,
        node: &node::Node,
        route: &catalog::Route,
        organisation: &organisation::Name,
    ) -> Result<(), access::Refusal> {
        let refusal = match node.identify(route, &self.key) {
            Ok(caller) if caller.organisation == *organisation => return Ok(()),
            Ok(_) => access::Refusal::UnknownKey,
            Err(refusal) => refusal,
        };
        Err(self.record(refusal))
    }

    fn record(&mut self, refusal: access::Refusal) -> access::Refusal {
        metrics::counter!("mangotray_refusals_total", "reason" => refusal.label()).increment(1);
        self.revoked |= refusal == access::Refusal::UnknownKey;
        refusal
    }
}
