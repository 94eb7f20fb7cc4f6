//! One database group: its instances, its primary, and which instances are fresh enough for a read.
//!
//! A read may go to an instance only on evidence. For reads of current data, the primary is proven
//! to lead after the read arrived (see [`proof`]). For reads that accept some staleness, a floor is
//! determined: a log position that covers all commits acknowledged before the read's cutoff (see
//! [`crate::floor`]); any replica that has applied the floor may then serve the read.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::absence;
use crate::boot;
use crate::catalog;
use crate::commits;
use crate::delegate;
use crate::detector;
use crate::election;
use crate::ended;
use crate::holdback;
use crate::leadership;
use crate::membership;
use crate::pool;
use crate::proof;
use crate::recording;
use crate::renewal;
use crate::roster;
use crate::source;
use crate::status;
use crate::upstream;
use crate::verdict;
use crate::wait;
use crate::witness;

/// Floors are requested this much younger than the staleness bound of a read, to allow for the
/// transit of the request and for timer granularity.
const STALENESS_MARGIN: time::Duration = time::Duration::from_millis(60);

/// Maximum interval between rounds of the search for a primary; a gap of one second then costs
/// about ten status queries per instance.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Status queries in a row to an instance that is missing from the list: the first may use a
/// connection that broke when the instance ended, the next opens a new one, which is refused.
const ABSENT_ATTEMPTS: u32 = 3;

/// Timeout of each of these queries: a node that lends connections may need this long to find that
/// it has none to the instance.
const ABSENT_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The state of a group as known to this node.
pub struct Group {
    /// The name of the group.
    pub name: id::Group,
    /// Failure domain of this node.
    domain: id::Domain,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    roster: roster::Roster,
    leadership: cell::RefCell<leadership::Leadership>,
    /// Notified when a primary or a floor becomes known.
    changed: event_listener::Event,
    searching: cell::Cell<bool>,
    querying_absent: cell::Cell<bool>,
    prover: proof::Prover,
    renewal: renewal::Renewal,
    /// What this node passes on as acknowledged.
    commits: commits::Commits,
    /// What the promotion waits for that this node holds back.
    holdback: cell::RefCell<Option<holdback::Holdback>>,
    recording: recording::Recording,
}

impl Group {
    /// Creates a group without instances.
    #[must_use]
    pub fn new(
        name: id::Group,
        domain: id::Domain,
        dialer: rc::Rc<dyn upstream::Dialer>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        let roster = roster::Roster::new(
            name.clone(),
            rc::Rc::clone(&dialer),
            rc::Rc::clone(&executor),
        );
        rc::Rc::new(Self {
            name,
            domain,
            dialer,
            executor,
            roster,
            leadership: cell::RefCell::default(),
            changed: event_listener::Event::new(),
            searching: cell::Cell::default(),
            querying_absent: cell::Cell::default(),
            prover: proof::Prover::default(),
            renewal: renewal::Renewal::default(),
            commits: commits::Commits::default(),
            holdback: cell::RefCell::default(),
            recording: recording::Recording::default(),
        })
    }

    /// Applies the group's part of a new list of instances.
    ///
    /// Changes in the list are dated back to `since`, the time of the previous list: after an
    /// outage of the list, an instance that is found leaving may have announced it long ago. If the
    /// announcement were treated as new, the instance would be sent work after it has stopped. A
    /// node that has just started passes `None`: an announcement in its first list may be of any
    /// age.
    ///
    /// `list_time` is the time at which the store had this list; its transfer may have taken long.
    pub fn update(
        self: &rc::Rc<Self>,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        list_time: id::Time,
    ) {
        let leader = self.leader();
        let leads = |id: &upstream::Id| leader.as_ref().is_some_and(|leader| leader.id == *id);
        let unexpected = instances
            .iter()
            .any(|instance| instance.leads != leads(&instance.id));
        let now = boot::now();
        self.note_applied(now);
        let since = since.map(|since| since.min(list_time));
        let restarted = self.roster.update(instances, since, list_time);
        self.query_absent();
        for pool in &restarted {
            let (id, process) = (pool.id(), self.ended_process(pool));
            self.leadership.borrow_mut().progress().forget(&id);
            if !leads(&id) {
                self.note_loss(&id, process);
            }
        }
        let leader_restarted = restarted.iter().any(|pool| leads(&pool.id()));
        if let Some(leader) = leader.as_ref().filter(|_| leader_restarted) {
            self.suspect(leader.term, "the primary has restarted");
        } else if leader.is_some() && (unexpected || !restarted.is_empty()) {
            // The primary's answer bounds what the restarted replica had confirmed.
            self.search();
        } else if unexpected {
            self.search_after_jitter();
        }
    }

