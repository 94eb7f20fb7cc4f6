//! Sends and answers the questions about shares of limits; [`shares`] decides.

use std::cell;
use std::rc;
use std::time;

use crate::boot;
use crate::lending::router;
use crate::limits::buckets;
use crate::limits::lease;
use crate::limits::shares;
use crate::limits::tokens;
use crate::question;
use crate::wait;

/// Interval at which the members and due questions are looked at. Short, as after a restart a share
/// is unused until the first questions are answered.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The shares of a node and its way to the others.
pub struct Borrowing {
    shares: cell::RefCell<shares::Shares>,
    router: rc::Rc<router::Router>,
}

impl Borrowing {
    /// Starts to borrow and to lend. It ends when the value is dropped.
    #[must_use]
    pub fn start(
        shares: shares::Shares,
        router: rc::Rc<router::Router>,
        executor: &rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        let started = rc::Rc::new(Self {
            shares: cell::RefCell::new(shares),
            router,
        });
        let running = rc::Rc::downgrade(&started);
        let spawner = rc::Rc::downgrade(executor);
        let task = async move {
            while let (Some(borrowing), Some(executor)) = (running.upgrade(), spawner.upgrade()) {
                for task in borrowing.due() {
                    let asking = rc::Rc::clone(&borrowing);
                    executor
                        .spawn(async move { asking.ask(task).await })
                        .detach();
                }
                drop((borrowing, executor));
                wait::sleep(INTERVAL).await;
            }
        };
        executor.spawn(task).detach();
        started
    }

    /// Whether enough members understand shares.
    #[must_use]
    pub fn is_able(&self) -> bool {
        self.shares.borrow().is_able()
    }

    /// Applies the present list of members.
    pub fn refresh(&self) {
        let members = self.router.members();
        self.shares.borrow_mut().set_members(&members, boot::now());
    }

    /// Decides a request for tokens.
    pub fn grant(&self, request: &tokens::Request) -> tokens::Decision {
        let random = fastrand::f64();
        self.shares.borrow_mut().grant(request, random, boot::now())
    }

    /// Answers a question about a share.
    pub fn answer(&self, request: &lease::Request) -> lease::Response {
        self.shares.borrow_mut().answer(request, boot::now())
    }

    /// Removes what is unused; called about once a second.
    pub fn prune(&self) {
        let now = boot::now();
        let mut shares = self.shares.borrow_mut();
        shares.prune(now);
        let borrowed = u32::try_from(shares.borrowed(now)).unwrap_or(u32::MAX);
        metrics::gauge!("mangotray_borrowed_shares").set(borrowed);
    }

    fn due(&self) -> Vec<(shares::Task, mangotray::id::Time)> {
        self.refresh();
        let now = boot::now();
        let due = self.shares.borrow_mut().due(now).into_iter();
        due.map(|task| (task, now)).collect()
    }

    async fn ask(&self, (task, sent): (shares::Task, mangotray::id::Time)) {
        let outcome = self.outcome(&task).await;
        let mut shares = self.shares.borrow_mut();
        shares.learn(&task, sent, outcome, boot::now());
    }

    async fn outcome(&self, task: &shares::Task) -> shares::Outcome {
        let peers = self.router.peers();
        let members = self.router.members();
        let member = members.iter().find(|member| member.name == task.to);
        let skipped = || match peers.skip_reason(&task.to) {
            Some(buckets::Reason::Gone) => shares::Outcome::Gone,
            _ => shares::Outcome::Silent,
        };
        let Some(member) = member.filter(|member| peers.may_ask(&member.name)) else {
            return skipped();
        };
        metrics::counter!("mangotray_limit_questions_total", "kind" => "share").increment(1);
        let question = question::Question::Share(task.request.clone());
        match peers.ask(member, &question).await {
            Some(question::Answer::Share(response)) => shares::Outcome::Answered(response),
            Some(_) => shares::Outcome::Silent,
            None => skipped(),
        }
    }
}
