//! Unique terms of a database group, by compare-and-swap.
//!
//! What goes wrong: two proxies promote with one term, their logs cannot be told
//! apart and a confirmed write is lost. Hence a number is used only after the store
//! has proved that it was handed to this very attempt, and no number is handed out
//! twice: whoever is in doubt takes a higher one.

use std::sync;

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Swaps tried before a claim gives up on a contended record.
const MAX_SWAP_ATTEMPTS: usize = 32;

/// Reservations that the record names. They only inform, as a number that was handed
/// out is never handed out again; the bound keeps the record small while VMs come and go.
const MAX_RESERVATIONS: usize = 16;

/// Number drawn for one claim, which proves on reading back that the claim is ours.
pub type Attempt = u64;

/// Who holds a term.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The term that was handed out.
    pub term: id::Term,
    /// VM that claimed it.
    pub vm: id::Vm,
    /// Process that claimed it; a restarted one has another number.
    pub incarnation: id::Incarnation,
}

/// A primary that was promoted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reign {
    /// Who promoted it, with which term.
    #[serde(flatten)]
    pub holder: Holder,
    /// Instance that was promoted.
    pub instance: id::Index,
}

/// What the store holds on a group's terms.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Lowest term that was never handed out.
    pub next: id::Term,
    /// Last promotion that was written down.
    pub current: Option<Reign>,
    /// Terms claimed in advance, the latest last.
    pub reserved: Vec<Holder>,
    /// Last claim: its term and attempt.
    pub latest: Option<(id::Term, Attempt)>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            next: 1,
            current: None,
            reserved: Vec::new(),
            latest: None,
        }
    }
}

impl Record {
    /// Hands out the lowest fresh term above `above`.
    ///
    /// ```
    /// use mangotray::term;
    /// let (record, term) = term::Record::default().claim(7, 1);
    /// assert_eq!((term, record.next), (8, 9));
    /// assert_eq!(record.claim(0, 2).1, 9);
    /// ```
    #[must_use]
    pub fn claim(&self, above: id::Term, attempt: Attempt) -> (Self, id::Term) {
        let term = self.next.max(above + 1);
        let record = Self {
            next: term + 1,
            latest: Some((term, attempt)),
            ..self.clone()
        };
        (record, term)
    }

    /// Names a claimed term as held in advance, in place of that VM's older ones.
    #[must_use]
    pub fn reserve(mut self, holder: Holder) -> Self {
        self.reserved.retain(|other| other.vm != holder.vm);
        self.reserved.push(holder);
        let excess = self.reserved.len().saturating_sub(MAX_RESERVATIONS);
        self.reserved.drain(..excess);
        self
    }

    /// Writes a promotion down; `None` if a later or the same one is known.
    ///
    /// ```
    /// use mangotray::term;
    /// let holder = term::Holder { term: 4, vm: "vm-1".into(), incarnation: 1 };
    /// let promotion = term::Reign { holder, instance: 2 };
    /// let record = term::Record::default().promoted(promotion.clone()).unwrap();
    /// assert!(record.next > 4);
    /// assert!(record.promoted(promotion).is_none());
    /// ```
    #[must_use]
    pub fn promoted(&self, promotion: Reign) -> Option<Self> {
        let term = promotion.holder.term;
        let known = self.current.as_ref().map(|promotion| promotion.holder.term);
        (known < Some(term)).then(|| Self {
            next: self.next.max(term + 1),
            current: Some(promotion),
            reserved: self
                .reserved
                .iter()
                .filter(|holder| holder.term > term)
                .cloned()
                .collect(),
            latest: self.latest,
        })
    }

    /// The term that an attempt whose answer was lost has been given, if it shows.
    ///
    /// ```
    /// use mangotray::term;
    /// let (record, term) = term::Record::default().claim(0, 77);
    /// assert_eq!(record.term_of(77), Some(term));
    /// assert_eq!(record.claim(0, 78).0.term_of(77), None);
    /// ```
    #[must_use]
    pub fn term_of(&self, attempt: Attempt) -> Option<id::Term> {
        self.latest
            .filter(|(_, latest)| *latest == attempt)
            .map(|(term, _)| term)
    }
}

/// Claims terms of one group for one process.
pub struct Registry {
    store: sync::Arc<dyn store::Store>,
    key: CompactString,
    vm: id::Vm,
    incarnation: id::Incarnation,
    held: sync::Mutex<Option<id::Term>>,
}

impl Registry {
    /// Builds the registry of a group; nothing is read yet.
    #[must_use]
    pub fn new(
        store: sync::Arc<dyn store::Store>,
        group: &str,
        vm: id::Vm,
        incarnation: id::Incarnation,
    ) -> Self {
        Self {
            store,
            key: key(group),
            vm,
            incarnation,
            held: sync::Mutex::new(None),
        }
    }

