//! Unique terms of a database group, claimed by compare-and-swap in the platform's store.
//!
//! If two proxies promoted instances with the same term, the logs of both could not be told apart
//! and a confirmed write could be lost. A term is therefore used only after the store has confirmed
//! that it belongs to this claim, and no term is handed out twice: after a claim with an unknown
//! outcome a higher term is claimed.

use std::sync;

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Compare-and-swap attempts before an update of a contended record fails.
const MAX_SWAP_ATTEMPTS: usize = 32;

/// Most reservations kept in the record. They are informational, since a term is never handed out
/// twice; the limit keeps the record small while VMs are replaced.
const MAX_RESERVATIONS: usize = 16;

/// Random number of one claim, by which a process recognises its own claim in the record.
pub type Attempt = u64;

/// Holder of a term.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The claimed term.
    pub term: id::Term,
    /// VM that claimed it.
    pub vm: id::Vm,
    /// Process that claimed it; changes when the process restarts.
    pub incarnation: id::Incarnation,
}

/// A recorded promotion.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Promotion {
    /// The term and the process that promoted the instance.
    #[serde(flatten)]
    pub holder: Holder,
    /// The promoted instance.
    pub instance: id::Index,
}

/// Record of a group's terms in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Lowest term that has not been handed out.
    pub next: id::Term,
    /// Last recorded promotion.
    pub current: Option<Promotion>,
    /// Terms claimed in advance, the latest at the end.
    pub reserved: Vec<Holder>,
    /// Term and attempt of the last claim.
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
    /// Claims the lowest unused term above `above`; returns the new record and the term.
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

    /// Adds a reservation, which replaces earlier ones of the same VM.
    #[must_use]
    pub fn reserve(mut self, holder: Holder) -> Self {
        self.reserved.retain(|other| other.vm != holder.vm);
        self.reserved.push(holder);
        let excess = self.reserved.len().saturating_sub(MAX_RESERVATIONS);
        self.reserved.drain(..excess);
        self
    }

    /// Records a promotion; `None` if the same or a later one is already recorded.
    ///
    /// ```
    /// use mangotray::term;
    /// let holder = term::Holder { term: 4, vm: "vm-1".into(), incarnation: 1 };
    /// let promotion = term::Promotion { holder, instance: 2 };
    /// let record = term::Record::default().record_promotion(promotion.clone()).unwrap();
    /// assert!(record.next > 4);
    /// assert!(record.record_promotion(promotion).is_none());
    /// ```
    #[must_use]
    pub fn record_promotion(&self, promotion: Promotion) -> Option<Self> {
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

    /// Returns the term of an attempt whose answer was lost, if it is the last claim.
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

/// Claims terms of one group on behalf of one process.
pub struct Registry {
    store: sync::Arc<dyn store::Store>,
    key: CompactString,
    vm: id::Vm,
    incarnation: id::Incarnation,
    reserved: sync::Mutex<Option<id::Term>>,
}

impl Registry {
    /// Creates the registry of a group without reading from the store.
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
            reserved: sync::Mutex::new(None),
        }
    }

    /// Claims an unused term above `above`; no other claim returns the same term.
    ///
    /// # Errors
    ///
    /// `NotRun` if nothing was claimed; `Unknown` if a term may have been claimed, which is
    /// harmless, since that term is not handed out again.
    pub async fn claim(&self, above: id::Term) -> Result<id::Term, store::Failure> {
        self.claim_with(above, |record, _| record).await
    }

    /// Claims a term in advance unless one above `above` is already held; returns the held term.
    ///
    /// # Errors
    ///
    /// Same as for [`Self::claim`].
    pub async fn reserve(&self, above: id::Term) -> Result<id::Term, store::Failure> {
        if let Some(term) = self.reserved_term().filter(|term| *term > above) {
            return Ok(term);
        }
        let term = self
            .claim_with(above, |record, term| record.reserve(self.holder(term)))
            .await?;
        *self.lock_reserved() = Some(term);
        Ok(term)
    }

    /// Returns the term claimed in advance, if any, and keeps it held.
    #[must_use]
    pub fn reserved_term(&self) -> Option<id::Term> {
        *self.lock_reserved()
    }

    /// Takes the term claimed in advance, without access to the store.
    ///
    /// A term that is not above `above` is outdated and dropped.
    pub fn take_reserved(&self, above: id::Term) -> Option<id::Term> {
        let held = self.lock_reserved().take();
        held.filter(|term| *term > above)
    }

    /// Records in the store that `instance` was promoted with `term`.
    ///
    /// # Errors
    ///
    /// `NotRun` or `Unknown`; the call can be repeated safely.
    pub async fn publish(&self, term: id::Term, instance: id::Index) -> Result<(), store::Failure> {
        let promotion = Promotion {
            holder: self.holder(term),
            instance,
        };
        for _ in 0..MAX_SWAP_ATTEMPTS {
            let (record, version) = self.load().await?;
            let Some(record) = record.record_promotion(promotion.clone()) else {
                return Ok(());
            };
            if self.save(&record, version).await? == store::Swap::Stored {
                return Ok(());
            }
        }
        Err(contention())
    }

    /// Last recorded promotion. Only a hint, since promotions continue during an outage of the
    /// store.
    ///
    /// # Errors
    ///
    /// `NotRun` if the store cannot be read.
    pub async fn current(&self) -> Result<Option<Promotion>, store::Failure> {
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

    fn lock_reserved(&self) -> sync::MutexGuard<'_, Option<id::Term>> {
        self.reserved
            .lock()
            .expect("no thread panics while holding the lock")
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
        let value = serde_json::to_vec(record).expect("a record can always be serialized");
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
    store::Failure::NotRun("too many concurrent updates of the group's terms".into())
}

#[cfg(test)]
mod tests;
