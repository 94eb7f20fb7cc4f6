//! Replaces the operators' file in the store by compare-and-swap.
//!
//! Two failures are guarded against: two operators apply different files at nearly the same
//! time, so that one replaces the other's file without noticing, and the answer to a swap is
//! lost after the swap took effect. Each swap therefore expects the version that was read
//! before it, the operator whose swap conflicts gets the file in force and a diff, and after a
//! lost answer the file is read back and the id of its apply compared.

use std::time;

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Store key of the file in force.
pub const KEY: &str = "config";

/// Largest value in bytes that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of swaps that one `put` sends while reading back shows no effect of them.
const MAX_SWAP_ATTEMPTS: u32 = 4;

/// Delay before the first read-back after a lost answer; doubles with each attempt.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(20);

/// Unchanged lines shown before and after each difference.
const DIFF_CONTEXT_LINES: usize = 3;

/// Random id of one apply, chosen by the client and kept when the apply is repeated.
pub type Id = CompactString;

/// An operators' file in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct File {
    /// Increases by one with each file that is put in force.
    pub revision: id::Revision,
    /// Id of the apply that put it in force.
    pub id: Id,
    /// Operator who applied it.
    pub by: CompactString,
    /// Text of the whole file.
    pub text: CompactString,
}

impl File {
    /// Decodes the stored JSON.
    ///
    /// # Errors
    /// When `value` is not the JSON of a file.
    ///
    /// ```
    /// let stored = br#"{"revision":1,"id":"a","by":"desk","text":"t"}"#;
    /// assert_eq!(mangotray::apply::File::decode(stored).unwrap().revision, 1);
    /// assert!(mangotray::apply::File::decode(b"{}").is_err());
    /// ```
    pub fn decode(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }
}

/// A request to put a file in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// New for each apply (see `new_id`) and kept when the apply is repeated.
    pub id: Id,
    /// Operator who applies.
    pub by: CompactString,
    /// Text of the whole file, already checked.
    pub text: CompactString,
    /// Revision that the file is based on; `None` accepts any.
    pub base: Option<id::Revision>,
}

/// Result of an apply.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// This apply put the file in force as this revision.
    Applied(id::Revision),
    /// The same text was already in force as this revision; no new one was made.
    Unchanged(id::Revision),
    /// Another file was put in force first; this one was never in force.
    Lost(Winner),
    /// Another file is in force; this one may have been in force before it.
    Superseded(Winner),
    /// The stored form is longer than [`MAX_VALUE_BYTES`].
    TooLarge {
        /// Length of the stored form in bytes.
        length: usize,
    },
}

/// The file that is in force instead of the applied one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Winner {
    /// Its revision.
    pub revision: id::Revision,
    /// Operator who applied it.
    pub by: CompactString,
    /// Unified diff from it to the file that was to be applied.
    pub diff: String,
}

/// Next step of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Done(Verdict),
    Swap(File),
}

/// Returns a random id for a new apply.
///
/// ```
/// assert_ne!(mangotray::apply::new_id(), mangotray::apply::new_id());
/// ```
#[must_use]
pub fn new_id() -> Id {
    compact_str::format_compact!("{:016x}", fastrand::u64(..))
}

/// Reads the file in force.
///
/// # Errors
///
/// `NotRun` when the store cannot be read or its value cannot be decoded.
pub async fn current(store: &dyn store::Store) -> Result<Option<File>, store::Failure> {
    Ok(load(store).await?.0)
}

