//! Processor time of a statement at a proxy that serves the group, and at one that forwards
//! the statement to it.

use std::net;
use std::ops;
use std::thread;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const STATEMENT_COUNTS: [usize; 4] = [400, 800, 1_600, 3_200];

/// One more than the number that serve a group, so that one proxy has to forward.
const PROXIES: usize = 4;

/// Numbers of callers at once: with one, each read takes its own sample; 16 share samples.
const CALLER_COUNTS: [usize; 2] = [1, 16];

/// Kinds of statement; `{}` stands for a number that is never repeated.
const STATEMENTS: [(&str, &str); 3] = [
    ("sampled read", "SELECT {}"),
    ("aged read", "SELECT title FROM calendar WHERE item = {}"),
    (
        "write",
        "INSERT INTO bookings VALUES ('b-{}', 'desk', 1, 'm', 3)",
    ),
];

/// Runs each kind of statement directly and forwarded.
pub fn measure(_: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let bench = bench::Bench::start(bench::Options {
        proxies: PROXIES,
        groups: 1,
        ..bench::Options::default()
    })?;
    let serving = bench.serving()?;
    let mut series = Vec::new();
    let mut next_number = 0;
    for (path, serves) in [("direct", true), ("forwarded", false)] {
        let found = serving.iter().position(|it| *it == serves);
        let index = found.ok_or_else(|| eyre::eyre!("no proxy takes the {path} path"))?;
        for (kind, sql) in STATEMENTS {
            let load = Load {
                proxy: bench.callers[index],
                database: bench.database(0),
                sql,
            };
            for callers in CALLER_COUNTS {
                let points = load.measure(callers, &mut next_number)?;
                let name = format!("processor, {kind} {path}, {callers} callers");
                series.push(fit::Series::new(name, "statements", "us", points));
            }
        }
    }
    bench.stop();
    Ok(series)
}

#[derive(Clone)]
struct Load {
    proxy: net::SocketAddr,
    database: String,
    sql: &'static str,
}

impl Load {
    /// Runs increasing numbers of statements, numbered from `next_number` on.
    fn measure(&self, callers: usize, next_number: &mut usize) -> eyre::Result<Vec<(f64, f64)>> {
        let point = |size: usize| {
            let before = usage::cpu_seconds()?;
            self.run(callers, *next_number, size / callers)?;
            *next_number += size;
            let spent = usage::cpu_seconds()? - before;
            Ok((usage::float(size), spent * 1e6))
        };
        STATEMENT_COUNTS.into_iter().map(point).collect()
    }

    fn run(&self, callers: usize, first: usize, per_caller: usize) -> eyre::Result<()> {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let load = self.clone();
                let first = first + caller * per_caller;
                thread::spawn(move || load.run_statements(first..first + per_caller))
            })
            .collect();
        for thread in threads {
            let worked = thread.join();
            worked.map_err(|_| eyre::eyre!("a caller panicked"))??;
        }
        Ok(())
    }

    fn run_statements(&self, numbers: ops::Range<usize>) -> eyre::Result<()> {
        let mut client = client::Client::connect(self.proxy, &self.database)?;
        for number in numbers {
            client.run(&self.sql.replace("{}", &number.to_string()))?;
        }
        Ok(())
    }
}
