//! Election of the promoter, the one node at a time that replaces primaries.
//!
//! The promoter holds a lease on a key in the platform's store, and on a second key that names the
//! holder. The store's era and the revision of the election key together form the fencing token of
//! each holder, which goes with every promotion.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;
use mangotray::store;
use mangotray::telemetry;

use crate::boot;
use crate::era;
use crate::intent;
use crate::membership;
use crate::node;
use crate::permit;
use crate::promote;
use crate::records;
use crate::uncertainty;
use crate::wait;

/// Election key in the store.
pub const KEY: &str = "mangotray/promoter";

/// Common prefix of the election key and all recorded promotions: a new holder reads both with one
/// list call.
const SHARED_PREFIX: &str = "mangotray/promot";

/// Key of the latest era that has lasted long enough that no order of an earlier era can still take
/// effect. With it, a holder that has just started need not wait to find out. It is listed together
/// with the election key and the promotions.
pub const SETTLED_ERA_KEY: &str = "mangotray/promotion-era";

/// Lease duration; longer where the store grants no lease as short. It bounds the time until a
/// killed holder is succeeded. A brief slowdown of the store doesn't cost a healthy holder its
/// lease.
pub const LEASE_TTL: time::Duration = time::Duration::from_secs(2);

/// Pause between renewals, so that three may fail before the lease ends. A renewal is priced at a
/// tenth of a call.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A node that was notified of no change for this long reads the election key itself, in case a
/// notification was lost. Each read by each node is a priced call.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_mins(1);

/// Window in which nodes claim a vacant lease at random, for each [`CLAIM_WINDOW_NODES`] of them:
/// most are notified of the first claim before they claim themselves.
const CLAIM_WINDOW: time::Duration = time::Duration::from_millis(300);

/// Number of nodes among which the first claim comes soon although each waits for up to
/// [`CLAIM_WINDOW`].
const CLAIM_WINDOW_NODES: u32 = 8;

/// A node that started less than [`STARTUP_PERIOD`] ago delays its claim by [`CLAIM_DELAY`] in
/// favour of the others: it promotes nothing until its list of instances is complete. After an
/// outage of the store it would otherwise often claim first and leave groups without a primary for
/// seconds.
const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(3);
const CLAIM_DELAY: time::Duration = time::Duration::from_millis(1200);

/// Interval at which a resigning holder checks whether its orders have ended.
const ORDER_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Pause after the store failed to answer.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Time that a new holder waits before its first order. A predecessor whose lease was revoked right
/// after the store confirmed it sends its last order before, as its [`permit::Permit`] expires.
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(400);

/// The store must confirm the lease within this time.
pub const CONFIRMATION_LIFETIME: time::Duration = time::Duration::from_millis(200);

/// A lease on the promoter role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Fencing token of the holder.
    pub fence: promote::Fence,
    /// The lease is certain to last until then.
    pub until: id::Time,
    /// No order may be sent before this time.
    pub not_before: id::Time,
    id: store::Lease,
    /// Era of the store in which the lease was obtained.
    era: store::Era,
    /// Key that exists as long as this node holds the lease. A revision alone doesn't identify a
    /// holder, since a store that is reset to an older copy reuses it.
    holder_key: CompactString,
    /// Revisions of the election key and of `holder_key`.
    versions: [store::Version; 2],
}

/// This node's participation in the election.
pub struct Election {
    store: rc::Rc<dyn store::Store>,
    /// Value that this process writes under its keys. It differs after a restart, unlike the VM's
    /// name, so that pending calls of a former process on this VM aren't taken for its own.
    token: CompactString,
    lease: time::Duration,
    held: cell::RefCell<Option<Lease>>,
    became_vacant: event_listener::Event,
    store_reachable: event_listener::Event,
    is_held_by_any: cell::Cell<bool>,
    stopping: cell::Cell<bool>,
    created_at: id::Time,
    records: records::Records,
    /// Number of promotions recorded by this process.
    record_count: cell::Cell<u64>,
    uncertainty: cell::Cell<uncertainty::Uncertainty>,
    /// The era that the store's entry [`SETTLED_ERA_KEY`] is known to hold.
    settled_era: cell::Cell<store::Era>,
    members: cell::Cell<usize>,
    /// Cloned for each order in flight.
    orders_in_flight: rc::Rc<()>,
}

