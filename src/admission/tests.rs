use std::cmp;
use std::collections;
use std::time;

use assert_matches::assert_matches;
use proptest::prelude::*;

use crate::admission;
use crate::backlog;
use crate::id;
use crate::reason;

const WAIT: admission::Verdict = admission::Verdict::Wait { displaced: None };

const CLASSES: [admission::Priority; 3] = [
    admission::Priority::Write,
    admission::Priority::Fresh,
    admission::Priority::Aged,
];

fn ms(count: u64) -> id::Time {
    time::Duration::from_millis(count)
}

fn queue(slots: usize, length: usize, per_caller: usize) -> admission::Queue {
    admission::Queue::new(admission::Limits {
        slots,
        length,
        per_caller,
    })
}

fn ticket(request: u64, caller: u64, priority: admission::Priority, due: u64) -> admission::Ticket {
    admission::Ticket {
        request,
        caller,
        priority,
        deadline: ms(due),
        arrived: ms(0),
    }
}

fn write(request: u64, caller: u64, due: u64) -> admission::Ticket {
    ticket(request, caller, admission::Priority::Write, due)
}

/// Releases one slot after the other and returns the order in which waiting tickets got it.
fn drain(queue: &mut admission::Queue, mut running: u64, now: id::Time) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(next) = queue.release(running, now).run.first() {
        running = next.request;
        order.push(running);
    }
    order
}

#[test]
fn earliest_deadline_goes_first_among_callers_and_within_one() {
    let mut queue = queue(1, 10, 10);
    assert_eq!(
        queue.offer(write(0, 9, 1_000), ms(0)),
        admission::Verdict::Run
    );
    for (request, caller, due) in [(1, 1, 900), (2, 1, 400), (3, 2, 500), (4, 2, 300)] {
        assert_eq!(queue.offer(write(request, caller, due), ms(0)), WAIT);
    }
    assert_eq!(drain(&mut queue, 0, ms(0)), [4, 2, 3, 1]);
}

/// Guards against a single request waiting behind the many requests of another caller. With
/// deadline order alone, a caller that fills the queue with early deadlines gets all slots.
#[test]
fn one_caller_cannot_hold_back_another() {
    let mut queue = queue(1, 100, 50);
    queue.offer(write(0, 1, 1_000), ms(0));
    for request in 1..=50 {
        assert_eq!(queue.offer(write(request, 1, 500), ms(0)), WAIT);
    }
    assert_eq!(queue.offer(write(99, 2, 900), ms(0)), WAIT);
    let order = drain(&mut queue, 0, ms(0));
    assert_eq!(order.iter().position(|request| *request == 99), Some(1));
}

/// Guards against starvation of a caller's second request while new callers keep arriving, each
/// with one request and an earlier deadline. It occurs when new callers join the turn that is
/// being served, so that this turn never ends.
#[test]
fn a_flood_of_new_callers_does_not_starve_a_waiting_one() {
    let mut queue = queue(1, 100, 10);
    queue.offer(write(0, 1, 9_000), ms(0));
    queue.offer(write(1, 1, 9_000), ms(0));
    queue.offer(write(2, 1, 9_000), ms(0));
    let mut running = 0;
    let mut turns = 0;
    while running != 2 {
        let newcomer = 100 + turns;
        queue.offer(write(newcomer, newcomer, 500), ms(0));
        running = queue.release(running, ms(0)).run[0].request;
        turns += 1;
        assert!(turns < 10, "still waiting");
    }
}

#[test]
fn writes_go_before_aged_reads_but_do_not_starve_them() {
    let mut queue = queue(1, 100, 100);
    queue.offer(write(0, 1, 9_000), ms(0));
    queue.offer(ticket(1, 1, admission::Priority::Aged, 9_000), ms(0));
    for request in 2..50 {
        queue.offer(write(request, 1, 9_000), ms(0));
    }
    let order = drain(&mut queue, 0, ms(0));
    let turn = order.iter().position(|request| *request == 1).unwrap();
    assert_eq!(turn, backlog::MAX_SKIPS as usize);
}

