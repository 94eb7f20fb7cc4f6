//! A caller that sends each request to a randomly chosen proxy and checks every answer.

use std::collections;
use std::net;
use std::sync;
use std::time;

use compact_str::CompactString;

use crate::history;
use crate::ledger;
use crate::link;
use crate::note;
use crate::profile;
use crate::query;
use crate::verdict;

/// Number of its newest writes that a caller's read of its own rows asks for.
const OWN_ROWS_LIMIT: u32 = 50;

const HISTOGRAM_RESIZES: &str = "histograms resize themselves";

/// Settings of a caller.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Sizes and statements.
    pub profile: sync::Arc<profile::Profile>,
    /// Database to work on.
    pub database: CompactString,
    /// Proxies to choose from.
    pub proxies: sync::Arc<[net::SocketAddr]>,
    /// Confirmed writes of all callers of the group.
    pub history: sync::Arc<history::History>,
    /// Name, unique in the run.
    pub name: CompactString,
    /// Seed of the caller's random choices.
    pub seed: u64,
    /// Longest wait for one answer; must exceed the deadline for late answers to be counted.
    pub answer_timeout: time::Duration,
}

/// One caller with at most one connection to each proxy.
#[derive(Debug)]
pub struct Caller {
    plan: Plan,
    links: Vec<Option<link::Link>>,
    random: fastrand::Rng,
    sequence: u32,
    confirmed: collections::BTreeMap<u32, ledger::Item>,
    note: note::Note,
}

