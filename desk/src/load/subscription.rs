//! A relayed connection's way to record the load reports that arrive over it.

use std::rc;

use mangotray::id;

use crate::boot;
use crate::load::report;
use crate::load::table;
use crate::upstream;

/// The table that reports on one instance from one lending node are recorded in.
#[derive(Clone)]
pub struct Subscription {
    /// The node's reports.
    pub table: rc::Rc<table::Table>,
    /// The lending node.
    pub lender: id::Vm,
    /// The instance that it lends a connection to.
    pub instance: upstream::Id,
    /// Start time of the instance's process.
    pub born: upstream::StartTime,
}

impl Subscription {
    /// Counts a request that is sent now.
    #[must_use]
    pub fn note_sent(&self) -> table::Ticket {
        self.table
            .note_sent(&self.instance, self.born, &self.lender, boot::now())
    }

    /// Records the report in the answer to a request.
    pub fn record(&self, ticket: table::Ticket, report: report::Report) {
        metrics::counter!("mangotray_load_reports_total").increment(1);
        self.table
            .record(&self.instance, &self.lender, ticket, report);
    }

    /// Drops the report on this instance, as the lending node refused or did not answer.
    pub fn forget(&self) {
        self.table.forget(&self.instance, &self.lender, boot::now());
    }

    /// Drops all reports of the lending node, as the connection to it broke.
    pub fn forget_lender(&self) {
        self.table.forget_lender(&self.lender, boot::now());
    }
}
