//! Learned capacity of an instance: how many statements it takes well, and how long they take.
//!
//! Addresses instances of one group that differ in speed, or that slow down long before all of
//! their slots are busy. A fixed limit and fixed times give each of them the same work. The node
//! that holds the connections learns both from the answers, without messages to the other nodes
//! that share the instance. See `docs/design/adaptive-concurrency.md`.

pub mod controller;
pub mod estimate;
pub mod exchange;
pub mod journal;
pub mod kind;
pub mod level;
pub mod limit;
