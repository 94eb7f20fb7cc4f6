//! One finding of a check.

use std::collections;
use std::fmt;

/// How serious a finding is; errors are listed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Nodes would reject the configuration, or it cannot serve.
    Error,
    /// The configuration is accepted, but an entry has no effect or contradicts another one.
    Warning,
    /// A difference from the configuration in force.
    Change,
}

/// One finding, shown as one line.
///
/// ```
/// use mangotray_desk::configuration::finding;
/// let change = finding::Finding::change("route desk is removed").with_harm("callers are refused");
/// assert_eq!(
///     change.to_string(),
///     "change: route desk is removed (harmful: callers are refused)"
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// What was found, in one line without keys.
    pub text: String,
    /// Whom a change harms, and how.
    pub harm: Option<&'static str>,
}

impl Finding {
    /// Creates an error.
    ///
    /// ```
    /// use mangotray_desk::configuration::finding;
    /// assert_eq!(finding::Finding::error("no routes").to_string(), "error: no routes");
    /// ```
    #[must_use]
    pub fn error(text: impl Into<String>) -> Self {
        Self::new(Severity::Error, text.into())
    }

    /// Creates a warning.
    ///
    /// ```
    /// use mangotray_desk::configuration::finding;
    /// let warning = finding::Finding::warning("unknown field limits.idle");
    /// assert_eq!(warning.to_string(), "warning: unknown field limits.idle");
    /// ```
    #[must_use]
    pub fn warning(text: impl Into<String>) -> Self {
        Self::new(Severity::Warning, text.into())
    }

    /// Creates a change that harms nobody.
    ///
    /// ```
    /// use mangotray_desk::configuration::finding;
    /// assert_eq!(finding::Finding::change("route desk is added").harm, None);
    /// ```
    #[must_use]
    pub fn change(text: impl Into<String>) -> Self {
        Self::new(Severity::Change, text.into())
    }

    /// The same finding as one that harms somebody.
    #[must_use]
    pub fn with_harm(self, harm: impl Into<Option<&'static str>>) -> Self {
        Self {
            harm: harm.into(),
            ..self
        }
    }

    const fn new(severity: Severity, text: String) -> Self {
        Self {
            severity,
            text,
            harm: None,
        }
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.severity, self.text)?;
        match self.harm {
            Some(harm) => write!(formatter, " (harmful: {harm})"),
            None => Ok(()),
        }
    }
}

/// Puts findings in the order in which they are shown, errors first, and lists each line once.
/// Findings of the same severity keep their order.
///
/// ```
/// use mangotray_desk::configuration::finding;
/// let (warning, error) = (finding::Finding::warning("a"), finding::Finding::error("b"));
/// let ordered = finding::ordered(vec![warning.clone(), error.clone(), warning.clone()]);
/// assert_eq!(ordered, [error, warning]);
/// ```
#[must_use]
pub fn ordered(mut findings: Vec<Finding>) -> Vec<Finding> {
    let mut listed = collections::BTreeSet::new();
    findings.retain(|finding| listed.insert(finding.to_string()));
    findings.sort_by_key(|finding| finding.severity);
    findings
}
