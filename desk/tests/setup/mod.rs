//! Set-ups that several tests share.

#![allow(dead_code)] // Each test binary uses only a part.

pub mod lending;
pub mod queueing;

use std::time;

pub const fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}
