//! A caller's open transaction, pinned to one connection from its first statement until it ends.

use std::rc;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::attempt;
use crate::boot;
use crate::catalog;
use crate::connection;
use crate::deadline;
use crate::organisation;
use crate::pinned;
use crate::query;
use crate::reply;
use crate::statement;
use crate::upstream;
use crate::urgency;

/// Timeout of a rollback that runs in the background.
const ROLLBACK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// An open transaction.
pub(crate) struct Transaction {
    /// The caller's BEGIN.
    pub(crate) begin: attempt::Begin,
    /// The route of the session's database when the transaction began.
    pub(crate) route: rc::Rc<catalog::Route>,
    /// The organisation that it runs for.
    pub(crate) organisation: organisation::Name,
    /// The connection that it runs on; `None` before its first statement.
    pub(crate) pinned: Option<pinned::Pinned>,
    /// Whether a write has run in it.
    pub(crate) wrote: bool,
}

impl Transaction {
    /// Whether it runs on a primary, so that its commit has a position.
    pub(crate) fn runs_on_primary(&self) -> bool {
        let pinned = self.pinned.as_ref();
        pinned.is_some_and(|pinned| pinned.primary_term.is_some())
    }

    /// Runs a statement on the transaction's connection.
    ///
    /// # Errors
    /// Returns the caller's error if there is no connection, or if it was lost.
    pub(crate) async fn run(
        &mut self,
        query: &query::Query,
        values: &connection::Values,
    ) -> Result<reply::Reply, (reply::Code, CompactString)> {
        let deadline = query.arrived + self.route.timeout;
        let pinned = pinned_at(&mut self.pinned, &self.route, query.arrived)?;
        let commands = query.commands(&mut pinned.checkout, values, None, true);
        let sent = boot::now();
        let result = pinned.checkout.run(&commands, deadline).await;
        let Some(reply) = result.ok().and_then(|mut replies| replies.pop()) else {
            // No COMMIT was sent and the connection is closed: the instance rolls the
            // transaction back.
            return Err((
                reply::Code::Aborted,
                "the connection to the instance was lost".into(),
            ));
        };
        if reply.code() == Some(&reply::Code::NoStatement) {
            // The caller was told that the statement is prepared, so it is this connection that
            // has lost it.
            pinned.checkout.discard();
            return Err((
                reply::Code::Aborted,
                "the instance lost a prepared statement".into(),
            ));
        }
        self.wrote |= query.access == statement::Access::Write;
        if let Some(term) = pinned.primary_term {
            pinned.group.record_position(term, sent, reply.position);
            if reply.code() == Some(&reply::Code::ReadOnly) {
                pinned
                    .group
                    .suspect(term, "the primary refused a statement");
            }
        }
        Ok(reply)
    }

    /// Sends the caller's COMMIT. The transaction has ended if the reply's state is idle.
    ///
    /// # Errors
    /// Returns the caller's error if no answer to the COMMIT arrived.
    pub(crate) async fn commit(
        &mut self,
        request: &statement::Request,
        arrived: id::Time,
    ) -> Result<reply::Reply, (reply::Code, CompactString)> {
        let deadline = arrived + self.route.timeout;
        let pinned = pinned_at(&mut self.pinned, &self.route, arrived)?;
        let command = upstream::Command::Run {
            id: request.id.clone(),
            text: request.text.clone(),
            after: None,
        };
        let sent = boot::now();
        let reply = match pinned.checkout.run(&[command], deadline).await {
            Ok(mut replies) => replies.pop(),
            // The COMMIT was not sent. Closing the connection rolls the transaction back.
            Err(failure) if !failure.sent => return Err((reply::Code::Aborted, failure.detail)),
            Err(failure) => {
                if let Some(term) = pinned.primary_term {
                    pinned.group.suspect(term, "a commit was not answered");
                }
                return Err((reply::Code::Unsure, failure.detail));
            }
        };
        let Some(reply) = reply else {
            return Err((reply::Code::Unsure, "no answer to the commit".into()));
        };
        if let (reply::State::Idle, Some(term)) = (reply.state, pinned.primary_term) {
            pinned.group.record_position(term, sent, reply.position);
            let commits = self.wrote && reply.is_done();
            if commits && !pinned.group.acknowledge(term, reply.position) {
                let text = "the primary is being replaced".into();
                return Err((reply::Code::Unsure, text));
            }
        }
        Ok(reply)
    }

    /// Rolls back in the background; `id` is that of the caller's ROLLBACK, if any.
    ///
    /// The connection returns to the pool only after the instance has confirmed the rollback;
    /// otherwise the next statement on it would run inside this transaction.
    pub(crate) fn roll_back(
        self,
        id: Option<statement::Id>,
        executor: &async_executor::LocalExecutor<'static>,
    ) {
        let Some(mut pinned) = self.pinned else {
            return;
        };
        let rollback = async move {
            let deadline = boot::now() + ROLLBACK_TIMEOUT;
            pinned
                .checkout
                .set_urgency(urgency::Urgency::immediate(deadline));
            let result = pinned
                .checkout
                .run(&[upstream::Command::Rollback { id }], deadline)
                .await;
            let clean = result.is_ok_and(|replies| is_idle(&replies));
            if !clean {
                pinned.checkout.discard();
            }
        };
        executor.spawn(rollback).detach();
    }
}

// The connection of a transaction, set to the urgency of a statement that arrived at `arrived`.
fn pinned_at<'a>(
    pinned: &'a mut Option<pinned::Pinned>,
    route: &catalog::Route,
    arrived: id::Time,
) -> Result<&'a mut pinned::Pinned, (reply::Code, CompactString)> {
    let Some(pinned) = pinned else {
        return Err((
            reply::Code::Aborted,
            "the transaction has no connection".into(),
        ));
    };
    let urgency = deadline::urgency_in_transaction(route, arrived);
    pinned.checkout.set_urgency(urgency);
    Ok(pinned)
}

fn is_idle(replies: &[reply::Reply]) -> bool {
    replies
        .last()
        .is_some_and(|reply| reply.state == reply::State::Idle)
}