/// Puts a file in force, or returns the one that is in force instead.
///
/// Repeating an apply is safe: the same id is recognised, and the same text makes no new
/// revision.
///
/// # Errors
///
/// `NotRun` when the file was certainly not put in force; `Unknown` when it may be in force or
/// may still come into force: repeat the apply with the same id to find out.
pub async fn put(store: &dyn store::Store, request: &Request) -> Result<Verdict, store::Failure> {
    let (in_force, version) = load(store).await?;
    let file = match decide(in_force.as_ref(), request) {
        Step::Done(verdict) => return Ok(log_verdict(request, verdict)),
        Step::Swap(file) => file,
    };
    let value = encode(&file);
    let length = value.len();
    if length > MAX_VALUE_BYTES {
        return Ok(Verdict::TooLarge { length });
    }
    // All attempts expect the same version, so at most one of them takes effect.
    let mut unknown_failure = None;
    for attempt in 0..MAX_SWAP_ATTEMPTS {
        match store.swap(KEY, value.clone(), version, None).await {
            Ok(store::Swap::Stored) => {
                return Ok(log_verdict(request, Verdict::Applied(file.revision)));
            }
            Ok(store::Swap::Conflict) => {}
            Err(store::Failure::Unknown(detail)) => {
                unknown_failure = Some(store::Failure::Unknown(detail));
                async_io::Timer::after(INITIAL_BACKOFF * 2_u32.pow(attempt)).await;
            }
            Err(failure) => return Err(unknown_failure.unwrap_or(failure)),
        }
        let in_force = match load(store).await {
            Ok((in_force, _)) => in_force,
            Err(failure) => return Err(unknown_failure.unwrap_or(failure)),
        };
        if let Some(verdict) = swap_verdict(in_force.as_ref(), &file, unknown_failure.is_some()) {
            return Ok(log_verdict(request, verdict));
        }
    }
    Err(unknown_failure
        .unwrap_or_else(|| store::Failure::NotRun("the version of the stored file changed".into())))
}

/// Decides the next step of an apply from the file in force.
fn decide(in_force: Option<&File>, request: &Request) -> Step {
    let revision = in_force.map_or(0, |in_force| in_force.revision);
    if let Some(in_force) = in_force {
        if in_force.id == request.id {
            return Step::Done(Verdict::Applied(revision));
        }
        if in_force.text == request.text {
            return Step::Done(Verdict::Unchanged(revision));
        }
    }
    match in_force {
        Some(in_force) if request.base.is_some_and(|base| base != revision) => {
            Step::Done(Verdict::Lost(winner(in_force, &request.text)))
        }
        _ => Step::Swap(File {
            revision: revision + 1,
            id: request.id.clone(),
            by: request.by.clone(),
            text: request.text.clone(),
        }),
    }
}

/// Derives the verdict on a swap from the file in force; `None` while the swap shows no effect.
///
/// `outcome_unknown` says that the answer to at least one attempt was lost.
fn swap_verdict(in_force: Option<&File>, file: &File, outcome_unknown: bool) -> Option<Verdict> {
    let in_force = in_force.filter(|in_force| in_force.revision >= file.revision)?;
    if in_force.id == file.id {
        return Some(Verdict::Applied(in_force.revision));
    }
    let winner = || winner(in_force, &file.text);
    // Two files never share a revision, so another file at the same revision proves that this
    // one was never in force. A file at a later revision may have replaced it.
    if outcome_unknown && in_force.revision > file.revision {
        return Some(Verdict::Superseded(winner()));
    }
    if in_force.text == file.text {
        return Some(Verdict::Unchanged(in_force.revision));
    }
    Some(Verdict::Lost(winner()))
}

fn winner(in_force: &File, text: &str) -> Winner {
    let diff = similar::TextDiff::from_lines(in_force.text.as_str(), text)
        .unified_diff()
        .context_radius(DIFF_CONTEXT_LINES)
        .header("in force", "applied")
        .to_string();
    Winner {
        revision: in_force.revision,
        by: in_force.by.clone(),
        diff,
    }
}

fn encode(file: &File) -> bytes::Bytes {
    let value = serde_json::to_vec(file).expect("a file always serializes to JSON");
    value.into()
}

async fn load(store: &dyn store::Store) -> Result<(Option<File>, store::Version), store::Failure> {
    let Some(entry) = store.get(KEY).await? else {
        return Ok((None, 0));
    };
    let file = File::decode(&entry.value)
        .map_err(|error| store::Failure::NotRun(error.to_string().into()))?;
    Ok((Some(file), entry.version))
}

fn log_verdict(request: &Request, verdict: Verdict) -> Verdict {
    let outcome = match &verdict {
        Verdict::Applied(_) => "applied",
        Verdict::Unchanged(_) => "unchanged",
        Verdict::Lost(_) => "lost",
        Verdict::Superseded(_) => "superseded",
        Verdict::TooLarge { .. } => "too-large",
    };
    tracing::info!(id = %request.id, by = %request.by, outcome, "apply finished");
    verdict
}

#[cfg(test)]
mod tests;