impl Caller {
    /// Creates a caller without connections.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self {
            links: plan.proxies.iter().map(|_| None).collect(),
            random: fastrand::Rng::with_seed(plan.seed),
            sequence: 0,
            confirmed: collections::BTreeMap::new(),
            note: note::Note::new(),
            plan,
        }
    }

    /// Returns everything recorded so far.
    #[must_use]
    pub fn finish(self) -> note::Note {
        self.note
    }

    /// Pauses, draws a proxy and a kind of request, and runs the request.
    pub async fn run_request(&mut self) {
        let pause_factor = self.random.f64() * 2.0;
        tokio::time::sleep(self.plan.profile.pause.mul_f64(pause_factor)).await;
        let proxy = self.choose_proxy().await;
        match self.plan.profile.mix.kind(self.random.u32(..100)) {
            profile::Kind::Write => {
                let item = self.random.u32(1..=profile::ITEMS);
                let unbatched = self.random.u32(..100) < self.plan.profile.unbatched_percent;
                self.write(proxy, item, unbatched).await;
            }
            profile::Kind::OwnRows => self.read_own_rows(proxy).await,
            profile::Kind::Item => self.read_item(proxy).await,
            profile::Kind::Listing => self.read_listing(proxy).await,
        }
    }

    /// Draws one of the proxies that accept connections, as a load balancer would. When
    /// none does, draws any proxy; the request is then counted as refused.
    async fn choose_proxy(&mut self) -> usize {
        let first = self.random.usize(..self.links.len());
        for offset in 0..self.links.len() {
            let proxy = (first + offset) % self.links.len();
            if self.connected_link(proxy).await.is_some() {
                return proxy;
            }
        }
        first
    }

    /// Writes once to the prober's item, in one batch, and records the write if confirmed.
    pub async fn probe(&mut self) {
        let sent = time::Instant::now();
        let proxy = self.choose_proxy().await;
        let outcome = self.write(proxy, profile::PROBER_ITEM, false).await;
        if outcome == ledger::Outcome::Confirmed {
            let confirmed = time::Instant::now();
            self.note.probes.push(note::Probe { sent, confirmed });
        }
    }

    /// Runs one transaction, statement by statement or as one batch.
    async fn write(
        &mut self,
        proxy: usize,
        item: ledger::Item,
        unbatched: bool,
    ) -> ledger::Outcome {
        let booking = self.new_booking(item);
        let statements = self.plan.profile.write_statements(&booking);
        let batches = if unbatched {
            statements.to_vec()
        } else {
            vec![statements.join("; ")]
        };
        let start = time::Instant::now();
        let outcome = self.transact(proxy, &batches).await;
        if outcome == ledger::Outcome::Confirmed {
            self.confirm(booking.sequence, item, start);
        }
        self.note.attempts.push(ledger::Attempt {
            key: booking.key,
            marker: booking.marker,
            item,
            outcome,
        });
        outcome
    }

    fn confirm(&mut self, sequence: u32, item: ledger::Item, start: time::Instant) {
        let now = time::Instant::now();
        self.plan.history.record(item, now);
        self.confirmed.insert(sequence, item);
        if item != profile::PROBER_ITEM {
            let latency = note::micros(now - start);
            self.note
                .write_latency
                .record(latency)
                .expect(HISTOGRAM_RESIZES);
        }
    }

    fn new_booking(&mut self, item: ledger::Item) -> query::Booking {
        self.sequence += 1;
        query::Booking {
            key: ledger::key(&self.plan.name, self.sequence),
            caller: self.plan.name.clone(),
            sequence: self.sequence,
            marker: self.new_marker(),
            item,
        }
    }

    fn new_marker(&mut self) -> CompactString {
        compact_str::format_compact!("m{:016x}", self.random.u64(..))
    }

    /// Sends the batches one after the other; the last one commits. If an earlier one is
    /// not answered with success, the commit is not sent. The audit checks that such a
    /// transaction leaves no rows.
    async fn transact(&mut self, proxy: usize, batches: &[String]) -> ledger::Outcome {
        let Some((commit, before)) = batches.split_last() else {
            return ledger::Outcome::NotRun;
        };
        for batch in before {
            let Some(link::Answer::Rows(_)) = self.ask(proxy, batch).await else {
                self.abandon(proxy).await;
                return ledger::Outcome::NotRun;
            };
        }
        let Some(answer) = self.ask(proxy, commit).await else {
            return ledger::Outcome::NotRun;
        };
        let outcome = answer.told();
        if outcome != ledger::Outcome::Confirmed {
            self.abandon(proxy).await;
        }
        outcome
    }

    /// Ends a failed transaction, at random by a rollback or by closing the connection.
    async fn abandon(&mut self, proxy: usize) {
        if self.random.bool() {
            self.links[proxy] = None;
        } else if self.links[proxy].is_some() {
            let _ = self.ask(proxy, "ROLLBACK").await;
        }
    }

    /// Sends one request and waits for the answer; `None` when no connection could be
    /// opened, so that nothing was sent.
    async fn ask(&mut self, proxy: usize, sql: &str) -> Option<link::Answer> {
        let answer_timeout = self.plan.answer_timeout;
        let link = self.connected_link(proxy).await?;
        let (answer, elapsed) = link.query(sql, answer_timeout).await;
        self.note
            .record_duration(elapsed, self.plan.profile.deadline);
        match &answer {
            link::Answer::Rows(_) => {}
            link::Answer::Refused(_, refusal) => {
                *self.note.refusals.entry(refusal.clone()).or_default() += 1;
            }
            link::Answer::Lost => {
                self.note.unanswered += 1;
                self.links[proxy] = None;
            }
        }
        Some(answer)
    }

    async fn connected_link(&mut self, proxy: usize) -> Option<&link::Link> {
        let open = self.links[proxy].as_ref().is_some_and(link::Link::is_open);
        if !open {
            let delay = self.plan.profile.caller_delay;
            let address = self.plan.proxies[proxy];
            let opened = link::Link::open(address, &self.plan.database, delay).await;
            self.links[proxy] = opened.ok();
        }
        self.links[proxy].as_ref()
    }

    async fn read_own_rows(&mut self, proxy: usize) {
        let request = self.new_marker();
        let after = self.sequence.saturating_sub(OWN_ROWS_LIMIT);
        let sql = self
            .plan
            .profile
            .own_rows_query(&request, &self.plan.name, after);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let confirmed = self.confirmed.range(after + 1..).map(|(number, _)| *number);
        let judged = verdict::OwnRow::parse(&rows)
            .map(|rows| verdict::Verdict::own_rows(&rows, &request, &self.plan.name, confirmed));
        self.record_verdict(proxy, &sql, judged);
    }

    async fn read_item(&mut self, proxy: usize) {
        let request = self.new_marker();
        let item = self.random.u32(1..=profile::ITEMS);
        let sql = self.plan.profile.item_query(&request, item);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let own = self.confirmed.values().filter(|it| **it == item).count();
        let judged = verdict::Counter::parse(&rows)
            .map(|rows| verdict::Verdict::item(&rows, &request, item, own));
        self.record_verdict(proxy, &sql, judged);
    }

    async fn read_listing(&mut self, proxy: usize) {
        let request = self.new_marker();
        let sql = self.plan.profile.list_query(&request);
        let oldest = time::Instant::now().checked_sub(profile::MAX_LISTING_AGE);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let confirmed = |item| oldest.map_or(0, |at| self.plan.history.confirmed_by(item, at));
        let judged = verdict::Counter::parse(&rows)
            .map(|rows| verdict::Verdict::listing(&rows, &request, confirmed));
        self.record_verdict(proxy, &sql, judged);
    }

    async fn read(
        &mut self,
        proxy: usize,
        sql: &str,
    ) -> Option<Vec<tokio_postgres::SimpleQueryRow>> {
        let start = time::Instant::now();
        let Some(link::Answer::Rows(rows)) = self.ask(proxy, sql).await else {
            self.note.reads_refused += 1;
            return None;
        };
        self.note.reads += 1;
        let latency = note::micros(start.elapsed());
        self.note
            .read_latency
            .record(latency)
            .expect(HISTOGRAM_RESIZES);
        Some(rows)
    }

    fn record_verdict(&mut self, proxy: usize, sql: &str, judged: Option<verdict::Verdict>) {
        let verdict = judged.unwrap_or(verdict::Verdict::FOREIGN);
        let caller = &self.plan.name;
        self.note.record_verdict(verdict, || {
            compact_str::format_compact!("{caller} at proxy {proxy}: {verdict:?}: {sql}")
        });
    }
}