#[test]
fn a_write_takes_the_place_of_an_aged_read_in_a_full_queue() {
    let mut queue = queue(1, 2, 2);
    queue.offer(write(0, 1, 1_000), ms(0));
    queue.offer(ticket(1, 2, admission::Priority::Aged, 1_000), ms(0));
    queue.offer(ticket(2, 2, admission::Priority::Fresh, 1_000), ms(0));
    let verdict = queue.offer(write(3, 3, 1_000), ms(0));
    let displaced =
        assert_matches!(verdict, admission::Verdict::Wait { displaced: Some(refusal) } => refusal);
    assert_eq!(displaced.ticket.request, 1);
    let aged = ticket(4, 4, admission::Priority::Aged, 1_000);
    assert_matches!(
        queue.offer(aged, ms(0)),
        admission::Verdict::Refuse {
            reason: reason::Reason::Overload,
            retry: Some(_)
        }
    );
}

#[test]
fn a_caller_has_a_bounded_share_of_the_queue() {
    let mut queue = queue(1, 10, 2);
    queue.offer(write(0, 1, 1_000), ms(0));
    assert_eq!(queue.offer(write(1, 1, 1_000), ms(0)), WAIT);
    assert_eq!(queue.offer(write(2, 1, 1_000), ms(0)), WAIT);
    assert_matches!(
        queue.offer(write(3, 1, 1_000), ms(0)),
        admission::Verdict::Refuse { .. }
    );
    assert_eq!(queue.offer(write(4, 2, 1_000), ms(0)), WAIT);
}

/// Guards against late answers under overload. With a service time of 10 ms and ten waiting
/// requests, a request with 50 ms left must be refused instead of queued.
#[test]
fn a_request_that_cannot_be_in_time_is_refused_on_arrival() {
    let mut queue = queue(1, 100, 100);
    queue.offer(write(0, 1, 1_000), ms(0));
    queue.release(0, ms(10));
    for request in 1..=11 {
        queue.offer(write(request, request, 1_000), ms(10));
    }
    let aged = ticket(50, 50, admission::Priority::Aged, 60);
    let verdict = queue.offer(aged, ms(10));
    let retry = assert_matches!(verdict, admission::Verdict::Refuse { reason: reason::Reason::Deadline, retry: Some(retry) } => retry);
    assert_eq!(retry, ms(10 + 110 + 10 - 60));
    assert_eq!(queue.offer(write(51, 51, 60), ms(10)), WAIT);
}

/// Guards against refusals that continue after a slow phase: one request takes 5 s, then the
/// instance is fast again. If the high estimate refuses every request, no new sample lowers it.
#[test]
fn a_slow_sample_does_not_lock_the_queue() {
    let mut queue = queue(1, 10, 10);
    queue.offer(write(0, 1, 6_000), ms(0));
    queue.release(0, ms(5_000));
    for request in 1..100 {
        let now = ms(6_000 + 10 * request);
        let due = 6_000 + 10 * request + 100;
        assert_eq!(
            queue.offer(write(request, 1, due), now),
            admission::Verdict::Run
        );
        queue.release(request, now + ms(5));
    }
    assert!(queue.average_service_time().unwrap() < ms(6));
}

#[test]
fn expired_tickets_are_handed_back_and_do_not_run() {
    let mut queue = queue(1, 10, 10);
    queue.offer(write(0, 1, 1_000), ms(0));
    queue.offer(write(1, 1, 20), ms(0));
    queue.offer(write(2, 2, 90), ms(0));
    assert_eq!(queue.next_expiry(), Some(ms(20)));
    let change = queue.expire(ms(20));
    assert_eq!(change.refused[0].ticket.request, 1);
    assert!(change.run.is_empty());
    assert_eq!(queue.release(0, ms(30)).run[0].request, 2);
}

#[test]
fn removed_tickets_and_unknown_releases_change_nothing_else() {
    let mut queue = queue(1, 10, 10);
    queue.offer(write(0, 1, 1_000), ms(0));
    queue.offer(write(1, 1, 1_000), ms(0));
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!(queue.release(77, ms(1)), admission::Change::default());
    assert_eq!(queue.running(), 1);
}

