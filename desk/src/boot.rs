//! Clock that goes on while the VM is suspended.

use std::time;

use mangotray::clock;
use mangotray::id;

/// Time since the VM started, suspended time included.
///
/// The usual monotonic clock stands still while a VM is suspended. Evidence of that age
/// would look fresh after the VM wakes: a read bounded to 1.5 s could then be answered
/// from a floor that is many seconds old. This clock counts the pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl clock::Clock for Boot {
    fn now(&self) -> id::Time {
        now()
    }
}

/// Time since the VM started.
///
/// ```
/// use mangotray_desk::boot;
/// assert!(boot::now() <= boot::now());
/// ```
#[must_use]
pub fn now() -> id::Time {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    time::Duration::new(seconds, nanos)
}
