//! One caller, which roams between proxies and checks every answer.

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

/// Own rows that a read asks for, counted back from the newest.
const RECENT: u32 = 50;

const RESIZED: &str = "histograms resize themselves";

/// What a caller needs to know before it starts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Sizes and statements.
    pub profile: sync::Arc<profile::Profile>,
    /// Database to work on.
    pub database: CompactString,
    /// Proxies to roam between.
    pub proxies: sync::Arc<[net::SocketAddr]>,
    /// Confirmations of all callers of the group.
    pub history: sync::Arc<history::History>,
    /// Name, unique in the run.
    pub name: CompactString,
    /// Seed of the caller's own choices.
    pub seed: u64,
    /// Longest wait for one answer; must exceed the deadline for late answers to be seen.
    pub patience: time::Duration,
}

/// One caller with a connection to each proxy.
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
    /// A caller without connections.
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

    /// Everything recorded so far.
    #[must_use]
    pub fn finish(self) -> note::Note {
        self.note
    }

    /// Pauses, draws a kind of request and a proxy, and runs the request.
    pub async fn step(&mut self) {
        let share = self.random.f64() * 2.0;
        tokio::time::sleep(self.plan.profile.pause.mul_f64(share)).await;
        let proxy = self.roam().await;
        match self.plan.profile.mix.kind(self.random.u32(..100)) {
            profile::Kind::Book => {
                let item = self.random.u32(1..=profile::ITEMS);
                let separate = self.random.u32(..100) < self.plan.profile.separate;
                self.book(proxy, item, separate).await;
            }
            profile::Kind::Own => self.own(proxy).await,
            profile::Kind::Detail => self.detail(proxy).await,
            profile::Kind::List => self.list(proxy).await,
        }
    }

    /// A proxy drawn among those that take connections, as a balancer would choose.
    /// When none does, any one: the request is then counted as refused.
    async fn roam(&mut self) -> usize {
        let first = self.random.usize(..self.links.len());
        for offset in 0..self.links.len() {
            let proxy = (first + offset) % self.links.len();
            if self.link(proxy).await.is_some() {
                return proxy;
            }
        }
        first
    }

    /// Writes once to the prober's item, in one batch.
    pub async fn probe(&mut self) {
        let sent = time::Instant::now();
        let proxy = self.roam().await;
        let told = self.book(proxy, profile::PROBER_ITEM, false).await;
        if told == ledger::Told::Confirmed {
            let confirmed = time::Instant::now();
            self.note.probes.push(note::Probe { sent, confirmed });
        }
    }

    /// Runs one transaction, statement by statement or as one batch.
    async fn book(&mut self, proxy: usize, item: ledger::Item, separate: bool) -> ledger::Told {
        let booking = self.booking(item);
        let statements = self.plan.profile.book(&booking);
        let batches = if separate {
            statements.to_vec()
        } else {
            vec![statements.join("; ")]
        };
        let start = time::Instant::now();
        let told = self.transact(proxy, &batches).await;
        if told == ledger::Told::Confirmed {
            self.confirm(booking.sequence, item, start);
        }
        self.note.promises.push(ledger::Promise {
            key: booking.key,
            marker: booking.marker,
            item,
            told,
        });
        told
    }

    fn confirm(&mut self, sequence: u32, item: ledger::Item, start: time::Instant) {
        let now = time::Instant::now();
        self.plan.history.confirm(item, now);
        self.confirmed.insert(sequence, item);
        if item != profile::PROBER_ITEM {
            let latency = note::micros(now - start);
            self.note.write_latency.record(latency).expect(RESIZED);
        }
    }

    fn booking(&mut self, item: ledger::Item) -> query::Booking {
        self.sequence += 1;
        query::Booking {
            key: ledger::key(&self.plan.name, self.sequence),
            caller: self.plan.name.clone(),
            sequence: self.sequence,
            marker: self.marker(),
            item,
        }
    }

    fn marker(&mut self) -> CompactString {
        compact_str::format_compact!("m{:016x}", self.random.u64(..))
    }

    /// Without an answer to all statements before the commit, the commit is not
    /// sent: such a transaction must leave no trace, which the audit checks.
    async fn transact(&mut self, proxy: usize, batches: &[String]) -> ledger::Told {
        let Some((commit, before)) = batches.split_last() else {
            return ledger::Told::NotRun;
        };
        for batch in before {
            let Some(link::Answer::Rows(_)) = self.ask(proxy, batch).await else {
                self.abandon(proxy).await;
                return ledger::Told::NotRun;
            };
        }
        let Some(answer) = self.ask(proxy, commit).await else {
            return ledger::Told::NotRun;
        };
        let told = answer.told();
        if told != ledger::Told::Confirmed {
            self.abandon(proxy).await;
        }
        told
    }

    /// Ends a failed transaction, by rollback or by closing the connection.
    async fn abandon(&mut self, proxy: usize) {
        if self.random.bool() {
            self.links[proxy] = None;
        } else if self.links[proxy].is_some() {
            let _ = self.ask(proxy, "ROLLBACK").await;
        }
    }

    /// Sends one request and waits; `None` when no connection could be had, so
    /// that nothing was sent.
    async fn ask(&mut self, proxy: usize, sql: &str) -> Option<link::Answer> {
        let patience = self.plan.patience;
        let link = self.link(proxy).await?;
        let (answer, elapsed) = link.ask(sql, patience).await;
        self.note.time(elapsed, self.plan.profile.deadline);
        match &answer {
            link::Answer::Rows(_) => {}
            link::Answer::Refused(_, refusal) => {
                *self.note.refusals.entry(refusal.clone()).or_default() += 1;
            }
            link::Answer::Lost => {
                self.note.cut += 1;
                self.links[proxy] = None;
            }
        }
        Some(answer)
    }

    async fn link(&mut self, proxy: usize) -> Option<&link::Link> {
        let open = self.links[proxy].as_ref().is_some_and(link::Link::is_open);
        if !open {
            let reach = self.plan.profile.reach;
            let address = self.plan.proxies[proxy];
            let opened = link::Link::open(address, &self.plan.database, reach).await;
            self.links[proxy] = opened.ok();
        }
        self.links[proxy].as_ref()
    }

    async fn own(&mut self, proxy: usize) {
        let request = self.marker();
        let after = self.sequence.saturating_sub(RECENT);
        let sql = self.plan.profile.own(&request, &self.plan.name, after);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let confirmed = self.confirmed.range(after + 1..).map(|(number, _)| *number);
        let judged = verdict::Own::parse(&rows)
            .map(|rows| verdict::Verdict::own(&rows, &request, &self.plan.name, confirmed));
        self.judge(proxy, &sql, judged);
    }

    async fn detail(&mut self, proxy: usize) {
        let request = self.marker();
        let item = self.random.u32(1..=profile::ITEMS);
        let sql = self.plan.profile.detail(&request, item);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let own = self.confirmed.values().filter(|it| **it == item).count();
        let judged = verdict::Counter::parse(&rows)
            .map(|rows| verdict::Verdict::detail(&rows, &request, item, own));
        self.judge(proxy, &sql, judged);
    }

    async fn list(&mut self, proxy: usize) {
        let request = self.marker();
        let sql = self.plan.profile.list(&request);
        let oldest = time::Instant::now().checked_sub(profile::LISTING_AGE);
        let Some(rows) = self.read(proxy, &sql).await else {
            return;
        };
        let confirmed = |item| oldest.map_or(0, |at| self.plan.history.before(item, at));
        let judged = verdict::Counter::parse(&rows)
            .map(|rows| verdict::Verdict::list(&rows, &request, confirmed));
        self.judge(proxy, &sql, judged);
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
        self.note.read_latency.record(latency).expect(RESIZED);
        Some(rows)
    }

    fn judge(&mut self, proxy: usize, sql: &str, judged: Option<verdict::Verdict>) {
        let verdict = judged.unwrap_or(verdict::Verdict::FOREIGN);
        let caller = &self.plan.name;
        self.note.judge(verdict, || {
            compact_str::format_compact!("{caller} at proxy {proxy}: {verdict:?}: {sql}")
        });
    }
}
