//! Finds an instance for one statement, and tries again where that may help.

use std::rc;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::catalog;
use crate::connection;
use crate::group;
use crate::limit;
use crate::organisation;
use crate::pinned;
use crate::pool;
use crate::reply;
use crate::retry;
use crate::source;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;
use crate::work;

/// Pause before a statement that was refused as not run is offered again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(15);

/// Pause before a read that all instances refused is offered to them again: a replica that
/// is behind applies a few more commits meanwhile, and a full queue of 24 shrinks by six.
const ROUND_DELAY: time::Duration = time::Duration::from_millis(40);

/// Instances that one read-only transaction is offered to before any is offered it again.
const MAX_INSTANCES: usize = 4;

/// Longest wait of a read for a connection to one instance; then another is asked.
const LEND_TIMEOUT: time::Duration = time::Duration::from_millis(120);

/// Part of a read's timeout that one instance gets; the rest is for another, where this
/// one has gone silent. Above the longest work (220 ms) and a full queue (160 ms).
const INSTANCE_TIMEOUT_PERCENT: u32 = 50;

/// What became of one statement.
pub enum Outcome {
    /// An instance's answer, or that none came.
    Answered(reply::Reply),
    /// Proven not run, and not worth another try.
    Refused(reply::Code, CompactString),
}

/// A caller's request for a transaction, which an instance hears of with the first statement.
///
/// It is forwarded under the caller's own id, so that the instance's log and this node's tell
/// of the same request.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The caller's id.
    pub id: statement::Id,
    /// It only reads.
    pub read_only: bool,
    /// When it arrived.
    pub arrived: id::Time,
}

/// What one statement's tries have in common.
pub struct Attempt<'a> {
    /// Group that the route leads to.
    pub group: rc::Rc<group::Group>,
    /// Route of the session's database.
    pub route: &'a catalog::Route,
    /// For whom it runs.
    pub organisation: &'a organisation::Name,
    /// The session's values.
    pub values: &'a connection::Values,
    /// The session's own last commit.
    pub last_commit: Option<stamp::Stamp>,
}

