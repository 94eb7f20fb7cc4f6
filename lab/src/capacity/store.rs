//! Calls of idle proxies to the platform's service, by kind.

use std::thread;
use std::time;

use crate::call;
use crate::capacity;
use crate::capacity::bench;
use crate::capacity::fit;
use crate::capacity::usage;

/// Numbers of proxies and groups of each run; one of the two varies.
const FLEET_RUNS: [(usize, usize); 4] = [(1, 3), (2, 3), (4, 3), (8, 3)];
const GROUP_RUNS: [(usize, usize); 4] = [(3, 1), (3, 8), (3, 16), (3, 32)];

const CALL_KINDS: [(&str, call::Kind); 6] = [
    ("get", call::Kind::Get),
    ("list", call::Kind::List),
    ("watch", call::Kind::Watch),
    ("swap", call::Kind::Swap),
    ("renew", call::Kind::Renew),
    ("vms", call::Kind::Vms),
];

/// Time after a start in which seats and terms are taken; not measured.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);

/// Factor by which windows are longer than those of other sections: watches end after 20 s,
/// and settled records are read every 30 s.
const WINDOW_FACTOR: u32 = 4;

/// Counts the calls for increasing numbers of proxies, then of groups.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let window = options.window * WINDOW_FACTOR;
    let fleets = count(&FLEET_RUNS, window)?;
    let groups = count(&GROUP_RUNS, window)?;
    let by_fleet = series("3 groups", "proxies", &fleets, |(proxies, _)| proxies);
    let by_groups = series("3 proxies", "groups", &groups, |(_, groups)| groups);
    Ok(by_fleet.into_iter().chain(by_groups).collect())
}

/// Proxies and groups of each run, with the rate of each kind of call and, last, the bytes
/// per second of one proxy.
type Rates = Vec<((usize, usize), Vec<f64>)>;

fn count(runs: &[(usize, usize)], window: time::Duration) -> eyre::Result<Rates> {
    let rates = |&(proxies, groups)| {
        let bench = bench::Bench::start(bench::Options {
            proxies,
            groups,
            count_traffic: true,
            ..bench::Options::default()
        })?;
        thread::sleep(SETTLE_TIME);
        let calls = || CALL_KINDS.map(|(_, kind)| bench.platform.calls_of(kind));
        let before = (calls(), bench.store.bytes());
        thread::sleep(window);
        let after = calls();
        let bytes = usage::float(bench.store.bytes() - before.1) / window.as_secs_f64();
        let rates = after.iter().zip(before.0).map(|(after, before)| {
            let calls = usize::try_from(after - before).unwrap_or(usize::MAX);
            usage::float(calls) / window.as_secs_f64()
        });
        let bytes_per_proxy = bytes / usage::float(proxies);
        let rates = rates.chain([bytes_per_proxy]).collect();
        bench.stop();
        Ok(((proxies, groups), rates))
    };
    runs.iter().map(rates).collect()
}

fn series(
    fixed: &str,
    size: &'static str,
    rates: &Rates,
    varied: impl Fn((usize, usize)) -> usize,
) -> Vec<fit::Series> {
    let series = |(index, (kind, _)): (usize, &(&str, call::Kind))| {
        let points = rates
            .iter()
            .map(|(run, rates)| (usage::float(varied(*run)), rates[index]));
        let name = format!("calls of the fleet, {kind}, {fixed}");
        fit::Series::new(name, size, "1/s", points.collect())
    };
    let bytes = rates.iter().map(|(run, rates)| {
        let bytes = rates.last().copied().unwrap_or_default();
        (usage::float(varied(*run)), bytes)
    });
    let name = format!("bytes of one proxy to and from the store, {fixed}");
    let bytes = fit::Series::new(name, size, "B/s", bytes.collect());
    CALL_KINDS
        .iter()
        .enumerate()
        .map(series)
        .chain([bytes])
        .collect()
}