    /// Claims a fresh term above `above` that nobody else ever gets.
    ///
    /// # Errors
    ///
    /// `NotRun` when nothing was claimed; `Unknown` when a term may have been used
    /// up, which does no harm: it is never handed out again.
    pub async fn claim(&self, above: id::Term) -> Result<id::Term, store::Failure> {
        self.claim_with(above, |record, _| record).await
    }

    /// Claims one term in advance unless one above `above` is held; returns the held one.
    ///
    /// # Errors
    ///
    /// As `claim`.
    pub async fn reserve(&self, above: id::Term) -> Result<id::Term, store::Failure> {
        if let Some(term) = self.held().filter(|term| *term > above) {
            return Ok(term);
        }
        let term = self
            .claim_with(above, |record, term| record.reserve(self.holder(term)))
            .await?;
        *self.lock_held() = Some(term);
        Ok(term)
    }

    /// Term claimed in advance, if any; it stays held.
    #[must_use]
    pub fn held(&self) -> Option<id::Term> {
        *self.lock_held()
    }

    /// Hands over the term claimed in advance, once; needs no store.
    ///
    /// One that is not above `above` is of no use any more and is dropped.
    pub fn take_reserved(&self, above: id::Term) -> Option<id::Term> {
        let held = self.lock_held().take();
        held.filter(|term| *term > above)
    }

    /// Writes down that `instance` was promoted with `term`.
    ///
    /// # Errors
    ///
    /// `NotRun` or `Unknown`; repeating the call is safe.
    pub async fn publish(&self, term: id::Term, instance: id::Index) -> Result<(), store::Failure> {
        let promotion = Reign {
            holder: self.holder(term),
            instance,
        };
        for _ in 0..MAX_SWAP_ATTEMPTS {
            let (record, version) = self.load().await?;
            let Some(record) = record.promoted(promotion.clone()) else {
                return Ok(());
            };
            if self.save(&record, version).await? == store::Swap::Stored {
                return Ok(());
            }
        }
        Err(contention())
    }

    /// Last promotion that was written down; a hint, as promotions go on without the store.
    ///
    /// # Errors
    ///
    /// `NotRun` when the store cannot be read.
    pub async fn current(&self) -> Result<Option<Reign>, store::Failure> {
        Ok(self.load().await?.0.current)
    }

    async fn claim_with(
        &self,
        above: id::Term,
        update: impl Fn(Record, id::Term) -> Record,
    ) -> Result<id::Term, store::Failure> {
        let attempt = fastrand::u64(..);
        let mut unknown = None;
        for _ in 0..MAX_SWAP_ATTEMPTS {
            let (found, version) = match self.load().await {
                Ok(loaded) => loaded,
                Err(failure) => return Err(unknown.unwrap_or(failure)),
            };
            if let Some(term) = found.term_of(attempt) {
                return Ok(self.log_claim(term, "read back"));
            }
            let (record, term) = found.claim(above, attempt);
            match self.save(&update(record, term), version).await {
                Ok(store::Swap::Stored) => return Ok(self.log_claim(term, "stored")),
                Ok(store::Swap::Conflict) => {}
                Err(store::Failure::Unknown(detail)) => {
                    unknown = Some(store::Failure::Unknown(detail));
                }
                Err(failure) => return Err(unknown.unwrap_or(failure)),
            }
        }
        Err(unknown.unwrap_or_else(contention))
    }

    fn lock_held(&self) -> sync::MutexGuard<'_, Option<id::Term>> {
        self.held.lock().expect("no thread panics with it")
    }

    fn log_claim(&self, term: id::Term, how: &str) -> id::Term {
        tracing::info!(key = %self.key, term, how, "claimed a term");
        term
    }

    async fn load(&self) -> Result<(Record, store::Version), store::Failure> {
        let Some(entry) = self.store.get(&self.key).await? else {
            return Ok((Record::default(), 0));
        };
        let record = serde_json::from_slice(&entry.value)
            .map_err(|error| store::Failure::NotRun(error.to_string().into()))?;
        Ok((record, entry.version))
    }

    async fn save(
        &self,
        record: &Record,
        version: store::Version,
    ) -> Result<store::Swap, store::Failure> {
        let value = serde_json::to_vec(record).expect("a record is plain data");
        self.store
            .swap(&self.key, value.into(), version, None)
            .await
    }

    fn holder(&self, term: id::Term) -> Holder {
        Holder {
            term,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }
}

fn key(group: &str) -> CompactString {
    compact_str::format_compact!("group/{group}/terms")
}

fn contention() -> store::Failure {
    store::Failure::NotRun("the group's terms are contended".into())
}

#[cfg(test)]
mod tests;