impl Election {
    /// Joins the election without holding the lease; `least` is the shortest lease that the store
    /// grants.
    #[must_use]
    pub fn new(
        store: rc::Rc<dyn store::Store>,
        vm: &id::Vm,
        least: time::Duration,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            store,
            token: format_compact!("{vm} {:016x}", fastrand::u64(..)),
            lease: LEASE_TTL.max(least),
            held: cell::RefCell::default(),
            became_vacant: event_listener::Event::new(),
            store_reachable: event_listener::Event::new(),
            is_held_by_any: cell::Cell::new(true),
            stopping: cell::Cell::default(),
            created_at: boot::now(),
            records: records::Records::default(),
            record_count: cell::Cell::default(),
            uncertainty: cell::Cell::default(),
            settled_era: cell::Cell::default(),
            members: cell::Cell::default(),
            orders_in_flight: rc::Rc::default(),
        })
    }

    /// The lease, if this node is certain to hold it now and may send orders.
    #[must_use]
    pub fn held(&self) -> Option<Lease> {
        let now = boot::now();
        let held = self.held.borrow().clone();
        held.filter(|held| held.not_before <= now && now < held.until && self.is_valid(held))
    }

    // A lease from before a reset of the store is void: others may have held the role in the lost
    // seconds, with higher fencing tokens, or may have obtained it since.
    fn is_valid(&self, held: &Lease) -> bool {
        held.era == self.store.era()
    }

    // The uncertainty about lost orders in the present era.
    fn uncertainty(&self) -> uncertainty::Uncertainty {
        let uncertainty = self
            .uncertainty
            .get()
            .observe(self.store.era(), boot::now());
        self.uncertainty.set(uncertainty);
        uncertainty
    }

    /// Whether an order may still take effect whose record the store has lost.
    #[must_use]
    pub fn may_have_lost_order(&self) -> bool {
        self.uncertainty().is_open(boot::now())
    }

    /// The store's era, as far as this node knows.
    #[must_use]
    pub fn era(&self) -> store::Era {
        self.store.era()
    }

    /// Asks the store whether this node still holds the lease.
    ///
    /// If the lease is revoked from outside or this VM is paused, another node can become the
    /// holder while this node still relies on its lease. Two promoters would then each promote an
    /// instance, so orders are sent only right after a confirmation.
    pub async fn confirm(&self) -> Option<Lease> {
        let held = self.held()?;
        let started = boot::now();
        let entry = self.store.get(KEY).await.ok().flatten()?;
        let mine = entry.version == held.versions[0] && entry.value == self.token.as_bytes();
        let in_time = boot::now() < started + CONFIRMATION_LIFETIME;
        (mine && in_time && self.is_valid(&held)).then_some(held)
    }

    /// Records a promotion and confirms with the same call that this node still holds the lease.
    ///
    /// Every later holder knows what a former holder has recorded: a record is written only while
    /// the writer's lease is in force, and a holder reads the records after it has obtained the
    /// lease.
    ///
    /// A record that is not confirmed in time gives no permit. It is ruled out, as it may still
    /// arrive.
    pub async fn record(&self, intent: &intent::Intent) -> Option<permit::Permit> {
        let held = self.held()?;
        let started = boot::now();
        let intent = self.number(&held, intent);
        // The replicas are held meanwhile.
        let recorded = wait::within(CONFIRMATION_LIFETIME, self.write(&held, &intent)).await;
        if recorded != Some(Ok(store::Swap::Stored)) {
            tracing::warn!(group = %intent.group, ?recorded, "promotion not recorded");
            self.records.rule_out(&intent);
            return None;
        }
        self.records.note(intent);
        let in_time = boot::now() < started + CONFIRMATION_LIFETIME;
        let valid = in_time && self.is_valid(&held);
        valid.then(|| permit::Permit::new(held.fence, started))
    }

    /// Corrects the record of a promotion that has taken effect. Returns whether the store has it.
    pub async fn correct(&self, intent: &intent::Intent) -> bool {
        let Some(held) = self.held() else {
            return false;
        };
        let intent = self.number(&held, intent);
        let recorded = self.write(&held, &intent).await;
        let stored = recorded == Ok(store::Swap::Stored);
        if stored {
            self.records.note(intent);
        }
        stored
    }

    // The next record of this holder.
    fn number(&self, held: &Lease, intent: &intent::Intent) -> intent::Intent {
        self.record_count.set(self.record_count.get() + 1);
        let place = intent::Place {
            fence: held.fence,
            turn: self.record_count.get(),
        };
        intent::Intent {
            place,
            ..intent.clone()
        }
    }

    /// Whether an order may be sent now under this permit.
    #[must_use]
    pub fn may_send(&self, permit: &permit::Permit) -> bool {
        let (now, held) = (boot::now(), self.held());
        let checked = permit.check(held.as_ref(), now);
        let lease_left_ms = held.map(|held| held.until.saturating_sub(now).as_millis());
        tracing::info!(
            fence = permit.fence,
            permit_age_ms = permit.age(now).as_millis(),
            lease_left_ms,
            ?checked,
            "permit of a promotion order checked"
        );
        if let Err(refusal) = checked {
            metrics::counter!(telemetry::UNSENT_ORDERS, "reason" => refusal.label()).increment(1);
        }
        checked.is_ok()
    }

    /// Whether a replica may be released now: the command names no term, and must not arrive after the
    /// lease, when it would release a replica that the next holder holds.
    #[must_use]
    pub fn may_release(&self) -> bool {
        let now = boot::now();
        let lasts = |held: &Lease| now + promote::DELIVERY_LIMIT <= held.until;
        self.held().as_ref().is_some_and(lasts)
    }

    /// Returns a token to be held while an order is in flight; the lease is not resigned meanwhile.
    #[must_use]
    pub fn order_token(&self) -> rc::Rc<()> {
        rc::Rc::clone(&self.orders_in_flight)
    }

    async fn write(
        &self,
        held: &Lease,
        intent: &intent::Intent,
    ) -> Result<store::Swap, store::Failure> {
        let value = encode(intent)
            .ok_or_else(|| store::Failure::NotRun("the record cannot be encoded".into()))?;
        self.put(held, &intent.key(), value, None).await
    }

    /// Records a group's instances, if this node still holds the lease and the store still has the
    /// known version of the record. Returns whether it has.
    pub async fn record_membership(&self, record: &membership::Record) -> bool {
        let Some(held) = self.held() else {
            return false;
        };
        let membership = &record.membership;
        let Ok(value) = serde_json::to_vec(membership) else {
            return false;
        };
        let key = membership.key();
        let known = store::Guard {
            key: &key,
            version: record.version,
        };
        let written = self.put(&held, &key, value.into(), Some(known)).await;
        tracing::info!(group = %membership.group, instances = membership.instances.len(), ?written,
            "instances recorded");
        written == Ok(store::Swap::Stored)
    }

    /// Writes the records of the groups' instances that a reset of the store has cut short, after a
    /// random delay, unless another node has done so first. Nobody may hold the lease by then, and a
    /// node that starts meanwhile would not know the instances that are not listed.
    pub async fn write_lost_memberships(&self, node: &node::Node) {
        wait::sleep(era::REWRITE_JITTER.mul_f64(fastrand::f64())).await;
        for group in node.groups() {
            let Some(record) = group.lost_record() else {
                continue;
            };
            let Ok(value) = serde_json::to_vec(&record.membership) else {
                continue;
            };
            let key = record.membership.key();
            let written = self
                .store
                .swap(&key, value.into(), record.version, None)
                .await;
            tracing::warn!(group = %group.name, instances = record.membership.instances.len(), ?written,
                "record of a group's instances written again: the store had lost it");
        }
    }

    // Stores a value if this node still holds the lease and the additional guard holds.
    async fn put(
        &self,
        held: &Lease,
        key: &str,
        value: bytes::Bytes,
        more: Option<store::Guard<'_>>,
    ) -> Result<store::Swap, store::Failure> {
        let guard = |(key, version)| store::Guard { key, version };
        let keys = [KEY, held.holder_key.as_str()];
        let mut guards: Vec<_> = keys.into_iter().zip(held.versions).map(guard).collect();
        guards.extend(more);
        self.store.put_guarded(key, value, &guards).await
    }

    /// The recorded promotions.
    #[must_use]
    pub const fn records(&self) -> &records::Records {
        &self.records
    }

    /// The last recorded promotion of a group.
    #[must_use]
    pub fn intent(&self, group: &id::Group) -> Option<intent::Intent> {
        self.records.last(group)
    }

    /// Discards a recorded promotion that can never take effect. The record stays in the store,
    /// which saves a call; a later holder comes to the same conclusion.
    pub fn retract(&self, group: &id::Group) {
        self.records.retract(group);
    }

    /// Writes lost records to the store again after a random delay, unless another node has done so
    /// first.
    pub async fn write_lost_records(&self) {
        wait::sleep(era::REWRITE_JITTER.mul_f64(fastrand::f64())).await;
        for (intent, version) in self.records.lost() {
            let Some(value) = encode(&intent) else {
                continue;
            };
            let written = self.store.swap(&intent.key(), value, version, None).await;
            log_rewritten(&intent, &written);
        }
    }

    /// Notes that the lease may be vacant, as the key was removed or the store is reachable again.
    pub fn note_vacant(&self) {
        self.is_held_by_any.set(false);
        self.became_vacant.notify(usize::MAX);
    }

    /// Notes that the store is reachable again, so that the lease is renewed at once.
    pub fn note_store_reachable(&self) {
        self.store_reachable.notify(usize::MAX);
    }

    /// Whether this node held the lease by its last information, even if the lease may have ended
    /// since.
    ///
    /// Such a node still checks the primaries while the store is unavailable, so that failure
    /// detection doesn't start over when it may act again.
    #[must_use]
    pub fn is_last_known_holder(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// Sets the number of nodes.
    pub fn note_members(&self, members: usize) {
        self.members.set(members);
    }

    /// Notes that some node holds the lease.
    pub fn note_held(&self) {
        self.is_held_by_any.set(true);
    }

    /// Obtains the lease when it is vacant and renews it, until this node resigns.
    pub async fn run(self: rc::Rc<Self>) {
        while !self.stopping.get() {
            let held = self.held.borrow().clone();
            match held {
                Some(held) => self.renew(held).await,
                None => self.claim().await,
            }
        }
    }

    /// Gives the lease up, so that a successor need not wait until it expires.
    pub async fn resign(&self) {
        self.stopping.set(true);
        let held = self.held.take();
        // No order is sent without a lease, and one in flight ends within its delivery limit.
        while rc::Rc::strong_count(&self.orders_in_flight) > 1 {
            wait::sleep(ORDER_POLL_INTERVAL).await;
        }
        if let Some(held) = held {
            let left = self.store.revoke(&held.id).await;
            tracing::info!(fence = held.fence, ?left, "promoter's lease resigned");
        }
    }

    async fn renew(&self, held: Lease) {
        let store_reachable = self.store_reachable.listen();
        wait::within(RENEW_INTERVAL, store_reachable).await;
        let started = boot::now();
        let renewed = self.store.renew(&held.id).await;
        if !self.is_valid(&held) {
            return self.void_after_reset(&held, started);
        }
        match renewed {
            Ok(true) => {
                if let Some(held) = &mut *self.held.borrow_mut() {
                    held.until = started + self.lease;
                }
                self.publish_settled_era(&held).await;
            }
            Ok(false) => {
                tracing::warn!(
                    fence = held.fence,
                    "promoter's lease lost: it has expired or was revoked"
                );
                self.held.replace(None);
            }
            Err(failure) => {
                tracing::warn!(fence = held.fence, ?failure, "promoter's lease not renewed");
            }
        }
    }

    // Publishes, once an era, that no order of an earlier era can still take effect.
    async fn publish_settled_era(&self, held: &Lease) {
        let uncertainty = self.uncertainty();
        if !uncertainty.has_settled(boot::now()) || self.settled_era.get() == uncertainty.era() {
            return;
        }
        let value = uncertainty.era().to_string().into();
        let written = self.put(held, SETTLED_ERA_KEY, value, None).await;
        if written == Ok(store::Swap::Stored) {
            self.settled_era.set(uncertainty.era());
        }
        tracing::info!(
            era = uncertainty.era(),
            ?written,
            "published that no order of an earlier era can take effect"
        );
    }

    // Handles a reset of the store while this node held the lease. The lease isn't taken for
    // vacant: the copy may still hold the key for the rest of an old lease.
    fn void_after_reset(&self, held: &Lease, now: id::Time) {
        let uncertainty = self.uncertainty();
        if now < held.until {
            self.uncertainty.set(uncertainty.held_across_reset());
        }
        self.held.replace(None);
        tracing::warn!(
            fence = held.fence,
            era = uncertainty.era(),
            "promoter's lease void: the store was reset to an older copy"
        );
    }

    async fn claim(&self) {
        let became_vacant = self.became_vacant.listen();
        if self.is_held_by_any.get() {
            if wait::within(RECHECK_INTERVAL, became_vacant)
                .await
                .is_none()
            {
                self.is_held_by_any.set(false);
            }
            return;
        }
        // The number of nodes is known only after this delay if all have just started.
        wait::sleep(self.claim_delay()).await;
        let window = claim_window(self.members.get());
        wait::sleep(window.mul_f64(fastrand::f64())).await;
        if self.is_held_by_any.get() || self.stopping.get() {
            return;
        }
        let result = match self.store.get(KEY).await {
            Ok(Some(_)) => {
                self.is_held_by_any.set(true);
                return;
            }
            Ok(None) => self.obtain().await,
            Err(failure) => Err(failure),
        };
        if let Err(failure) = result {
            tracing::info!(?failure, "promoter's lease not obtained");
            wait::sleep(RETRY_DELAY).await;
        }
    }

    fn read_settled_era(&self, shared: &[store::Entry]) {
        let entry = shared.iter().find(|entry| entry.key == SETTLED_ERA_KEY);
        let Some(entry) = entry else { return };
        match String::from_utf8_lossy(&entry.value).parse() {
            Ok(era) => {
                self.settled_era.set(era);
                self.uncertainty.set(self.uncertainty().settled(era));
            }
            Err(error) => tracing::error!(key = SETTLED_ERA_KEY, %error, "cannot parse the entry"),
        }
    }

    fn claim_delay(&self) -> time::Duration {
        let now = boot::now();
        let uncertainty = self.uncertainty();
        let defers = |since| era::defers_claim(uncertainty.era(), since, now);
        if uncertainty.reset_without_lease_since().is_some_and(defers)
            || now < self.created_at + STARTUP_PERIOD
        {
            CLAIM_DELAY
        } else {
            time::Duration::ZERO
        }
    }

    async fn obtain(&self) -> Result<(), store::Failure> {
        let started = boot::now();
        let era = self.store.era();
        let lease = self.store.grant(self.lease).await?;
        let value = bytes::Bytes::copy_from_slice(self.token.as_bytes());
        // The create call may have succeeded even if its answer is an error or was lost, so the
        // entries decide who holds the lease.
        let holder_key = format_compact!("{KEY}/{:016x}", fastrand::u64(..));
        let keys = [KEY, holder_key.as_str()];
        let created = self.store.create(&keys, value, &lease).await;
        let shared = self.store.list(SHARED_PREFIX).await?;
        let mine = |key: &str| {
            let entry = shared.iter().find(|entry| entry.key == key);
            entry.filter(|entry| entry.value == self.token.as_bytes())
        };
        let (Some(entry), Some(holder)) = (mine(KEY), mine(&holder_key)) else {
            self.is_held_by_any.set(created.is_ok());
            return created.map(|_| ());
        };
        if self.store.era() != era {
            return Err(store::Failure::Unknown("the store was reset".into()));
        }
        let held = Lease {
            fence: era::fence(era, entry.version),
            until: started + self.lease,
            not_before: boot::now() + TAKEOVER_DELAY,
            id: lease,
            era,
            holder_key,
            versions: [entry.version, holder.version],
        };
        let recorded = shared
            .iter()
            .filter(|entry| entry.key.starts_with(intent::PREFIX));
        self.records.reload(recorded);
        self.read_settled_era(&shared);
        tracing::info!(fence = held.fence, era, "promoter's lease obtained");
        for (intent, _) in self.records.lost() {
            let written = self.write(&held, &intent).await;
            log_rewritten(&intent, &written);
        }
        self.held.replace(Some(held));
        Ok(())
    }
}

