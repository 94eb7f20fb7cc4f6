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
use crate::doubt;
use crate::duty;
use crate::era;
use crate::intent;
use crate::records;
use crate::wait;

/// Key of the seat.
pub const KEY: &str = "mangotray/promoter";

/// The seat and all recorded promotions begin so: one list tells a new holder of both.
const AGREED: &str = "mangotray/promot";

/// Key that tells which era has lasted for so long that no order of an earlier one can take effect: a
/// holder that has just started need not wait to find out. The list of the seat and the promotions has it too.
pub const OUTLASTED: &str = "mangotray/promotion-era";

/// Lease of the seat, where the store grants leases as short. A killed holder is succeeded after this time at most; a store that
/// is slow for a moment does not cost a calm holder the seat.
pub const LEASE: time::Duration = time::Duration::from_secs(2);

/// Pause between renewals: three may fail before the lease ends. Each is priced at a tenth
/// of a call.
const RENEW: time::Duration = time::Duration::from_millis(500);

/// A node that was told of no change for this long looks at the seat itself, in case the
/// news was lost; rarely, as each look of each node is a priced call.
const PATIENCE: time::Duration = time::Duration::from_mins(1);

/// Nodes that see the seat empty wait up to this long, for each [`FEW`] of them, so that not all of them
/// claim it: most hear of the first one's claim before their turn.
const SPREAD: time::Duration = time::Duration::from_millis(300);

/// Nodes among which the first claims soon although each waits for up to [`SPREAD`].
const FEW: u32 = 8;

/// A node that started less than this ago lets the others claim the seat first, and so long:
/// its list of instances may not be whole, and until it is it promotes nobody. After an outage
/// of the store it would find the seat first, and leave groups without a primary for seconds.
const NEW: time::Duration = time::Duration::from_secs(3);
const LATER: time::Duration = time::Duration::from_millis(1200);

/// Pause after the store failed to answer.
const PAUSE: time::Duration = time::Duration::from_millis(300);

/// A new holder waits this long. A predecessor that confirmed its seat just before losing
/// it sends its last order within [`CONFIRMED`].
const SETTLE: time::Duration = time::Duration::from_millis(400);

/// An order must leave this soon after the store confirmed the seat.
pub const CONFIRMED: time::Duration = time::Duration::from_millis(200);

/// A held seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The holder's number.
    pub fence: duty::Fence,
    /// The lease surely lasts until then.
    pub until: id::Time,
    /// No order before this.
    pub from: id::Time,
    lease: store::Lease,
    /// Era of the store in which the seat was taken.
    era: store::Era,
    /// Key that exists as long as this node holds the seat. A revision alone does not name a holder:
    /// a store that comes back from an older copy gives it out again.
    own_key: CompactString,
    /// Revisions of the seat and of that key.
    versions: [store::Version; 2],
}

/// This node's part in holding the seat.
pub struct Seat {
    store: rc::Rc<dyn store::Store>,
    /// Unlike the VM's name it differs after a restart: what a former process of this VM
    /// still has under way is not this one's.
    token: CompactString,
    lease: time::Duration,
    held: cell::RefCell<Option<Held>>,
    vacated: event_listener::Event,
    nudged: event_listener::Event,
    occupied: cell::Cell<bool>,
    stopping: cell::Cell<bool>,
    made: id::Time,
    records: records::Records,
    /// Promotions that this process has recorded.
    turns: cell::Cell<u64>,
    doubt: cell::Cell<doubt::Doubt>,
    /// The era that the store's entry [`OUTLASTED`] is known to tell.
    outlasted: cell::Cell<store::Era>,
    members: cell::Cell<usize>,
}