    // Searches for the primary after a random delay, unless a request triggers the search earlier.
    //
    // All nodes of a fleet start together and learn of all groups at once. If each queried all
    // instances at that moment, the nodes that lend connections could not answer in time.
    fn search_after_jitter(self: &rc::Rc<Self>) {
        let group = rc::Rc::clone(self);
        let delay = election::claim_window(self.dialer.node_count()).mul_f64(fastrand::f64());
        let search = async move {
            wait::sleep(delay).await;
            if group.leader().is_none() {
                group.search();
            }
        };
        self.executor.spawn(search).detach();
    }

    /// Runs the group's periodic maintenance, about once a second: removes instances that have
    /// ended, closes spare connections, and queries instances that are missing from the list.
    pub fn maintain(self: &rc::Rc<Self>, listed: impl Fn(&upstream::Id) -> bool) {
        self.roster.maintain(listed);
        self.forget_ended();
        self.query_absent();
    }

    // Queries instances that are missing from the list: an instance that still answers also
    // receives records, and commits may be acknowledged because of it.
    fn query_absent(self: &rc::Rc<Self>) {
        let none = self.roster.absent().is_empty() && self.roster.successor_candidates().is_empty();
        if none || self.querying_absent.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        let query = async move {
            for round in 0..ABSENT_ATTEMPTS {
                let absent = group.roster.absent_to_probe();
                let reports = group.query_status(&absent, ABSENT_TIMEOUT).await;
                group.forget_ended();
                group.query_successors(ABSENT_TIMEOUT).await;
                if reports.len() == absent.len() {
                    break;
                }
                status::back_off(round, SEARCH_INTERVAL).await;
            }
            group.querying_absent.set(false);
        };
        self.executor.spawn(query).detach();
    }

    /// Removes instances that have ended. Records that a removed replica confirmed shortly before,
    /// unseen by this node, are bounded by the primary's next answer.
    pub fn forget_ended(self: &rc::Rc<Self>) {
        let forgotten = self.roster.forget_ended(|id| self.standing(id));
        self.note_forgotten(&forgotten);
    }

    // What is known of the process that this pool is connected to, and that has ended.
    fn ended_process(&self, pool: &pool::Pool) -> ended::Process {
        let now = boot::now();
        let reported = self
            .leadership
            .borrow_mut()
            .progress()
            .last_term(&pool.id());
        let applied = Some(pool.applied().term).filter(|term| *term > 0);
        let found = ended::Process::found(now);
        ended::Process {
            by: pool.ended_by(now),
            term: reported.max(applied).unwrap_or(found.term),
        }
    }

    fn note_loss(&self, id: &upstream::Id, process: ended::Process) {
        let mut leadership = self.leadership.borrow_mut();
        leadership.note_loss(process);
        let loss = leadership.floors().loss(leadership.term());
        let ended_ms = boot::now().saturating_sub(process.by).as_millis();
        let seen = (process.term < id::Term::MAX).then_some(process.term);
        tracing::info!(group = %self.name, instance = %id, ended_ms, last_term = seen, ?loss, "log of an ended process is lost");
    }

    fn standing(&self, id: &upstream::Id) -> absence::Standing {
        let leadership = self.leadership.borrow();
        match leadership.leader() {
            _ if leadership.last_primary() == Some(id) => absence::Standing::Primary,
            Some(_) => absence::Standing::Follower,
            None => absence::Standing::Vacant,
        }
    }

