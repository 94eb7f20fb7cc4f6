//! Formats the overview as text.

use std::fmt;

use crate::overview;
use crate::role;

const NO_VALUE: &str = "-";

impl fmt::Display for overview::Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16} {:>8}  {:<10} ADMIN", "VM", "REVISION", "STATE")?;
        for vm in &self.vms {
            writeln!(f, "{vm}")?;
        }
        for group in &self.groups {
            write!(f, "\n{group}")?;
        }
        Ok(())
    }
}

impl fmt::Display for overview::Vm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (revision, state) = match &self.status {
            None => (NO_VALUE.to_owned(), "no answer"),
            Some(status) if status.draining => (status.revision.to_string(), "draining"),
            Some(status) => (status.revision.to_string(), "serving"),
        };
        write!(
            f,
            "{:<16} {revision:>8}  {state:<10} {}",
            self.name, self.admin
        )
    }
}

impl fmt::Display for overview::Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let primary = self.primary.as_deref().unwrap_or("unknown");
        let gap = self
            .last_failover_gap_ms
            .map_or(NO_VALUE.to_owned(), |gap| format!("{gap} ms"));
        writeln!(
            f,
            "group {}: term {}, primary {primary}, queue {}, promotions {}, last failover gap {gap}",
            self.name, self.term, self.queue, self.promotions
        )?;
        writeln!(
            f,
            "  {:<14} {:<8} {:>14} {:>6} {:>8} {:>8} {:>8}",
            "INSTANCE", "ROLE", "STAMP", "FENCE", "LAG", "REACHED", "BUSY"
        )?;
        for instance in &self.instances {
            writeln!(f, "  {instance}")?;
        }
        Ok(())
    }
}

impl fmt::Display for overview::Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.role {
            None => NO_VALUE,
            Some(role::Role::Primary) => "primary",
            Some(role::Role::Replica) => "replica",
        };
        let lag = self
            .lag_records
            .map_or(NO_VALUE.to_owned(), |lag| lag.to_string());
        write!(
            f,
            "{:<14} {role:<8} {:>14} {:>6} {lag:>8} {:>8} {:>8}",
            self.name,
            self.stamp.to_string(),
            self.fence,
            format!("{}/{}", self.reached_by, self.known_by),
            format!("{}/{}", self.busy, self.connections),
        )
    }
}
