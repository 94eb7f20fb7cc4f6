//! Memory and processor time of caller connections that lie idle.

use std::time;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const SIZES: [usize; 5] = [250, 500, 1_000, 2_000, 4_000];

/// Connects more and more callers to one proxy. The stand-ins and the callers' sockets
/// share the process's memory; what they hold of one connection counts with the proxy's.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let bench = bench::Bench::start(bench::Options {
        proxies: 1,
        groups: 1,
        ..bench::Options::default()
    })?;
    let database = bench.database(0);
    let mut callers = Vec::new();
    let mut points = Points::default();
    let empty = usage::memory()?;
    for size in SIZES {
        let before = usage::processor()?;
        let started = time::Instant::now();
        let missing = size - callers.len();
        for _ in 0..missing {
            callers.push(client::Client::connect(bench.callers[0], &database)?);
        }
        let elapsed = started.elapsed().as_secs_f64();
        let spent = usage::processor()? - before;
        let missing = usage::float(missing);
        points.opening.push((missing, spent * 1e6));
        points.time.push((missing, elapsed));
        let size = usage::float(size);
        points.memory.push((size, usage::memory()? - empty));
        points.load.push((size, usage::load(options.window)?));
    }
    drop(callers);
    bench.stop();
    Ok(points.series())
}

#[derive(Default)]
struct Points {
    memory: Vec<(f64, f64)>,
    load: Vec<(f64, f64)>,
    opening: Vec<(f64, f64)>,
    time: Vec<(f64, f64)>,
}

impl Points {
    fn series(self) -> Vec<fit::Series> {
        vec![
            fit::Series::new("resident memory", "callers", "kB", self.memory),
            fit::Series::new("processor, idle", "callers", "% of a core", self.load),
            fit::Series::new("processor, to connect", "connects", "us", self.opening),
            fit::Series::new("time, one after the other", "connects", "s", self.time),
        ]
    }
}
