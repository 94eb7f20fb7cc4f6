//! What a proxy spends on control: on the groups that it serves, idle and with a caller,
//! and on those that others serve.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const SERVED: [usize; 5] = [1, 4, 8, 16, 32];
const FOREIGN: [usize; 4] = [175, 350, 700, 1_400];

/// Pause between two statements that keep a group's heartbeat quick.
const TOUCH: time::Duration = time::Duration::from_secs(1);

/// Time after a start in which links open and terms are claimed.
const CALM: time::Duration = time::Duration::from_secs(7);

/// Measures served groups, idle and active, then foreign ones.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let mut points = Points::default();
    for groups in SERVED {
        let bench = bench::Bench::start(bench::Options {
            proxies: 1,
            groups,
            counted: true,
            ..bench::Options::default()
        })?;
        thread::sleep(CALM);
        let size = usage::float(groups);
        points.idle.watch(size, &bench, options.window)?;
        points.memory.push((size, usage::memory()?));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let touching = touch(&bench, &stop)?;
        thread::sleep(TOUCH);
        points.active.watch(size, &bench, options.window)?;
        stop.store(true, atomic::Ordering::Relaxed);
        let _ = touching.join();
        bench.stop();
    }
    for foreign in FOREIGN {
        let bench = bench::Bench::start(bench::Options {
            proxies: 1,
            foreign,
            ..bench::Options::default()
        })?;
        thread::sleep(CALM);
        let size = usage::float(foreign);
        points.foreign.push((size, usage::load(options.window)?));
        points.known.push((size, usage::memory()?));
        bench.stop();
    }
    Ok(points.series())
}

/// Sends one statement a second to each group.
fn touch(
    bench: &bench::Bench,
    stop: &sync::Arc<atomic::AtomicBool>,
) -> eyre::Result<thread::JoinHandle<()>> {
    let mut clients = (0..bench.clusters.len())
        .map(|group| client::Client::connect(bench.callers[0], &bench.database(group)))
        .collect::<Result<Vec<_>, _>>()?;
    let stop = sync::Arc::clone(stop);
    Ok(thread::spawn(move || {
        while !stop.load(atomic::Ordering::Relaxed) {
            for client in &mut clients {
                let _ = client.run("SELECT 1");
            }
            thread::sleep(TOUCH);
        }
    }))
}

#[derive(Default)]
struct Points {
    idle: Watched,
    active: Watched,
    memory: Vec<(f64, f64)>,
    foreign: Vec<(f64, f64)>,
    known: Vec<(f64, f64)>,
}

#[derive(Default)]
struct Watched {
    load: Vec<(f64, f64)>,
    bytes: Vec<(f64, f64)>,
    packets: Vec<(f64, f64)>,
    store: Vec<(f64, f64)>,
}

impl Watched {
    fn watch(
        &mut self,
        size: f64,
        bench: &bench::Bench,
        window: time::Duration,
    ) -> eyre::Result<()> {
        let (instances, store) = (&bench.instances, &bench.store);
        let before = (instances.bytes(), instances.chunks(), store.bytes());
        let load = usage::load(window)?;
        let rate = |now: usize, before: usize| usage::float(now - before) / window.as_secs_f64();
        self.load.push((size, load));
        self.bytes.push((size, rate(instances.bytes(), before.0)));
        self.packets
            .push((size, rate(instances.chunks(), before.1)));
        self.store.push((size, rate(store.bytes(), before.2)));
        Ok(())
    }

    fn series(self, what: &str) -> Vec<fit::Series> {
        let series = |measure: &str, unit, points| {
            fit::Series::new(format!("{measure}, {what}"), "served groups", unit, points)
        };
        vec![
            series("processor", "% of a core", self.load),
            series("bytes to and from instances", "B/s", self.bytes),
            series("packets with them", "1/s", self.packets),
            series("bytes to and from the store", "B/s", self.store),
        ]
    }
}

impl Points {
    fn series(self) -> Vec<fit::Series> {
        let mut series = self.idle.series("idle");
        series.extend(self.active.series("active"));
        series.extend([
            fit::Series::new(
                "resident memory, stand-ins in",
                "served groups",
                "kB",
                self.memory,
            ),
            fit::Series::new("processor", "foreign groups", "% of a core", self.foreign),
            fit::Series::new(
                "resident memory, stand-ins in",
                "foreign groups",
                "kB",
                self.known,
            ),
        ]);
        series
    }
}