    fn note_forgotten(self: &rc::Rc<Self>, forgotten: &[rc::Rc<pool::Pool>]) {
        let processes = forgotten
            .iter()
            .map(|pool| (pool.id(), self.ended_process(pool)));
        self.note_lost_logs(processes.collect());
    }

    fn note_lost_logs(self: &rc::Rc<Self>, mut ended: Vec<(upstream::Id, ended::Process)>) {
        ended.retain(|(id, _)| self.standing(id) != absence::Standing::Primary);
        for (id, process) in &ended {
            self.note_loss(id, *process);
        }
        if !ended.is_empty() && self.leader().is_some() {
            self.search();
        }
    }

    /// Queries the process that listens at the address of an ended instance, and adds it to the
    /// roster if it belongs to the group.
    pub async fn query_successors(self: &rc::Rc<Self>, limit: time::Duration) {
        let vacated = self.roster.successor_candidates();
        for report in self.query_status(&vacated, limit).await {
            self.roster.adopt_successor(&report.id);
        }
        let found = ended::Process::found(boot::now());
        let lost = self.roster.take_lost_logs().into_iter();
        self.note_lost_logs(lost.map(|id| (id, found)).collect());
    }

    // Records that a replica has applied in the present term count as received. This is saved here
    // because the pool, which holds the applied position, is dropped with its process.
    fn note_applied(&self, now: id::Time) {
        let Some(leader) = self.leader() else { return };
        let pools = self.others(&leader.id);
        let applied = pools.iter().map(|pool| pool.applied()).max();
        if let Some(applied) = applied.filter(|applied| applied.term == leader.term) {
            self.leadership
                .borrow_mut()
                .progress()
                .record_received(applied, now);
        }
    }

    /// Queries the status of instances and records the terms and positions that they report.
    pub async fn query_status(
        self: &rc::Rc<Self>,
        pools: &[rc::Rc<pool::Pool>],
        limit: time::Duration,
    ) -> Vec<status::Report> {
        let started = boot::now();
        let reports = status::query_all(pools, &*self.dialer, limit).await;
        self.record_reports(&reports, started);
        reports
    }

    /// Records the terms and positions in status reports whose queries were sent at `started`.
    pub fn record_reports(&self, reports: &[status::Report], started: id::Time) {
        let lost = self
            .leadership
            .borrow_mut()
            .record_reports(reports, started, boot::now());
        for id in lost {
            tracing::warn!(group = %self.name, instance = %id,
                "replica reports fewer records than it had received: it has restarted without its log");
            self.roster.note_lost_log(&id);
            self.note_loss(&id, ended::Process::found(boot::now()));
        }
    }

    /// Records that, according to another node, a replica has received `received`.
    pub fn note_received(&self, received: stamp::Stamp) {
        let mut leadership = self.leadership.borrow_mut();
        leadership.progress().record_received(received, boot::now());
    }

    /// Highest log position that any replica is known to have received. Records of earlier terms
    /// that are beyond the log of the present primary don't count.
    #[must_use]
    pub fn max_received(&self) -> Option<stamp::Stamp> {
        self.note_applied(boot::now());
        self.vacancy().received.map(|(received, _)| received)
    }

    /// The instances known to this node.
    #[must_use]
    pub const fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Opens connections to the instances.
    #[must_use]
    pub fn dialer(&self) -> &dyn upstream::Dialer {
        &*self.dialer
    }

    /// The primary and its term, if known to this node.
    #[must_use]
    pub fn leader(&self) -> Option<status::Leader> {
        self.leadership.borrow().leader().cloned()
    }

    /// Since when no primary is known, and the highest received log position.
    #[must_use]
    pub fn vacancy(&self) -> detector::Vacancy {
        self.leadership.borrow().vacancy()
    }

    /// Sets the store's record of this group's instances. Adds those that this node doesn't know, and
    /// forgets unlisted ones that are recorded no more, as another node has seen their end.
    pub fn set_recorded(self: &rc::Rc<Self>, recorded: Option<membership::Record>) {
        let removed = self.recording.update(recorded.clone());
        let Some(recorded) = recorded else { return };
        self.roster.restore(&recorded.membership);
        if !removed.is_empty() {
            let forgotten = self.roster.forget_unlisted(&removed);
            self.note_forgotten(&forgotten);
        }
    }