#[test]
fn an_added_slot_starts_a_waiting_request() {
    let mut queue = queue(0, 10, 10);
    assert_eq!(queue.offer(write(1, 1, 1_000), ms(0)), WAIT);
    let limits = admission::Limits {
        slots: 1,
        length: 10,
        per_caller: 10,
    };
    assert_eq!(queue.resize(limits, ms(1)).run[0].request, 1);
}

#[derive(Clone, Debug)]
enum Step {
    Offer {
        caller: u64,
        class: usize,
        timeout: u64,
    },
    Release {
        pick: usize,
    },
    Remove {
        pick: u64,
    },
    Expire,
    Resize {
        slots: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        6 => (0..4_u64, 0..3_usize, 0..80_u64)
            .prop_map(|(caller, class, timeout)| Step::Offer { caller, class, timeout }),
        4 => any::<usize>().prop_map(|pick| Step::Release { pick }),
        1 => any::<u64>().prop_map(|pick| Step::Remove { pick }),
        1 => Just(Step::Expire),
        1 => (0..4_usize).prop_map(|slots| Step::Resize { slots }),
    ];
    prop::collection::vec((0..20_u64, step), 1..200)
}

/// Verdicts of the queue on each ticket, with the invariants that must hold.
#[derive(Default)]
struct Model {
    waiting: collections::HashSet<u64>,
    running: Vec<u64>,
    ended: collections::HashSet<u64>,
    slots: usize,
}

impl Model {
    fn offered(&mut self, request: u64, verdict: admission::Verdict) {
        match verdict {
            admission::Verdict::Run => self.started(request),
            admission::Verdict::Refuse { .. } => self.end(request),
            admission::Verdict::Wait { displaced } => {
                self.waiting.insert(request);
                if let Some(refusal) = displaced {
                    self.refused(refusal.ticket.request);
                }
            }
        }
    }

    fn changed(&mut self, change: &admission::Change) {
        for refusal in &change.refused {
            self.refused(refusal.ticket.request);
        }
        for ticket in &change.run {
            assert!(
                self.waiting.remove(&ticket.request),
                "a ticket that was not waiting got a slot"
            );
            self.started(ticket.request);
        }
    }

    fn started(&mut self, request: u64) {
        self.running.push(request);
        assert!(
            self.running.len() <= self.slots,
            "more requests run than there are slots"
        );
    }

    fn refused(&mut self, request: u64) {
        assert!(
            self.waiting.remove(&request),
            "a ticket that was not waiting was refused"
        );
        self.end(request);
    }

