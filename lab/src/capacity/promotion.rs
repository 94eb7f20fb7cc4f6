//! Duration and store calls of promotions when several groups lose their primary at once.

use std::thread;
use std::time;

use mangotray::role;

use crate::call;
use crate::capacity;
use crate::capacity::bench;
use crate::capacity::fit;
use crate::capacity::usage;
use crate::cluster;
use crate::environment;
use crate::remote;

const GROUP_COUNTS: [usize; 4] = [1, 4, 8, 16];
const PROXIES: usize = 3;

/// Time after a start in which terms are reserved and seats are taken; not measured.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);
const PROMOTION_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Time after the last promotion in which its remaining store calls are counted.
const STORE_CALLS_TIME: time::Duration = time::Duration::from_secs(2);

/// Crashes the primaries of increasing numbers of groups.
pub fn measure(_: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let (mut time, mut reads, mut writes) = (Vec::new(), Vec::new(), Vec::new());
    let mut cpu = Vec::new();
    for groups in GROUP_COUNTS {
        let bench = bench::Bench::start(bench::Options {
            proxies: PROXIES,
            groups,
            ..bench::Options::default()
        })?;
        thread::sleep(SETTLE_TIME);
        let calls = |kind| bench.platform.calls_of(kind);
        let before = (calls(call::Kind::Get), calls(call::Kind::Swap));
        let processor = usage::cpu_seconds()?;
        let started = time::Instant::now();
        replace_primaries(&bench)?;
        let size = usage::float(groups);
        time.push((size, started.elapsed().as_secs_f64()));
        cpu.push((size, (usage::cpu_seconds()? - processor) * 1e3));
        thread::sleep(STORE_CALLS_TIME);
        let count = |now: u64, before: u64| usize::try_from(now - before).map(usage::float);
        reads.push((size, count(calls(call::Kind::Get), before.0)?));
        writes.push((size, count(calls(call::Kind::Swap), before.1)?));
        bench.stop();
    }
    let series = |measure: &str, unit, points| {
        fit::Series::new(measure, "groups that lose their primary", unit, points)
    };
    Ok(vec![
        series("time until all are led again", "s", time),
        series("processor of 3 proxies meanwhile", "ms", cpu),
        series("store reads of the fleet", "calls", reads),
        series("store writes of the fleet", "calls", writes),
    ])
}

/// Crashes every primary and waits until each group has a new one.
fn replace_primaries(bench: &bench::Bench) -> eyre::Result<()> {
    let crashed = bench.clusters.iter().map(|cluster| {
        let primary = remote::primary(cluster);
        primary.ok_or_else(|| eyre::eyre!("a group has no primary before the crash"))
    });
    let crashed = crashed.collect::<Result<Vec<_>, _>>()?;
    for (cluster, index) in bench.clusters.iter().zip(&crashed) {
        cluster.crash(*index);
    }
    let has_new_primary = |(cluster, crashed): (&std::sync::Arc<cluster::Cluster>, &usize)| {
        (0..cluster::INSTANCE_COUNT)
            .filter(|index| index != crashed)
            .any(|index| cluster.status(index).role == role::Role::Primary)
    };
    let all_replaced = || bench.clusters.iter().zip(&crashed).all(has_new_primary);
    eyre::ensure!(
        environment::wait_until(PROMOTION_TIMEOUT, all_replaced),
        "a group has no new primary in time"
    );
    Ok(())
}