    /// Sets the record of a store that was reset to an older copy: an instance that it lacks may have
    /// been recorded since, and has not ended.
    pub fn restore_recorded(self: &rc::Rc<Self>, recorded: Option<membership::Record>) {
        self.recording.reset();
        self.set_recorded(recorded);
    }

    /// The record extended by the instances that this node knows and the record lacks, if there are
    /// any. Instances that nobody knows to have ended may be recorded at any time.
    #[must_use]
    pub fn lost_record(&self) -> Option<membership::Record> {
        self.recording.extension(&self.roster.membership())
    }

    /// The group's instances with the version of their record in the store, if that record is
    /// outdated and may be replaced now.
    ///
    /// A node that starts later knows only the recorded instances. So one that has ended stays
    /// recorded until another replica has all records that it may have confirmed.
    #[must_use]
    pub fn unrecorded(&self) -> Option<membership::Record> {
        let settled = self.roster.is_settled();
        let update = self.recording.correction(self.roster.membership())?;
        let replaceable = !update.removes || self.is_loss_covered();
        (settled && replaceable).then_some(update.record)
    }

    /// Notes that the group's instances have been recorded.
    pub fn note_recording(&self) {
        self.recording.note_written(self.roster.membership());
    }

    // Whether a replica has all records that ended instances may have confirmed.
    fn is_loss_covered(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let loss = self.with_witnesses(|witnesses| witnesses.leadership.floors().loss(leader.term));
        let applied = self
            .others(&leader.id)
            .iter()
            .map(|pool| pool.applied())
            .max();
        loss.is_none_or(|loss| match loss {
            verdict::Loss::Within(bound) => applied >= Some(bound),
            verdict::Loss::Unknown | verdict::Loss::Unseen => false,
        })
    }

    /// Sets how many replicas must have a commit before it is acknowledged, by a configuration that is
    /// applied everywhere within `settling`.
    pub fn set_replication(&self, required: usize, settling: time::Duration) {
        let mut leadership = self.leadership.borrow_mut();
        leadership.set_replication(required, boot::now(), settling);
    }

    /// Sets what the promotion waits for that this node holds back; `None` if it holds none back.
    pub fn set_holdback(&self, holdback: Option<holdback::Holdback>) {
        self.holdback.replace(holdback);
    }

    /// What the promotion waits for that this node holds back.
    #[must_use]
    pub fn holdback(&self) -> Option<holdback::Holdback> {
        self.holdback.borrow().clone()
    }

    /// The last known log position of this primary from when it led, if this node has seen it lead
    /// as the last one.
    #[must_use]
    pub fn last_position(&self, leader: &status::Leader) -> Option<stamp::Stamp> {
        let leadership = self.leadership.borrow();
        let position = leadership.floors().last_position(leader.term);
        position.filter(|_| leadership.was_last(leader))
    }

    /// The highest term that this node knows of.
    #[must_use]
    pub fn term(&self) -> id::Term {
        self.leadership.borrow().term()
    }

    /// The primary's connection pool and term; waits for a primary until `deadline`.
    pub async fn wait_for_primary(
        self: &rc::Rc<Self>,
        deadline: id::Time,
    ) -> Option<(rc::Rc<pool::Pool>, id::Term)> {
        loop {
            let changed = self.changed.listen();
            if let Some(leader) = self.leader()
                && let Some(pool) = self.roster.pool(&leader.id)
            {
                return Some((pool, leader.term));
            }
            if self.leader().is_some() {
                // The search would find the same primary again at once, but callers' statements may
                // not be sent to it.
                wait::until(deadline, wait::sleep(SEARCH_INTERVAL)).await?;
            }
            self.search();
            wait::until(deadline, changed).await?;
        }
    }

