//! Processor time of a statement, on a proxy that serves the group and through one that
//! forwards to it.

use std::net;
use std::ops;
use std::thread;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const SIZES: [usize; 4] = [400, 800, 1_600, 3_200];

/// One more than serve a group, so that one has to forward.
const PROXIES: usize = 4;

/// Callers at once: one, for which each read samples alone, and many that share samples.
const CALLERS: [usize; 2] = [1, 16];

/// Statements on the way in each kind; `{}` stands for a number that is never repeated.
const KINDS: [(&str, &str); 3] = [
    ("sampled read", "SELECT {}"),
    ("aged read", "SELECT title FROM calendar WHERE item = {}"),
    (
        "write",
        "INSERT INTO bookings VALUES ('b-{}', 'desk', 1, 'm', 3)",
    ),
];

/// Runs each kind of statement on both ways.
pub fn measure(_: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let bench = bench::Bench::start(bench::Options {
        proxies: PROXIES,
        groups: 1,
        ..bench::Options::default()
    })?;
    let serving = bench.serving()?;
    let mut series = Vec::new();
    let mut used = 0;
    for (way, serves) in [("direct", true), ("forwarded", false)] {
        let found = serving.iter().position(|it| *it == serves);
        let index = found.ok_or_else(|| eyre::eyre!("no proxy is on the {way} way"))?;
        for (kind, sql) in KINDS {
            let load = Load {
                proxy: bench.callers[index],
                database: bench.database(0),
                sql,
            };
            for callers in CALLERS {
                let points = load.spend(callers, &mut used)?;
                let name = format!("processor, {kind} {way}, {callers} callers");
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
    /// Runs growing numbers of statements; `used` counts the numbers drawn so far.
    fn spend(&self, callers: usize, used: &mut usize) -> eyre::Result<Vec<(f64, f64)>> {
        let point = |size: usize| {
            let before = usage::processor()?;
            self.run(callers, *used, size / callers)?;
            *used += size;
            let spent = usage::processor()? - before;
            Ok((usage::float(size), spent * 1e6))
        };
        SIZES.into_iter().map(point).collect()
    }

    fn run(&self, callers: usize, first: usize, each: usize) -> eyre::Result<()> {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let load = self.clone();
                let first = first + caller * each;
                thread::spawn(move || load.work(first..first + each))
            })
            .collect();
        for thread in threads {
            let worked = thread.join();
            worked.map_err(|_| eyre::eyre!("a caller panicked"))??;
        }
        Ok(())
    }

    fn work(&self, numbers: ops::Range<usize>) -> eyre::Result<()> {
        let mut client = client::Client::connect(self.proxy, &self.database)?;
        for number in numbers {
            client.run(&self.sql.replace("{}", &number.to_string()))?;
        }
        Ok(())
    }
}
