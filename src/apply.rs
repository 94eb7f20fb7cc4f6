//! Puts a whole operators' file in force by compare-and-swap.
//!
//! What goes wrong: two operators apply different files at nearly the same moment, or
//! the answer to an apply is lost after it took effect. One notices by a file that
//! nobody remembers being replaced. Hence each apply swaps against the version that it
//! read, the loser is told what is in force instead, and a lost answer is settled by
//! reading back and matching the apply's own id.

use std::time;

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Key that holds the file in force.
pub const KEY: &str = "config";

/// Greatest length of a stored value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Swaps tried while answers are lost and nothing shows.
const MAX_SWAP_ATTEMPTS: u32 = 4;

/// Pause before the first read-back; doubles with each.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(20);

/// Lines shown around a difference.
const DIFF_CONTEXT_LINES: usize = 3;

/// Number of one apply, drawn by whoever applies; kept when the apply is repeated.
pub type Id = CompactString;

/// An operators' file as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct File {
    /// Grows by one with each file that is put in force.
    pub revision: id::Revision,
    /// Apply that put it in force.
    pub id: Id,
    /// Operator who applied it.
    pub by: CompactString,
    /// Whole text.
    pub text: CompactString,
}

impl File {
    /// Reads the stored form.
    ///
    /// # Errors
    /// When it is not of this form.
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

/// Wish to put a file in force.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Drawn anew for each apply (see `new_id`), the same when it is repeated.
    pub id: Id,
    /// Operator who applies.
    pub by: CompactString,
    /// Whole text, already checked.
    pub text: CompactString,
    /// Revision that the operator started from; any, if not given.
    pub base: Option<id::Revision>,
}

/// What became of an apply.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// In force by this apply.
    Applied(id::Revision),
    /// The same text was in force already; there is no new revision.
    Unchanged(id::Revision),
    /// Another file was put in force first; this one never was.
    Lost(Winner),
    /// Another file is in force; this one may have been for a while.
    Superseded(Winner),
    /// Too long to be stored.
    TooLarge {
        /// Length of the stored form in bytes.
        length: usize,
    },
}

/// The file that is in force instead.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Winner {
    /// Its revision.
    pub revision: id::Revision,
    /// Who applied it.
    pub by: CompactString,
    /// Unified diff from it to the file that was to be applied.
    pub diff: String,
}

/// What to do next, given what the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Done(Verdict),
    Swap(File),
}

/// Draws an id for a new apply.
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
/// `NotRun` when the store cannot be read.
pub async fn current(store: &dyn store::Store) -> Result<Option<File>, store::Failure> {
    Ok(load(store).await?.0)
}

/// Puts a whole file in force, or tells which one is in force instead.
///
/// Repeating an apply is safe: with the same id it is recognised, with the same text
/// it makes no new revision.
///
/// # Errors
///
/// `NotRun` when the file surely was not put in force; `Unknown` when it may be, or may
/// yet come to be: repeat the apply with the same id to learn which.
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
    // Repeats expect the same version, so that at most one of them takes effect.
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
        .unwrap_or_else(|| store::Failure::NotRun("the file's version moved".into())))
}

/// Decides what an apply does, given the file in force.
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

/// Reads from the file in force what became of a swap; `None` if it left no trace yet.
fn swap_verdict(in_force: Option<&File>, file: &File, outcome_unknown: bool) -> Option<Verdict> {
    let in_force = in_force.filter(|in_force| in_force.revision >= file.revision)?;
    if in_force.id == file.id {
        return Some(Verdict::Applied(in_force.revision));
    }
    let winner = || winner(in_force, &file.text);
    // Two files never have one revision: a rival at ours proves that ours never was.
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
    let value = serde_json::to_vec(file).expect("a file is plain text");
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
    tracing::info!(id = %request.id, by = %request.by, outcome, "apply settled");
    verdict
}

#[cfg(test)]
mod tests;
