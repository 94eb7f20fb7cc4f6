//! Decides how a batch of the extended protocol is handled as a whole.

use std::sync;

use crate::class;
use crate::classify;
use crate::extended;
use crate::prepared;
use crate::refusal;

/// How a batch is handled.
#[derive(Debug, PartialEq, Eq)]
pub enum Analysis {
    /// The batch consists of Sync and Close messages for statements only; the proxy answers it.
    Bookkeeping,
    /// The proxy answers the whole batch itself.
    Local,
    /// An upstream runs the batch.
    Run(classify::Verdict),
    /// The batch is not supported over pooled connections.
    Refuse(refusal::Error),
}

/// Decides how a batch is handled.
///
/// `references` holds the prepared statement of each message, as resolved by
/// [`prepared::Statements::resolve`].
///
/// ```
/// use mangotray::{extended, analysis};
/// let batch = [extended::Message::Sync];
/// assert_eq!(analysis::analyze(&batch, &vec![None]), analysis::Analysis::Bookkeeping);
/// ```
#[must_use]
pub fn analyze(messages: &[extended::Message], references: &prepared::References) -> Analysis {
    if messages.iter().all(is_bookkeeping) {
        return Analysis::Bookkeeping;
    }
    let plans = || {
        references
            .iter()
            .flatten()
            .map(|statement| &*statement.plan)
    };
    let refused = plans().find_map(|plan| match plan {
        classify::Plan::Refuse(error) => Some(error.clone()),
        _ => None,
    });
    if let Some(error) = refused {
        return Analysis::Refuse(error);
    }
    if plans().any(|plan| matches!(plan, classify::Plan::Local(_))) {
        return analyze_local(messages, references);
    }
    Analysis::Run(joint_verdict(messages, references))
}

fn is_bookkeeping(message: &extended::Message) -> bool {
    matches!(
        message,
        extended::Message::Sync | extended::Message::Close(extended::Target::Statement(_))
    )
}

/// Accepts a batch only if the proxy can answer all of it: a batch is not split between the
/// proxy and an upstream.
fn analyze_local(messages: &[extended::Message], references: &prepared::References) -> Analysis {
    let all_local = messages.iter().zip(references).all(|(message, reference)| {
        match reference.as_ref().map(|statement| &*statement.plan) {
            Some(classify::Plan::Local(commands)) => commands.len() == 1,
            Some(_) => false,
            None => is_bookkeeping(message),
        }
    });
    if all_local {
        return Analysis::Local;
    }
    Analysis::Refuse(refusal::Error::new(
        refusal::NOT_SUPPORTED,
        "a batch with both settings of the proxy and other statements is not supported (not run)",
    ))
}

/// Joins the verdicts of the executed statements. A batch that executes none changes no data,
/// whatever it prepares, and is a read.
fn joint_verdict(
    messages: &[extended::Message],
    references: &prepared::References,
) -> classify::Verdict {
    let verdicts: Vec<_> = messages
        .iter()
        .zip(references)
        .filter(|(message, _)| matches!(message, extended::Message::Execute { .. }))
        .map(|(_, reference)| execution_verdict(reference.as_ref()))
        .collect();
    if verdicts.is_empty() {
        return classify::Verdict::of_class(class::Class::Read);
    }
    classify::Verdict::join(verdicts)
}

/// Verdict on one Execute message; a write if its statement is unknown, as for a portal of an
/// earlier batch.
fn execution_verdict(reference: Option<&sync::Arc<prepared::Statement>>) -> classify::Verdict {
    match reference.map(|statement| &*statement.plan) {
        Some(classify::Plan::Run(verdict)) => verdict.clone(),
        Some(classify::Plan::Empty) => classify::Verdict::of_class(class::Class::Read),
        _ => classify::Verdict::of_class(class::Class::Write),
    }
}

/// Whether every statement of a batch ends a transaction, and there is at least one.
///
/// ```
/// assert!(!mangotray::analysis::ends_transaction(&[], &vec![]));
/// ```
#[must_use]
pub fn ends_transaction(messages: &[extended::Message], references: &prepared::References) -> bool {
    let all_end = messages
        .iter()
        .zip(references)
        .all(|(message, reference)| match reference {
            Some(statement) => plan_ends_transaction(&statement.plan),
            None => is_bookkeeping(message),
        });
    all_end && references.iter().any(Option::is_some)
}

/// Whether a plan is a single statement that ends a transaction.
///
/// ```
/// use mangotray::{classify, analysis};
/// assert!(analysis::plan_ends_transaction(&classify::plan("ROLLBACK")));
/// assert!(!analysis::plan_ends_transaction(&classify::plan("COMMIT; BEGIN")));
/// ```
#[must_use]
pub fn plan_ends_transaction(plan: &classify::Plan) -> bool {
    match plan {
        classify::Plan::Run(verdict) => {
            matches!(verdict.class, class::Class::Commit | class::Class::Rollback)
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests;