/// Window in which this many nodes claim a vacant lease.
///
/// When a hundred nodes start together, all see the lease vacant, and each asks the store before it
/// claims. Within the window for eight nodes, half of them would ask before they are notified of
/// the first claim. A window in proportion to their number keeps the first claim as early and lets
/// few nodes ask.
///
/// ```
/// use mangotray_desk::election;
/// assert_eq!(election::claim_window(1), election::claim_window(8));
/// assert!(election::claim_window(96) >= 12 * election::claim_window(8));
/// ```
#[must_use]
pub fn claim_window(members: usize) -> time::Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    CLAIM_WINDOW
        .saturating_mul(members)
        .max(CLAIM_WINDOW * CLAIM_WINDOW_NODES)
        / CLAIM_WINDOW_NODES
}

fn encode(intent: &intent::Intent) -> Option<bytes::Bytes> {
    let encoded = serde_json::to_vec(intent);
    let logged = encoded.inspect_err(|error| {
        tracing::error!(group = %intent.group, %error, "cannot encode the record of a promotion");
    });
    logged.ok().map(bytes::Bytes::from)
}

fn log_rewritten(intent: &intent::Intent, written: &Result<store::Swap, store::Failure>) {
    tracing::warn!(group = %intent.group, candidate = %intent.candidate, term = intent.term, ?written,
        "record of a promotion written again: the store had lost it");
}
