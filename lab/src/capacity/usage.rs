//! Memory and processor time of this process, told apart by threads.
//!
//! Threads without a name of their own bear the name of the thread that started them, so
//! all threads of proxies that a thread called `PROXY_THREAD_NAME` started count as the proxies'.
//! The reactor serves whoever waits, on any thread: a part of the stand-ins' polling is
//! counted with the proxies and the other way round.

use std::fs;
use std::thread;
use std::time;

/// Name of the threads of proxies.
pub const PROXY_THREAD_NAME: &str = "proxies";

/// Memory of the whole process that is resident, in kilobytes.
pub fn resident_kilobytes() -> eyre::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let number = number.ok_or_else(|| eyre::eyre!("no VmRSS in the process's status"))?;
    Ok(number.parse()?)
}

/// Processor time in seconds that the proxies' threads have spent.
pub fn cpu_seconds() -> eyre::Result<f64> {
    let mut spent = time::Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        // A thread may end between the listing and the look.
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

/// Share of one core that the proxies use, in percent, over a window.
pub fn cpu_percent(window: time::Duration) -> eyre::Result<f64> {
    let started = time::Instant::now();
    let before = cpu_seconds()?;
    thread::sleep(window);
    let spent = cpu_seconds()? - before;
    Ok(100.0 * spent / started.elapsed().as_secs_f64())
}

/// Sizes and counts here stay far below the first integer that a float cannot hold.
#[allow(clippy::cast_precision_loss)]
pub fn float(count: usize) -> f64 {
    count as f64
}