impl Attempt<'_> {
    /// Reads from an instance that is provably fresh enough.
    pub async fn read(&self, work: &work::Work) -> Outcome {
        let need = self.need(work.arrived, work.arrived);
        let urgency = limit::urgency(self.route, work.arrived);
        let mut tried = Vec::new();
        let mut reason = retry::Reason::Unreachable;
        loop {
            let Some(source) = self.group.source(&need, &tried).await else {
                // All were tried, or none is fresh enough: again from the start, if the
                // reason may pass while the caller still waits.
                let limit = retry_deadline(&reason, &urgency, need.deadline);
                let may_retry = !tried.is_empty() && !matches!(reason, retry::Reason::Failed(_));
                if may_retry && sleep_before(ROUND_DELAY, limit).await {
                    tried.clear();
                    continue;
                }
                break;
            };
            tried.push(source.pool.id());
            match self.read_at(work, &source, urgency).await {
                Ok(reply) => return Outcome::Answered(reply),
                Err(retry::Reason::Unsuitable) => {}
                Err(found) => reason = found,
            }
        }
        // A read leaves nothing behind, so that refusing it is true wherever it ran.
        Outcome::Refused(
            refusal_code(reason),
            "no instance could serve this read".into(),
        )
    }

    /// One attempt of a read; the error tells why another instance may do better.
    async fn read_at(
        &self,
        work: &work::Work,
        source: &source::Source,
        urgency: urgency::Urgency,
    ) -> Result<reply::Reply, retry::Reason> {
        let (group, route) = (&self.group, self.route);
        let wait = urgency.awaited.min(boot::now() + LEND_TIMEOUT);
        let lent = source
            .pool
            .lend(urgency, self.organisation, self.values, wait)
            .await;
        let mut lent = lent.map_err(retry::Reason::from_shortage)?;
        let commands = work.commands(&mut lent, self.values, source.after, false);
        let sent = boot::now();
        let limit = urgency
            .awaited
            .min(sent + route.timeout * INSTANCE_TIMEOUT_PERCENT / 100);
        let replies = lent.run_unless_silent(&commands, limit).await;
        let mut replies = replies.map_err(|failure| {
            tracing::info!(request = %work.id, version = route.version, group = %group.name, instance = %source.pool.id(),
                sent = failure.sent, detail = %failure.detail, "read not answered");
            if !failure.sent {
                return retry::Reason::from_unsent(&failure);
            }
            self.note_lost_answer(source);
            retry::Reason::Failed(reply::Code::Aborted)
        })?;
        let reply = replies.pop().ok_or(retry::Reason::Unsuitable)?;
        if let Some(term) = source.leads {
            group.saw_position(term, sent, reply.position);
        }
        let Some(code) = reply.code() else {
            count_read(source.leads.is_some());
            tracing::info!(request = %work.id, version = route.version, group = %group.name, instance = %source.pool.id(),
                term = source.leads, after = source.after.map(tracing::field::display),
                waited_ms = sent.saturating_sub(work.arrived).as_millis(),
                took_ms = boot::now().saturating_sub(sent).as_millis(), "read served");
            return Ok(reply);
        };
        metrics::counter!("mangotray_read_retries_total").increment(1);
        tracing::info!(request = %work.id, version = route.version, group = %group.name, instance = %source.pool.id(),
            ?code, applied = %source.pool.applied(),
            after = source.after.map(tracing::field::display), "read not served here");
        match code {
            reply::Code::Behind => source.pool.note_behind(),
            reply::Code::NoStatement => lent.forget(),
            _ => {}
        }
        Err(retry::Reason::from_code(code))
    }

    /// Writes at the primary; another try only where nothing was sent, or the instance says
    /// that it did not run.
    pub async fn write(&self, work: &work::Work) -> Outcome {
        let (group, route) = (&self.group, self.route);
        let wait = self.primary_wait_deadline(work.arrived);
        let urgency = limit::urgency(self.route, work.arrived);
        loop {
            let Some((pool, term)) = group.primary(wait).await else {
                return Outcome::Refused(reply::Code::Busy, self.no_primary_text());
            };
            let mut lent = match pool
                .lend(urgency, self.organisation, self.values, urgency.until)
                .await
            {
                Ok(lent) => lent,
                Err(pool::Shortage::Late) => {
                    return Outcome::Refused(reply::Code::Busy, "no connection is free".into());
                }
                Err(shortage) => {
                    if shortage == pool::Shortage::Down {
                        group.doubt(term, "no connection to the primary");
                    }
                    let reason = retry::Reason::from_shortage(shortage);
                    if !delay_retry(retry_deadline(&reason, &urgency, wait)).await {
                        return Outcome::Refused(reply::Code::Busy, "primary out of reach".into());
                    }
                    continue;
                }
            };
            let commands = work.commands(&mut lent, self.values, None, false);
            let sent = boot::now();
            let reply = match lent
                .run(&commands, urgency.awaited)
                .await
                .map(|mut replies| replies.pop())
            {
                Ok(Some(reply)) => reply,
                Ok(None) => return unsure("no answer"),
                Err(failure) if failure.sent => {
                    group.doubt(term, "a write was not answered");
                    return unsure(&failure.detail);
                }
                Err(failure) => {
                    drop(lent);
                    let reason = retry::Reason::from_unsent(&failure);
                    if delay_retry(retry_deadline(&reason, &urgency, wait)).await {
                        continue;
                    }
                    return Outcome::Refused(reply::Code::Busy, failure.detail);
                }
            };
            group.saw_position(term, sent, reply.position);
            match reply.code() {
                None => {
                    tracing::info!(request = %work.id, version = route.version, group = %group.name, instance = %pool.id(),
                        term, waited_ms = sent.saturating_sub(work.arrived).as_millis(),
                        took_ms = boot::now().saturating_sub(sent).as_millis(), "write done");
                    return Outcome::Answered(reply);
                }
                Some(reply::Code::ReadOnly) => group.doubt(term, "the primary refused a write"),
                Some(reply::Code::NoStatement) => lent.forget(),
                Some(code) if code.not_run() => {}
                Some(_) => return Outcome::Answered(reply),
            }
            let reason = reply
                .code()
                .map_or(retry::Reason::Unsuitable, retry::Reason::from_code);
            metrics::counter!("mangotray_write_retries_total").increment(1);
            tracing::info!(request = %work.id, version = route.version, group = %group.name, instance = %pool.id(), term,
                code = ?reply.code(), "write not run");
            drop(lent);
            if !delay_retry(retry_deadline(&reason, &urgency, wait)).await {
                return Outcome::Answered(reply);
            }
        }
    }

    fn need(&self, first: id::Time, arrived: id::Time) -> source::Need {
        let route = self.route;
        let own = match route.freshness {
            catalog::Freshness::Own(_) => self.last_commit,
            _ => None,
        };
        source::Need {
            arrived: first,
            freshness: route.freshness,
            writes: false,
            own,
            organisation: self.organisation.clone(),
            deadline: if route.freshness == catalog::Freshness::Current {
                self.primary_wait_deadline(arrived)
            } else {
                self.wait_deadline(arrived)
            },
        }
    }

    fn note_lost_answer(&self, source: &source::Source) {
        tracing::info!(group = %self.group.name, instance = %source.pool.id(),
            "an answer to a read was lost");
        source.pool.suspect(self.organisation);
        if let Some(term) = source.leads {
            self.group.doubt(term, "a read was not answered");
        }
    }

    /// Opens a transaction for a statement that arrived at `arrived`.
    ///
    /// # Errors
    /// What the caller is told when no instance opened it in time.
    pub async fn open(
        &self,
        begin: &Begin,
        arrived: id::Time,
    ) -> Result<pinned::Pinned, (reply::Code, CompactString)> {
        let mut need = self.need(begin.arrived, arrived);
        if !begin.read_only {
            // What it reads may be as old as its route accepts; whether the primary still leads when it
            // writes shows at the commit.
            need.writes = true;
            need.deadline = self.primary_wait_deadline(arrived);
        }
        let urgency = limit::urgency(self.route, arrived);
        let mut tried = Vec::new();
        loop {
            let Some(source) = self.group.source(&need, &tried).await else {
                return Err((
                    reply::Code::Busy,
                    "no instance could open the transaction".into(),
                ));
            };
            let reason = match self.open_at(&source, begin, &urgency).await {
                Ok(pinned) => return Ok(pinned),
                Err(reason) => reason,
            };
            if begin.read_only && tried.len() + 1 < MAX_INSTANCES {
                tried.push(source.pool.id());
            }
            if !delay_retry(retry_deadline(&reason, &urgency, need.deadline)).await {
                return Err((
                    reply::Code::Busy,
                    "no instance opened the transaction in time".into(),
                ));
            }
        }
    }

    async fn open_at(
        &self,
        source: &source::Source,
        begin: &Begin,
        urgency: &urgency::Urgency,
    ) -> Result<pinned::Pinned, retry::Reason> {
        let group = &self.group;
        let lent = source
            .pool
            .lend(*urgency, self.organisation, self.values, urgency.until)
            .await;
        let mut lent = lent.map_err(|shortage| {
            if let (pool::Shortage::Down, Some(term)) = (shortage, source.leads) {
                group.doubt(term, "no connection to the primary");
            }
            retry::Reason::from_shortage(shortage)
        })?;
        let mut commands = lent.prelude(self.values, None, false);
        commands.push(upstream::Command::Begin {
            id: begin.id.clone(),
            read_only: begin.read_only,
            after: source.after,
        });
        // Alone, without the first statement: were this refused, a statement behind it
        // would run outside of any transaction.
        let deadline = boot::now() + self.route.timeout;
        let mut replies = lent.run(&commands, deadline).await.map_err(|failure| {
            if failure.sent {
                retry::Reason::Unreachable
            } else {
                retry::Reason::from_unsent(&failure)
            }
        })?;
        let reply = replies.pop().ok_or(retry::Reason::Unsuitable)?;
        match reply.code() {
            None if reply.state == reply::State::Open => {
                return Ok(pinned::Pinned {
                    lent,
                    group: rc::Rc::clone(group),
                    primary_term: source.leads,
                });
            }
            Some(reply::Code::Behind) => source.pool.note_behind(),
            Some(reply::Code::ReadOnly) => {
                if let Some(term) = source.leads {
                    group.doubt(term, "the primary refused a transaction");
                }
            }
            _ => {}
        }
        if reply.state != reply::State::Idle {
            lent.discard();
        }
        Err(reply
            .code()
            .map_or(retry::Reason::Unsuitable, retry::Reason::from_code))
    }

    // How long a statement may wait for an instance.
    fn wait_deadline(&self, arrived: id::Time) -> id::Time {
        limit::wait(self.route, arrived, self.group.roster().is_lost())
    }

    // The same where only the primary will do. While a promotion is held back, or the store is
    // away, a caller that waits each time until it is refused learns nothing for seconds.
    fn primary_wait_deadline(&self, arrived: id::Time) -> id::Time {
        let vacant = limit::is_vacant(self.group.vacancy().since, boot::now());
        limit::wait(self.route, arrived, vacant || self.group.roster().is_lost())
    }

    // What a caller is told that needs a primary.
    fn no_primary_text(&self) -> CompactString {
        let now = boot::now();
        match self.group.vacancy().since {
            Some(since) if limit::is_vacant(Some(since), now) => format_compact!(
                "no primary for {} s, come back in {} ms",
                now.saturating_sub(since).as_secs(),
                limit::COME_BACK.as_millis()
            ),
            _ => "no primary for now".into(),
        }
    }
}