impl Seat {
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
            lease: LEASE.max(least),
            held: cell::RefCell::default(),
            vacated: event_listener::Event::new(),
            nudged: event_listener::Event::new(),
            occupied: cell::Cell::new(true),
            stopping: cell::Cell::default(),
            made: boot::now(),
            records: records::Records::default(),
            turns: cell::Cell::default(),
            doubt: cell::Cell::default(),
            outlasted: cell::Cell::default(),
            members: cell::Cell::default(),
        })
    }

    /// The seat, if this node surely holds it now and may act.
    #[must_use]
    pub fn held(&self) -> Option<Held> {
        let now = boot::now();
        let held = self.held.borrow().clone();
        held.filter(|held| held.from <= now && now < held.until && self.is_valid(held))
    }

    // A seat that was taken before the store came back from an older copy is void: others may have
    // held it in the seconds that are gone, with higher numbers, or have taken it since.
    fn is_valid(&self, held: &Held) -> bool {
        held.era == self.store.era()
    }

    // What is doubted in the present era.
    fn doubt(&self) -> doubt::Doubt {
        let doubt = self.doubt.get().see(self.store.era(), boot::now());
        self.doubt.set(doubt);
        doubt
    }

    /// Whether an order may yet take effect whose record the store has lost.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.doubt().is_open(boot::now())
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
    pub async fn confirm(&self) -> Option<Held> {
        let held = self.held()?;
        let started = boot::now();
        let entry = self.store.get(KEY).await.ok().flatten()?;
        let mine = entry.version == held.versions[0] && entry.value == self.token.as_bytes();
        let soon = boot::now() < started + CONFIRMED;
        (mine && soon && self.is_valid(&held)).then_some(held)
    }

    /// Records a promotion and confirms with the same call that this node still holds the seat.
    ///
    /// What a former holder has recorded is known to every later one: its record needs the seat
    /// as it was then, and a holder reads them after it has taken the seat.
    pub async fn record(&self, intent: &intent::Intent) -> Option<Held> {
        let held = self.held()?;
        let started = boot::now();
        self.turns.set(self.turns.get() + 1);
        let place = intent::Place {
            fence: held.fence,
            turn: self.turns.get(),
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
        let soon = boot::now() < started + CONFIRMED;
        (soon && self.is_valid(&held)).then_some(held)
    }

    async fn write(
        &self,
        held: &Held,
        intent: &intent::Intent,
    ) -> Result<store::Swap, store::Failure> {
        let value = encode(intent)
            .ok_or_else(|| store::Failure::NotRun("not to be written as text".into()))?;
        self.put(held, &intent.key(), value).await
    }

    // Stores a value if this node still holds the seat.
    async fn put(
        &self,
        held: &Held,
        key: &str,
        value: bytes::Bytes,
    ) -> Result<store::Swap, store::Failure> {
        let guard = |(key, version)| store::Guard { key, version };
        let keys = [KEY, held.own_key.as_str()];
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
        wait::sleep(era::SPREAD.mul_f64(fastrand::f64())).await;
        for (intent, version) in self.records.lost() {
            let Some(value) = encode(&intent) else {
                continue;
            };
            let written = self.store.swap(&intent.key(), value, version, None).await;
            tell_rewritten(&intent, &written);
        }
    }

    /// Notes that the seat may be empty, as its key was removed or the store is back.
    pub fn vacated(&self) {
        self.occupied.set(false);
        self.vacated.notify(usize::MAX);
    }

    /// Notes that the store is back, so that a lease is renewed at once.
    pub fn store_is_back(&self) {
        self.nudged.notify(usize::MAX);
    }

    /// Whether this node had the seat when it last heard of it, be the lease sure or not.
    ///
    /// Such a node goes on watching the primaries while the store is away: it need not
    /// begin anew to wonder whether one is lost when it may act again.
    #[must_use]
    pub fn had(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// Notes how many nodes there are.
    pub fn note_members(&self, members: usize) {
        self.members.set(members);
    }

    /// Notes that somebody holds the seat.
    pub fn occupied(&self) {
        self.occupied.set(true);
    }

    /// Tries to take the seat and keeps it, for ever.
    pub async fn keep(self: rc::Rc<Self>) {
        while !self.stopping.get() {
            let held = self.held.borrow().clone();
            match held {
                Some(held) => self.renew(held).await,
                None => self.claim().await,
            }
        }
    }

    /// Gives the seat up, so that a successor need not wait for the lease to end.
    pub async fn leave(&self) {
        self.stopping.set(true);
        let held = self.held.take();
        if let Some(held) = held {
            let left = self.store.revoke(&held.lease).await;
            tracing::info!(fence = held.fence, ?left, "promoter's seat left");
        }
    }

    async fn renew(&self, held: Held) {
        let nudged = self.nudged.listen();
        wait::within(RENEW, nudged).await;
        let started = boot::now();
        let renewed = self.store.renew(&held.lease).await;
        if !self.is_valid(&held) {
            return self.outlive(&held, started);
        }
        match renewed {
            Ok(true) => {
                if let Some(held) = &mut *self.held.borrow_mut() {
                    held.until = started + self.lease;
                }
                self.tell_outlasted(&held).await;
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
    async fn tell_outlasted(&self, held: &Held) {
        let doubt = self.doubt();
        if !doubt.has_outlasted(boot::now()) || self.outlasted.get() == doubt.era() {
            return;
        }
        let value = doubt.era().to_string().into();
        let written = self.put(held, OUTLASTED, value).await;
        if written == Ok(store::Swap::Stored) {
            self.outlasted.set(doubt.era());
        }
        tracing::info!(
            era = doubt.era(),
            ?written,
            "told that the store's last return is long past"
        );
    }

    // The store came back from an older copy while this node held the seat. It is not taken for
    // empty: the copy may hold it under what is left of a lease.
    fn outlive(&self, held: &Held, now: id::Time) {
        let doubt = self.doubt();
        if now < held.until {
            self.doubt.set(doubt.held_through());
        }
        self.held.replace(None);
        tracing::warn!(
            fence = held.fence,
            era = doubt.era(),
            "promoter's seat void: the store has come back from an older copy"
        );
    }

    async fn claim(&self) {
        let vacated = self.vacated.listen();
        if self.occupied.get() {
            if wait::within(PATIENCE, vacated).await.is_none() {
                self.occupied.set(false);
            }
            return;
        }
        // How many nodes there are is known only after a while, where all have just started.
        wait::sleep(self.deference()).await;
        let spread = spread(self.members.get());
        wait::sleep(spread.mul_f64(fastrand::f64())).await;
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
            wait::sleep(PAUSE).await;
        }
    }

    fn note_outlasted(&self, agreed: &[store::Entry]) {
        let entry = agreed.iter().find(|entry| entry.key == OUTLASTED);
        let Some(entry) = entry else { return };
        match String::from_utf8_lossy(&entry.value).parse() {
            Ok(era) => {
                self.outlasted.set(era);
                self.doubt.set(self.doubt().outlasted(era));
            }
            Err(error) => tracing::error!(key = OUTLASTED, %error, "entry not understood"),
        }
    }

    fn deference(&self) -> time::Duration {
        let now = boot::now();
        let doubt = self.doubt();
        let defers = |since| era::defers(doubt.era(), since, now);
        if doubt.not_held_since().is_some_and(defers) || now < self.made + NEW {
            LATER
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
        let own_key = format_compact!("{KEY}/{:016x}", fastrand::u64(..));
        let keys = [KEY, own_key.as_str()];
        let created = self.store.create(&keys, value, &lease).await;
        let agreed = self.store.list(AGREED).await?;
        let mine = |key: &str| {
            let entry = agreed.iter().find(|entry| entry.key == key);
            entry.filter(|entry| entry.value == self.token.as_bytes())
        };
        let (Some(seat), Some(own)) = (mine(KEY), mine(&own_key)) else {
            self.occupied.set(created.is_ok());
            return created.map(|_| ());
        };
        if self.store.era() != era {
            return Err(store::Failure::Unknown("the store came back".into()));
        }
        let held = Held {
            fence: era::fence(era, seat.version),
            until: started + self.lease,
            from: boot::now() + SETTLE,
            lease,
            era,
            own_key,
            versions: [seat.version, own.version],
        };
        let found = agreed
            .iter()
            .filter(|entry| entry.key.starts_with(intent::PREFIX));
        self.records.restart(found);
        self.note_outlasted(&agreed);
        tracing::info!(fence = held.fence, era, "promoter's seat taken");
        for (intent, _) in self.records.lost() {
            let written = self.write(&held, &intent).await;
            tell_rewritten(&intent, &written);
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
/// use mangotray_desk::seat;
/// assert_eq!(seat::spread(1), seat::spread(8));
/// assert!(seat::spread(96) >= 12 * seat::spread(8));
/// ```
#[must_use]
pub fn spread(members: usize) -> time::Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    SPREAD.saturating_mul(members).max(SPREAD * FEW) / FEW
}

fn encode(intent: &intent::Intent) -> Option<bytes::Bytes> {
    let encoded = serde_json::to_vec(intent);
    let logged = encoded.inspect_err(|error| {
        tracing::error!(group = %intent.group, %error, "promotion not to be written as text");
    });
    logged.ok().map(bytes::Bytes::from)
}

fn tell_rewritten(intent: &intent::Intent, written: &Result<store::Swap, store::Failure>) {
    tracing::warn!(group = %intent.group, candidate = %intent.candidate, term = intent.term, ?written,
        "recorded promotion written again: the store had lost it");
}