    /// Records the position in the primary's answer to a command sent at `sent`.
    ///
    /// If the log contains a record of a later term, the instance was replaced and follows another
    /// primary.
    pub fn record_position(
        self: &rc::Rc<Self>,
        term: id::Term,
        sent: id::Time,
        stamp: Option<stamp::Stamp>,
    ) {
        let Some(stamp) = stamp else { return };
        if stamp.term > term {
            self.suspect(term, "its log contains a later term");
        } else {
            self.leadership
                .borrow_mut()
                .record_position(term, sent, stamp);
        }
    }

    /// Records the position in the answer of the primary of `term` to a commit, which this node is
    /// about to pass on as acknowledged. Returns `false` if it must not be: the term is sealed, and
    /// the next primary may lack the commit.
    #[must_use]
    pub fn acknowledge(&self, term: id::Term, position: Option<stamp::Stamp>) -> bool {
        let permitted = self.commits.may_pass_on(term, boot::now());
        if permitted {
            self.note_acknowledged(position);
        } else {
            tracing::info!(group = %self.name, term, "commit not passed on: its term is sealed");
        }
        permitted
    }

    /// Passes on no further commit of `term`, or an earlier one, for a while. Returns the highest
    /// position that this node has passed on as acknowledged in them.
    pub fn seal(&self, term: id::Term) -> Option<stamp::Stamp> {
        self.commits.seal(term, boot::now())
    }

    /// Records the position in the primary's answer to a commit, which this node passes on as
    /// acknowledged.
    pub fn note_acknowledged(&self, position: Option<stamp::Stamp>) {
        if let Some(position) = position {
            self.commits.note(position);
        }
    }

    /// Highest position that this node has passed on as acknowledged. Commits that were in progress
    /// at the same time may be before it.
    #[must_use]
    pub fn acknowledged(&self) -> Option<stamp::Stamp> {
        self.commits.highest()
    }

    /// Discards the known primary if its term is `term` or earlier, and starts a search.
    pub fn suspect(self: &rc::Rc<Self>, term: id::Term, reason: &str) {
        let suspected = self.leadership.borrow_mut().clear_leader(term, boot::now());
        if let Some(leader) = suspected {
            tracing::info!(group = %self.name, primary = %leader.id, term = leader.term, reason,
                "primary in doubt");
        }
        self.search();
    }

    /// Searches for the primary in the background until it is found.
    pub fn search(self: &rc::Rc<Self>) {
        if self.searching.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        self.executor
            .spawn(async move {
                let mut round = 0;
                while !group.discover().await {
                    status::back_off(round, SEARCH_INTERVAL).await;
                    round += 1;
                }
                group.searching.set(false);
            })
            .detach();
    }

    async fn discover(self: &rc::Rc<Self>) -> bool {
        let started = boot::now();
        let reports = self
            .query_status(&self.roster.pools(), status::TIMEOUT)
            .await;
        self.apply_reports(started, &reports);
        let found = status::find_leader(&reports);
        let Some(leader) = found.filter(|leader| leader.term >= self.term()) else {
            return self.roster.is_empty();
        };
        if self.leadership.borrow_mut().set_leader(&leader) {
            tracing::info!(group = %self.name, primary = %leader.id, term = leader.term,
                answers = reports.len(), "primary found");
        }
        self.changed.notify(usize::MAX);
        true
    }

    /// Derives evidence of leadership and positions from reports whose queries were sent at
    /// `started`.
    pub(crate) fn apply_reports(
        self: &rc::Rc<Self>,
        started: id::Time,
        reports: &[status::Report],
    ) {
        let Some(leader) = status::find_leader(reports) else {
            return;
        };
        if self.leader().is_some_and(|known| known.term < leader.term) {
            self.suspect(leader.term - 1, "another instance leads a later term");
        }
        let attested =
            self.with_witnesses(|witnesses| witnesses.prove_leadership(&leader, started, reports));
        let mut leadership = self.leadership.borrow_mut();
        if let Some(primary) = reports.iter().find(|report| report.id == leader.id) {
            leadership.record_position(leader.term, started, primary.status.received);
        }
        if attested {
            leadership.record_leading(leader.term, started);
        }
    }

    /// Proves that a primary led at some moment after this call began, and returns it.
    pub async fn prove(self: &rc::Rc<Self>, deadline: id::Time) -> Option<status::Leader> {
        self.prover.prove(self, deadline).await
    }

