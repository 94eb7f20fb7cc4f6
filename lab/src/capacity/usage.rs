//! Memory of this process, and processor time of its proxies' threads.
//!
//! A thread without its own name inherits the name of the thread that started it, so all
//! threads of proxies that are started by a thread named `PROXY_THREAD_NAME` are counted.
//! The reactor runs on any waiting thread: a part of the stand-ins' polling is counted with
//! the proxies, and a part of the proxies' polling is not counted.

use std::fs;
use std::thread;
use std::time;

/// Name of the threads that run proxies.
pub const PROXY_THREAD_NAME: &str = "proxies";

/// Resident memory of the whole process, in kilobytes.
pub fn resident_kilobytes() -> eyre::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let number = number.ok_or_else(|| eyre::eyre!("/proc/self/status has no VmRSS line"))?;
    Ok(number.parse()?)
}

/// Processor time that the proxies' running threads have used, in seconds.
pub fn cpu_seconds() -> eyre::Result<f64> {
    let mut spent = time::Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end after the directory was listed.
        let Ok(name) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        let Ok(times) = fs::read_to_string(path.join("schedstat")) else {
            continue;
        };
        if name.trim() == PROXY_THREAD_NAME {
            let nanos = times.split_whitespace().next().unwrap_or("0").parse()?;
            spent += time::Duration::from_nanos(nanos);
        }
    }
    Ok(spent.as_secs_f64())
}

/// Processor time that the proxies use during `window`, in percent of one core.
pub fn cpu_percent(window: time::Duration) -> eyre::Result<f64> {
    let started = time::Instant::now();
    let before = cpu_seconds()?;
    thread::sleep(window);
    let spent = cpu_seconds()? - before;
    Ok(100.0 * spent / started.elapsed().as_secs_f64())
}

/// Converts a count; the counts here are far below the first integer that `f64` cannot hold.
#[allow(clippy::cast_precision_loss)]
pub fn float(count: usize) -> f64 {
    count as f64
}
