//! Room at one instance: connections, permits to run a statement, and the queues for both.

pub(crate) mod capacity;
pub(crate) mod connections;
pub(crate) mod limiter;
pub(crate) mod opening;
pub mod queue;
pub mod schedule;
pub mod shedding;
pub mod size;
pub mod transactions;
pub mod turns;
pub mod usage;
pub mod window;
