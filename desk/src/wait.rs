//! Timeouts and delays.

use std::time;

use futures_lite::FutureExt;
use mangotray::id;

use crate::boot;

/// Awaits `future` until `deadline`; `None` if the deadline passes first.
///
/// ```
/// use mangotray_desk::{boot, wait};
/// let soon = boot::now() + std::time::Duration::from_millis(1);
/// let never = futures_lite::future::pending::<()>();
/// assert_eq!(futures_lite::future::block_on(wait::until(soon, never)), None);
/// ```
pub async fn until<T>(deadline: id::Time, future: impl Future<Output = T>) -> Option<T> {
    within(deadline.saturating_sub(boot::now()), future).await
}

/// Awaits `future` for at most `limit`; `None` if it times out.
///
/// ```
/// use mangotray_desk::wait;
/// let limit = std::time::Duration::from_secs(1);
/// let ready = wait::within(limit, async { 7 });
/// assert_eq!(futures_lite::future::block_on(ready), Some(7));
/// ```
pub async fn within<T>(limit: time::Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        async_io::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}

/// Waits for `time`.
pub async fn sleep(time: time::Duration) {
    async_io::Timer::after(time).await;
}
