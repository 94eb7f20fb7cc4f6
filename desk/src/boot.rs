//! Monotonic clock that includes the time during which the VM is suspended.

use std::time;

use mangotray::clock;
use mangotray::id;

/// Clock of the time since the VM booted, including suspended time.
///
/// The usual monotonic clock stops while a VM is suspended, so that old data would count as fresh
/// after the VM resumes: a read with a staleness bound of 1.5 s could be answered from a floor that
/// is many seconds old. This clock includes the suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl clock::Clock for Boot {
    fn now(&self) -> id::Time {
        now()
    }
}

/// Returns the time since the VM booted, including suspended time.
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
