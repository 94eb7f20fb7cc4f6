//! The promoter's seat: one node of the fleet at a time replaces primaries.
//!
//! The seat is a key in the platform's store under a lease, beside a second one that names the
//! holder. The era of the store and the seat's revision order the holders; the number made of
//! both goes along with each promotion.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;
use mangotray::store;

use crate::boot;
use crate::era;
use crate::intent;
use crate::promote;
use crate::records;
use crate::uncertainty;
use crate::wait;

/// Key of the seat.
pub const KEY: &str = "mangotray/promoter";

/// The seat and all recorded promotions begin so: one list tells a new holder of both.
const SHARED_PREFIX: &str = "mangotray/promot";

/// Key that tells which era has lasted for so long that no order of an earlier one can take effect: a
/// holder that has just started need not wait to find out. The list of the seat and the promotions has it too.
pub const SETTLED_ERA_KEY: &str = "mangotray/promotion-era";

/// Lease of the seat, where the store grants leases as short. A killed holder is succeeded after this time at most; a store that
/// is slow for a moment does not cost a calm holder the seat.
pub const LEASE_TTL: time::Duration = time::Duration::from_secs(2);

/// Pause between renewals: three may fail before the lease ends. Each is priced at a tenth
/// of a call.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A node that was told of no change for this long looks at the seat itself, in case the
/// news was lost; rarely, as each look of each node is a priced call.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_mins(1);

/// Nodes that see the seat empty wait up to this long, for each [`CLAIM_WINDOW_NODES`] of them, so that not all of them
/// claim it: most hear of the first one's claim before their turn.
const CLAIM_WINDOW: time::Duration = time::Duration::from_millis(300);

/// Nodes among which the first claims soon although each waits for up to [`CLAIM_WINDOW`].
const CLAIM_WINDOW_NODES: u32 = 8;

/// A node that started less than this ago lets the others claim the seat first, and so long:
/// its list of instances may not be whole, and until it is it promotes nobody. After an outage
/// of the store it would find the seat first, and leave groups without a primary for seconds.
const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(3);
const CLAIM_DELAY: time::Duration = time::Duration::from_millis(1200);

/// Pause after the store failed to answer.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// A new holder waits this long. A predecessor that confirmed its seat just before losing
/// it sends its last order within [`CONFIRMATION_LIFETIME`].
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(400);

/// An order must leave this soon after the store confirmed the seat.
pub const CONFIRMATION_LIFETIME: time::Duration = time::Duration::from_millis(200);

/// A held seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The holder's number.
    pub fence: promote::Fence,
    /// The lease surely lasts until then.
    pub until: id::Time,
    /// No order before this.
    pub not_before: id::Time,
    id: store::Lease,
    /// Era of the store in which the seat was taken.
    era: store::Era,
    /// Key that exists as long as this node holds the seat. A revision alone does not name a holder:
    /// a store that comes back from an older copy gives it out again.
    holder_key: CompactString,
    /// Revisions of the seat and of that key.
    versions: [store::Version; 2],
}

/// This node's part in holding the seat.
pub struct Election {
    store: rc::Rc<dyn store::Store>,
    /// Unlike the VM's name it differs after a restart: what a former process of this VM
    /// still has under way is not this one's.
    token: CompactString,
    lease: time::Duration,
    held: cell::RefCell<Option<Lease>>,
    vacated: event_listener::Event,
    store_reachable: event_listener::Event,
    occupied: cell::Cell<bool>,
    stopping: cell::Cell<bool>,
    created_at: id::Time,
    records: records::Records,
    /// Promotions that this process has recorded.
    record_count: cell::Cell<u64>,
    uncertainty: cell::Cell<uncertainty::Uncertainty>,
    /// The era that the store's entry [`SETTLED_ERA_KEY`] is known to tell.
    settled_era: cell::Cell<store::Era>,
    members: cell::Cell<usize>,
}