    /// Proves leadership on behalf of all concurrent requests.
    #[must_use]
    pub const fn prover(&self) -> &proof::Prover {
        &self.prover
    }

    /// Records that the primary of `term` still led at `started`.
    pub fn record_leading(&self, term: id::Term, started: id::Time) {
        self.leadership.borrow_mut().record_leading(term, started);
    }

    /// The executor of this node's tasks.
    #[must_use]
    pub const fn executor(&self) -> &rc::Rc<async_executor::LocalExecutor<'static>> {
        &self.executor
    }

    /// Evaluates `inspect` on the group's witnesses.
    pub fn with_witnesses<T>(&self, inspect: impl FnOnce(&witness::Witnesses<'_>) -> T) -> T {
        inspect(&witness::Witnesses {
            roster: &self.roster,
            leadership: &self.leadership.borrow(),
            domain: &self.domain,
        })
    }

    /// All instances other than the primary, in order of preference for queries.
    #[must_use]
    pub fn others(&self, primary: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        self.with_witnesses(|witnesses| witnesses.others(primary))
    }

    /// A floor for another node that requested one which covers all commits acknowledged longer ago
    /// than `within`; determined by status queries of this node if none is known.
    pub async fn floor_for_peer(
        self: &rc::Rc<Self>,
        within: time::Duration,
    ) -> Option<delegate::Response> {
        self.renewal.floor_for_peer(self, within).await
    }

    /// What is known of the group's primary and its positions.
    pub(crate) const fn leadership(&self) -> &cell::RefCell<leadership::Leadership> {
        &self.leadership
    }

    /// Notified when a primary or a floor becomes known.
    pub(crate) const fn changed(&self) -> &event_listener::Event {
        &self.changed
    }

    /// Renews the floors of this group.
    pub(crate) const fn renewal(&self) -> &renewal::Renewal {
        &self.renewal
    }

    /// Selects an instance to read from, other than those in `tried`.
    ///
    /// Returns `None` if no instance is proven to be fresh enough before the deadline of the
    /// request.
    pub async fn source(
        self: &rc::Rc<Self>,
        request: &source::Requirements,
        tried: &[upstream::Id],
    ) -> Option<source::Source> {
        let age = match request.freshness {
            catalog::Freshness::Current => return self.current_source(request, tried).await,
            catalog::Freshness::Bounded(age) | catalog::Freshness::Own(age) => age,
        };
        let moment = request
            .arrived
            .saturating_sub(age.saturating_sub(STALENESS_MARGIN));
        let floor = self.renewal.floor(self, request, moment, age).await?;
        let chosen = self.choose(request, tried, moment, floor);
        if chosen.is_none() && request.writes {
            return self.current_source(request, tried).await;
        }
        chosen
    }

    fn choose(
        &self,
        request: &source::Requirements,
        tried: &[upstream::Id],
        moment: id::Time,
        floor: stamp::Stamp,
    ) -> Option<source::Source> {
        let selector = source::Selector {
            roster: &self.roster,
            leadership: &self.leadership.borrow(),
            domain: &self.domain,
            own: request.own,
            organisation: &request.organisation,
            moment,
            floor,
            urgency: request.urgency,
        };
        if request.writes {
            selector.primary(tried)
        } else {
            selector.best(tried)
        }
    }

    async fn current_source(
        self: &rc::Rc<Self>,
        request: &source::Requirements,
        tried: &[upstream::Id],
    ) -> Option<source::Source> {
        loop {
            let (_, _) = self.wait_for_primary(request.deadline).await?;
            let Some(leader) = self.prove(request.deadline).await else {
                if boot::now() >= request.deadline {
                    return None;
                }
                status::back_off(0, SEARCH_INTERVAL).await;
                continue;
            };
            let pool = self
                .roster
                .pool(&leader.id)
                .filter(|pool| !tried.contains(&pool.id()))?;
            return Some(source::Source {
                pool,
                after: None,
                leads: Some(leader.term),
            });
        }
    }
}
