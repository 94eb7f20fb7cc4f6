//! Checks a configuration against the one in force.

use crate::configuration::contradictions;
use crate::configuration::differences;
use crate::configuration::document;
use crate::configuration::errors;
use crate::configuration::finding;
use crate::configuration::label;
use crate::configuration::unused;

/// Returns what is wrong with a configuration and what it changes, errors first; `None` if no
/// configuration is in force or it is not known. Each line is listed once.
///
/// ```
/// use mangotray_desk::configuration::{check, document, finding};
/// let findings = check::check(&document::Document::default(), None);
/// assert_eq!(findings, [finding::Finding::error("the configuration has no routes")]);
/// ```
#[must_use]
pub fn check(
    proposed: &document::Document,
    in_force: Option<&document::Document>,
) -> Vec<finding::Finding> {
    let labels = label::Labels::new(in_force.into_iter().chain([proposed]));
    let mut findings = errors::find(proposed, in_force, &labels);
    findings.extend(unused::find(proposed, &labels));
    findings.extend(contradictions::find(proposed, &labels));
    if let Some(in_force) = in_force {
        findings.extend(differences::find(in_force, proposed, &labels));
    }
    finding::ordered(findings)
}