    fn end(&mut self, request: u64) {
        assert!(
            self.ended.insert(request),
            "a ticket got two final verdicts"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn every_ticket_has_one_final_verdict_and_slots_hold(steps in steps()) {
        let mut queue = queue(2, 6, 3);
        let mut model = Model { slots: 2, ..Model::default() };
        let mut now = ms(0);
        let mut offered = 0;
        for (pause, step) in steps {
            now += ms(pause);
            match step {
                Step::Offer { caller, class, timeout } => {
                    offered += 1;
                    let priority = CLASSES[class];
                    let ticket = admission::Ticket { deadline: now + ms(timeout), ..ticket(offered, caller, priority, 0) };
                    model.offered(offered, queue.offer(ticket, now));
                }
                Step::Release { pick } if !model.running.is_empty() => {
                    let at = pick % model.running.len();
                    let request = model.running.swap_remove(at);
                    model.end(request);
                    model.changed(&queue.release(request, now));
                }
                Step::Remove { pick } => {
                    let request = pick % (offered + 1);
                    let waited = model.waiting.contains(&request);
                    prop_assert_eq!(queue.remove(request), waited);
                    if waited {
                        model.refused(request);
                    }
                }
                Step::Resize { slots } => {
                    model.slots = slots;
                    let limits = admission::Limits { slots, length: 6, per_caller: 3 };
                    model.changed(&queue.resize(limits, now));
                }
                Step::Expire | Step::Release { .. } => model.changed(&queue.expire(now)),
            }
            prop_assert!(queue.len() <= 6);
            prop_assert_eq!(queue.len(), model.waiting.len());
            prop_assert_eq!(queue.running(), model.running.len());
        }
        model.changed(&queue.expire(now + ms(1_000)));
        prop_assert!(model.waiting.is_empty());
        prop_assert_eq!((model.ended.len() + model.running.len()) as u64, offered);
    }

    /// Whatever other callers send, a waiting ticket gets a slot after a bounded number of starts.
    #[test]
    fn no_ticket_starves(seed in any::<u64>(), class in 0..3_usize) {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut queue = queue(1, 40, 10);
        queue.offer(write(0, 0, 1_000_000), ms(0));
        for request in 1..30 {
            let priority = CLASSES[random.usize(0..3)];
            queue.offer(ticket(request, random.u64(1..6), priority, random.u64(1_000..2_000)), ms(0));
        }
        let own = ticket(30, 999, CLASSES[class], 999_999);
        queue.offer(own, ms(0));
        let mut running = 0;
        let mut starts = 0;
        let mut request = 30;
        while running != 30 {
            running = queue.release(running, ms(0)).run[0].request;
            starts += 1;
            prop_assert!(starts <= 30 * (backlog::MAX_SKIPS + 2), "still waiting");
            request += 1;
            let priority = CLASSES[random.usize(0..3)];
            queue.offer(ticket(request, random.u64(1..200), priority, random.u64(1_000..2_000)), ms(0));
        }
    }
}

const SLOTS: u32 = 3;
const SERVICE: id::Time = time::Duration::from_millis(10);
const TIMEOUT_MS: u64 = 200;
const DURATION: id::Time = time::Duration::from_mins(1);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done(u64),
    Arrival(u64),
}

type EventQueue = collections::BinaryHeap<cmp::Reverse<(id::Time, Event)>>;

/// Random value from the exponential distribution.
fn exponential(random: &mut fastrand::Rng, mean: id::Time) -> id::Time {
    mean.mul_f64(-(1.0 - random.f64()).ln())
}

/// Number of answers in time during one minute of virtual time, at a load of `percent` of the
/// slots' capacity, with exponential interarrival and service times.
fn goodput(percent: u32, seed: u64) -> u32 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue = queue(SLOTS as usize, 200, 100);
    let mut events = EventQueue::new();
    let mut deadlines = collections::HashMap::new();
    let gap = SERVICE * 100 / percent / SLOTS;
    events.push(cmp::Reverse((ms(0), Event::Arrival(0))));
    let mut in_time = 0;
    while let Some(cmp::Reverse((now, event))) = events.pop() {
        let started = match event {
            Event::Arrival(request) => {
                let next = now + exponential(&mut random, gap);
                if next < DURATION {
                    events.push(cmp::Reverse((next, Event::Arrival(request + 1))));
                }
                let priority = CLASSES[random.usize(0..3)];
                let deadline = now + ms(TIMEOUT_MS);
                deadlines.insert(request, deadline);
                let ticket = admission::Ticket {
                    deadline,
                    ..ticket(request, random.u64(0..50), priority, 0)
                };
                let run = queue.offer(ticket, now) == admission::Verdict::Run;
                run.then_some(request).into_iter().collect()
            }
            Event::Done(request) => {
                in_time += u32::from(now <= deadlines[&request]);
                let run = queue.release(request, now).run;
                run.into_iter()
                    .map(|ticket| ticket.request)
                    .collect::<Vec<_>>()
            }
        };
        for request in started {
            let done = now + exponential(&mut random, SERVICE);
            events.push(cmp::Reverse((done, Event::Done(request))));
        }
    }
    in_time
}

/// Guards against a collapse of goodput at three times the capacity. When the queue is always
/// full and each request starts just before its deadline, the slots are spent on late answers.
#[test]
fn goodput_holds_at_three_times_the_capacity() {
    for seed in 1..=3 {
        let curve = [50, 80, 100, 150, 200, 300].map(|percent| goodput(percent, seed));
        println!("answered in time at 50 to 300 % of capacity: {curve:?}");
        let peak = *curve.iter().max().unwrap();
        assert!(curve[5] * 10 >= peak * 9, "{curve:?}");
        let capacity = DURATION.div_duration_f64(SERVICE) * f64::from(SLOTS);
        assert!(
            f64::from(curve[5]) >= capacity * 0.9,
            "{curve:?} of {capacity}"
        );
    }
}
