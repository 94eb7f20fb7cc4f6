//! Memory and processor time of idle caller connections, and the cost of opening them.

use std::time;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const CALLER_COUNTS: [usize; 5] = [250, 500, 1_000, 2_000, 4_000];

/// Connects increasing numbers of callers to one proxy. The stand-ins and the callers'
/// sockets share the process, so their memory for a connection is counted with the proxy's.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let bench = bench::Bench::start(bench::Options {
        proxies: 1,
        groups: 1,
        ..bench::Options::default()
    })?;
    let database = bench.database(0);
    let mut callers = Vec::new();
    let mut points = Points::default();
    let empty = usage::resident_kilobytes()?;
    for size in CALLER_COUNTS {
        let before = usage::cpu_seconds()?;
        let started = time::Instant::now();
        let added = size - callers.len();
        for _ in 0..added {
            callers.push(client::Client::connect(bench.callers[0], &database)?);
        }
        let elapsed = started.elapsed().as_secs_f64();
        let spent = usage::cpu_seconds()? - before;
        let added = usage::float(added);
        points.connect_cpu.push((added, spent * 1e6));
        points.connect_time.push((added, elapsed));
        let size = usage::float(size);
        points
            .memory
            .push((size, usage::resident_kilobytes()? - empty));
        points
            .idle_cpu
            .push((size, usage::cpu_percent(options.window)?));
    }
    drop(callers);
    bench.stop();
    Ok(points.series())
}

#[derive(Default)]
struct Points {
    memory: Vec<(f64, f64)>,
    idle_cpu: Vec<(f64, f64)>,
    connect_cpu: Vec<(f64, f64)>,
    connect_time: Vec<(f64, f64)>,
}

impl Points {
    fn series(self) -> Vec<fit::Series> {
        vec![
            fit::Series::new("resident memory", "callers", "kB", self.memory),
            fit::Series::new("processor, idle", "callers", "% of a core", self.idle_cpu),
            fit::Series::new("processor, to connect", "connects", "us", self.connect_cpu),
            fit::Series::new(
                "time, one after the other",
                "connects",
                "s",
                self.connect_time,
            ),
        ]
    }
}
