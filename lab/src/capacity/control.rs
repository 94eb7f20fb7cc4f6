//! Resources that a proxy uses for control: for groups that it serves, idle and with a
//! caller, and for groups that other proxies serve.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::client;
use crate::capacity::fit;
use crate::capacity::usage;

const SERVED_GROUPS: [usize; 5] = [1, 4, 8, 16, 32];
const FOREIGN_GROUPS: [usize; 4] = [175, 350, 700, 1_400];

/// Pause between two statements to a group; keeps it active, with frequent heartbeats.
const STATEMENT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time after a start in which links are opened and terms are claimed; not measured.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(7);

/// Measures served groups, idle and active, then groups that other proxies serve.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let mut points = Points::default();
    for groups in SERVED_GROUPS {
        let bench = bench::Bench::start(bench::Options {
            proxies: 1,
            groups,
            count_traffic: true,
            ..bench::Options::default()
        })?;
        thread::sleep(SETTLE_TIME);
        let size = usage::float(groups);
        points.idle.measure(size, &bench, options.window)?;
        points
            .served_memory
            .push((size, usage::resident_kilobytes()?));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let sender = send_statements(&bench, &stop)?;
        thread::sleep(STATEMENT_INTERVAL);
        points.active.measure(size, &bench, options.window)?;
        stop.store(true, atomic::Ordering::Relaxed);
        let _ = sender.join();
        bench.stop();
    }
    for foreign in FOREIGN_GROUPS {
        let bench = bench::Bench::start(bench::Options {
            proxies: 1,
            foreign_groups: foreign,
            ..bench::Options::default()
        })?;
        thread::sleep(SETTLE_TIME);
        let size = usage::float(foreign);
        points
            .foreign_cpu
            .push((size, usage::cpu_percent(options.window)?));
        points
            .foreign_memory
            .push((size, usage::resident_kilobytes()?));
        bench.stop();
    }
    Ok(points.series())
}

/// Starts a thread that sends each group one statement per interval until stopped.
fn send_statements(
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
            thread::sleep(STATEMENT_INTERVAL);
        }
    }))
}

#[derive(Default)]
struct Points {
    idle: GroupCost,
    active: GroupCost,
    served_memory: Vec<(f64, f64)>,
    foreign_cpu: Vec<(f64, f64)>,
    foreign_memory: Vec<(f64, f64)>,
}

#[derive(Default)]
struct GroupCost {
    cpu: Vec<(f64, f64)>,
    instance_bytes: Vec<(f64, f64)>,
    instance_packets: Vec<(f64, f64)>,
    store_bytes: Vec<(f64, f64)>,
}

impl GroupCost {
    fn measure(
        &mut self,
        size: f64,
        bench: &bench::Bench,
        window: time::Duration,
    ) -> eyre::Result<()> {
        let (instances, store) = (&bench.instances, &bench.store);
        let before = (instances.bytes(), instances.chunks(), store.bytes());
        let load = usage::cpu_percent(window)?;
        let rate = |now: usize, before: usize| usage::float(now - before) / window.as_secs_f64();
        self.cpu.push((size, load));
        self.instance_bytes
            .push((size, rate(instances.bytes(), before.0)));
        self.instance_packets
            .push((size, rate(instances.chunks(), before.1)));
        self.store_bytes.push((size, rate(store.bytes(), before.2)));
        Ok(())
    }

    fn series(self, activity: &str) -> Vec<fit::Series> {
        let series = |measure: &str, unit, points| {
            fit::Series::new(
                format!("{measure}, {activity}"),
                "served groups",
                unit,
                points,
            )
        };
        vec![
            series("processor", "% of a core", self.cpu),
            series("bytes to and from instances", "B/s", self.instance_bytes),
            series("packets with them", "1/s", self.instance_packets),
            series("bytes to and from the store", "B/s", self.store_bytes),
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
                self.served_memory,
            ),
            fit::Series::new(
                "processor",
                "foreign groups",
                "% of a core",
                self.foreign_cpu,
            ),
            fit::Series::new(
                "resident memory, stand-ins in",
                "foreign groups",
                "kB",
                self.foreign_memory,
            ),
        ]);
        series
    }
}