impl Election {
    /// A seat that is not held, of a store whose shortest lease is `least`.
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
            vacated: event_listener::Event::new(),
            store_reachable: event_listener::Event::new(),
            occupied: cell::Cell::new(true),
            stopping: cell::Cell::default(),
            created_at: boot::now(),
            records: records::Records::default(),
            record_count: cell::Cell::default(),
            uncertainty: cell::Cell::default(),
            settled_era: cell::Cell::default(),
            members: cell::Cell::default(),
        })
    }

    /// The seat, if this node surely holds it now and may act.
    #[must_use]
    pub fn held(&self) -> Option<Lease> {
        let now = boot::now();
        let held = self.held.borrow().clone();
        held.filter(|held| held.not_before <= now && now < held.until && self.is_valid(held))
    }

    // A seat that was taken before the store came back from an older copy is void: others may have
    // held it in the seconds that are gone, with higher numbers, or have taken it since.
    fn is_valid(&self, held: &Lease) -> bool {
        held.era == self.store.era()
    }

    // What is doubted in the present era.
    fn uncertainty(&self) -> uncertainty::Uncertainty {
        let uncertainty = self
            .uncertainty
            .get()
            .observe(self.store.era(), boot::now());
        self.uncertainty.set(uncertainty);
        uncertainty
    }

    /// Whether an order may yet take effect whose record the store has lost.
    #[must_use]
    pub fn may_have_lost_order(&self) -> bool {
        self.uncertainty().is_open(boot::now())
    }

    /// The store's era, as far as this node knows.
    #[must_use]
    pub fn era(&self) -> store::Era {
        self.store.era()
    }

    /// Asks the store whether this node still holds the seat.
    ///
    /// A lease that is ended from outside, or a pause of this VM, can make somebody else
    /// the holder while this node still believes in its lease; two promoters that take
    /// turns would each promote an instance. Orders go out only right after a confirmation.
    pub async fn confirm(&self) -> Option<Lease> {
        let held = self.held()?;
        let started = boot::now();
        let entry = self.store.get(KEY).await.ok().flatten()?;
        let mine = entry.version == held.versions[0] && entry.value == self.token.as_bytes();
        let soon = boot::now() < started + CONFIRMATION_LIFETIME;
        (mine && soon && self.is_valid(&held)).then_some(held)
    }

    /// Records a promotion and confirms with the same call that this node still holds the seat.
    ///
    /// What a former holder has recorded is known to every later one: its record needs the seat
    /// as it was then, and a holder reads them after it has taken the seat.
    pub async fn record(&self, intent: &intent::Intent) -> Option<Lease> {
        let held = self.held()?;
        let started = boot::now();
        self.record_count.set(self.record_count.get() + 1);
        let place = intent::Place {
            fence: held.fence,
            turn: self.record_count.get(),
        };
        let intent = intent::Intent {
            place,
            ..intent.clone()
        };
        let recorded = self.write(&held, &intent).await;
        if recorded != Ok(store::Swap::Stored) {
            tracing::warn!(group = %intent.group, ?recorded, "promotion not recorded");
            return None;
        }
        self.records.note(intent);
        let soon = boot::now() < started + CONFIRMATION_LIFETIME;
        (soon && self.is_valid(&held)).then_some(held)
    }

    async fn write(
        &self,
        held: &Lease,
        intent: &intent::Intent,
    ) -> Result<store::Swap, store::Failure> {
        let value = encode(intent)
            .ok_or_else(|| store::Failure::NotRun("not to be written as text".into()))?;
        self.put(held, &intent.key(), value).await
    }

    // Stores a value if this node still holds the seat.
    async fn put(
        &self,
        held: &Lease,
        key: &str,
        value: bytes::Bytes,
    ) -> Result<store::Swap, store::Failure> {
        let guard = |(key, version)| store::Guard { key, version };
        let keys = [KEY, held.holder_key.as_str()];
        let guards: Vec<_> = keys.into_iter().zip(held.versions).map(guard).collect();
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

    /// Forgets a recorded promotion that surely never takes effect. The record stays in the
    /// store, so that this costs no call; a later holder comes to the same conclusion.
    pub fn retract(&self, group: &id::Group) {
        self.records.retract(group);
    }

    /// Writes records again that the store has lost, unless another node has done so within a
    /// moment of this node's own.
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

    /// Notes that the seat may be empty, as its key was removed or the store is back.
    pub fn note_vacant(&self) {
        self.occupied.set(false);
        self.vacated.notify(usize::MAX);
    }

    /// Notes that the store is back, so that a lease is renewed at once.
    pub fn note_store_reachable(&self) {
        self.store_reachable.notify(usize::MAX);
    }

    /// Whether this node had the seat when it last heard of it, be the lease sure or not.
    ///
    /// Such a node goes on watching the primaries while the store is away: it need not
    /// begin anew to wonder whether one is lost when it may act again.
    #[must_use]
    pub fn is_last_known_holder(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// Notes how many nodes there are.
    pub fn note_members(&self, members: usize) {
        self.members.set(members);
    }

    /// Notes that somebody holds the seat.
    pub fn note_held(&self) {
        self.occupied.set(true);
    }

    /// Tries to take the seat and keeps it, for ever.
    pub async fn run(self: rc::Rc<Self>) {
        while !self.stopping.get() {
            let held = self.held.borrow().clone();
            match held {
                Some(held) => self.renew(held).await,
                None => self.claim().await,
            }
        }
    }

    /// Gives the seat up, so that a successor need not wait for the lease to end.
    pub async fn resign(&self) {
        self.stopping.set(true);
        let held = self.held.take();
        if let Some(held) = held {
            let left = self.store.revoke(&held.id).await;
            tracing::info!(fence = held.fence, ?left, "promoter's seat left");
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
                    "promoter's seat lost: the lease has ended"
                );
                self.held.replace(None);
            }
            Err(failure) => {
                tracing::warn!(fence = held.fence, ?failure, "promoter's lease not renewed");
            }
        }
    }

    // Tells later holders that no order of an earlier era can take effect any more: once an era.
    async fn publish_settled_era(&self, held: &Lease) {
        let uncertainty = self.uncertainty();
        if !uncertainty.has_settled(boot::now()) || self.settled_era.get() == uncertainty.era() {
            return;
        }
        let value = uncertainty.era().to_string().into();
        let written = self.put(held, SETTLED_ERA_KEY, value).await;
        if written == Ok(store::Swap::Stored) {
            self.settled_era.set(uncertainty.era());
        }
        tracing::info!(
            era = uncertainty.era(),
            ?written,
            "told that the store's last return is long past"
        );
    }

    // The store came back from an older copy while this node held the seat. It is not taken for
    // empty: the copy may hold it under what is left of a lease.
    fn void_after_reset(&self, held: &Lease, now: id::Time) {
        let uncertainty = self.uncertainty();
        if now < held.until {
            self.uncertainty.set(uncertainty.held_across_reset());
        }
        self.held.replace(None);
        tracing::warn!(
            fence = held.fence,
            era = uncertainty.era(),
            "promoter's seat void: the store has come back from an older copy"
        );
    }

    async fn claim(&self) {
        let vacated = self.vacated.listen();
        if self.occupied.get() {
            if wait::within(RECHECK_INTERVAL, vacated).await.is_none() {
                self.occupied.set(false);
            }
            return;
        }
        // How many nodes there are is known only after a while, where all have just started.
        wait::sleep(self.claim_delay()).await;
        let window = claim_window(self.members.get());
        wait::sleep(window.mul_f64(fastrand::f64())).await;
        if self.occupied.get() || self.stopping.get() {
            return;
        }
        let found = match self.store.get(KEY).await {
            Ok(Some(_)) => {
                self.occupied.set(true);
                return;
            }
            Ok(None) => self.take().await,
            Err(failure) => Err(failure),
        };
        if let Err(failure) = found {
            tracing::info!(?failure, "promoter's seat not taken");
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
            Err(error) => tracing::error!(key = SETTLED_ERA_KEY, %error, "entry not understood"),
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

    async fn take(&self) -> Result<(), store::Failure> {
        let started = boot::now();
        let era = self.store.era();
        let lease = self.store.grant(self.lease).await?;
        let value = bytes::Bytes::copy_from_slice(self.token.as_bytes());
        // Whatever the answer says, or if none comes: the entries tell who holds the seat.
        let holder_key = format_compact!("{KEY}/{:016x}", fastrand::u64(..));
        let keys = [KEY, holder_key.as_str()];
        let created = self.store.create(&keys, value, &lease).await;
        let shared = self.store.list(SHARED_PREFIX).await?;
        let mine = |key: &str| {
            let entry = shared.iter().find(|entry| entry.key == key);
            entry.filter(|entry| entry.value == self.token.as_bytes())
        };
        let (Some(entry), Some(own)) = (mine(KEY), mine(&holder_key)) else {
            self.occupied.set(created.is_ok());
            return created.map(|_| ());
        };
        if self.store.era() != era {
            return Err(store::Failure::Unknown("the store came back".into()));
        }
        let held = Lease {
            fence: era::fence(era, entry.version),
            until: started + self.lease,
            not_before: boot::now() + TAKEOVER_DELAY,
            id: lease,
            era,
            holder_key,
            versions: [entry.version, own.version],
        };
        let found = shared
            .iter()
            .filter(|entry| entry.key.starts_with(intent::PREFIX));
        self.records.reload(found);
        self.read_settled_era(&shared);
        tracing::info!(fence = held.fence, era, "promoter's seat taken");
        for (intent, _) in self.records.lost() {
            let written = self.write(&held, &intent).await;
            log_rewritten(&intent, &written);
        }
        self.held.replace(Some(held));
        Ok(())
    }
}

/// The time within which so many nodes claim an empty seat.
///
/// The load that this answers: a hundred nodes start together and see the seat empty. Each asks the store
/// before it claims. Within the time that does for eight, half of a hundred would have asked before they
/// hear of the first claim; in proportion to their number the first claims as soon, and few ask.
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
        tracing::error!(group = %intent.group, %error, "promotion not to be written as text");
    });
    logged.ok().map(bytes::Bytes::from)
}

fn log_rewritten(intent: &intent::Intent, written: &Result<store::Swap, store::Failure>) {
    tracing::warn!(group = %intent.group, candidate = %intent.candidate, term = intent.term, ?written,
        "recorded promotion written again: the store had lost it");
}