// How long a statement may still wait for another try.
fn retry_deadline(reason: &retry::Reason, urgency: &urgency::Urgency, limit: id::Time) -> id::Time {
    if *reason == retry::Reason::Overloaded {
        metrics::counter!("mangotray_crowded_total").increment(1);
    }
    reason.retry_until(urgency.until, limit)
}

fn unsure(detail: &str) -> Outcome {
    let reply = reply::Reply::error(reply::Code::Unsure, detail, reply::State::Idle);
    Outcome::Answered(reply)
}

// What a caller is told of a read that no instance served: codes that promise that
// nothing is kept, so that it may come back at once.
fn refusal_code(reason: retry::Reason) -> reply::Code {
    match reason {
        retry::Reason::Overloaded | retry::Reason::Unreachable | retry::Reason::Unsuitable => {
            reply::Code::Busy
        }
        retry::Reason::Failed(code @ (reply::Code::Aborted | reply::Code::Behind)) => code,
        retry::Reason::Failed(_) => reply::Code::Aborted,
    }
}

fn count_read(primary: bool) {
    let source = if primary { "primary" } else { "replica" };
    metrics::counter!("mangotray_reads_total", "source" => source).increment(1);
}

async fn delay_retry(deadline: id::Time) -> bool {
    sleep_before(RETRY_DELAY, deadline).await
}

async fn sleep_before(delay: time::Duration, deadline: id::Time) -> bool {
    if boot::now() + delay >= deadline {
        return false;
    }
    wait::sleep(delay).await;
    true
}
