//! Time of the decisions that a proxy makes for a statement, and of logging a decision.

use std::hint;
use std::io;
use std::time;

use mangotray::board;
use mangotray::class;
use mangotray::classify;
use mangotray::role;
use mangotray::route;
use mangotray::stamp;
use mangotray::status;

use crate::capacity;
use crate::capacity::fit;
use crate::capacity::usage;

const DECISION_COUNTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];
const POINT_READ: &str = "SELECT seats FROM bookings WHERE id = 'b-1'";
const JOIN_READ: &str = "SELECT b.id, c.title, count(*) FROM bookings b \
    JOIN calendar c ON c.id = b.item \
    WHERE b.caller = 'desk' AND c.starts > '2026-12-02' GROUP BY b.id, c.title ORDER BY 2 LIMIT 50";

/// Times each decision by itself on one thread.
pub fn measure(_: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let board = board();
    let leader = board.leader();
    let stamp = stamp::Stamp::new(1, 4);
    let since = time::Duration::from_secs(1);
    let candidates = candidates();
    for text in [POINT_READ, JOIN_READ] {
        let verdict = classify::classify(text);
        let read = verdict.is_ok_and(|verdict| verdict.class == class::Class::Read);
        eyre::ensure!(read, "not classified as a read: {text}");
    }
    let no_log = tracing::subscriber::NoSubscriber::default();
    Ok(vec![
        time_decision("board.floor", || board.floor(since)),
        time_decision("board.confirmed", || board.confirmed(stamp, 0, since)),
        time_decision("board.leader", || board.leader()),
        time_decision("route::read", || route::read(stamp, leader, &candidates)),
        time_decision("classify, point read", || classify::classify(POINT_READ)),
        time_decision("classify, join", || classify::classify(JOIN_READ)),
        time_log_line("decision log, off", no_log),
        time_log_line("decision log, text", subscriber().finish()),
        time_log_line("decision log, JSON", subscriber().json().finish()),
    ])
}

type Builder = tracing_subscriber::fmt::SubscriberBuilder<
    tracing_subscriber::fmt::format::DefaultFields,
    tracing_subscriber::fmt::format::Format,
    tracing_subscriber::filter::LevelFilter,
    fn() -> io::Sink,
>;

fn subscriber() -> Builder {
    tracing_subscriber::fmt().with_writer(io::sink as fn() -> io::Sink)
}

fn time_decision<T>(measure: &str, run: impl Fn() -> T) -> fit::Series {
    let point = |size| {
        let started = time::Instant::now();
        for _ in 0..size {
            hint::black_box(run());
        }
        (usage::float(size), started.elapsed().as_secs_f64() * 1e9)
    };
    // One run that is not measured fills the caches.
    let _ = point(DECISION_COUNTS[0]);
    let points = DECISION_COUNTS.into_iter().map(point).collect();
    fit::Series::new(measure, "decisions", "ns", points)
}

/// Times a log line with the fields of a routing decision.
fn time_log_line<S>(measure: &str, subscriber: S) -> fit::Series
where
    S: tracing::Subscriber + Send + Sync + 'static,
{
    tracing::subscriber::with_default(subscriber, || {
        time_decision(measure, || {
            tracing::info!(
                target: "mangotray::route",
                request = hint::black_box(7_u64),
                group = %"dome_sched",
                class = ?class::Class::Read,
                instance = %"dome_sched-1",
                source = "replica",
                why = "sampled",
                term = ?Some(3),
                "routed"
            );
        })
    })
}

fn board() -> board::Board {
    let mut board = board::Board::new(3);
    for index in 0..3 {
        let started = time::Duration::from_secs(2);
        let status = status::Status {
            stamp: stamp::Stamp::new(1, 4),
            fence: 1,
            role: match index {
                0 => role::Role::Primary,
                _ => role::Role::Replica,
            },
            voter: true,
            incarnation: 1,
        };
        let observation = board::Observation {
            started,
            finished: started,
            status,
        };
        board.record_answer(index, observation);
    }
    board
}

fn candidates() -> Vec<route::Candidate> {
    let candidate = |index| route::Candidate {
        index,
        stamp: Some(stamp::Stamp::new(1, 4)),
        usable: true,
        leaving: false,
        near: index == 1,
        load: index,
    };
    (0..3).map(candidate).collect()
}
