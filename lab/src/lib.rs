//! Stand-ins, workloads and measurements.
pub mod cli;
pub mod cluster;
pub mod database;
pub mod demo;
pub mod fault;
pub mod instance;
pub mod journal;
pub mod ledger;
pub mod platform;
pub mod profile;
pub mod run;
pub mod workload;
