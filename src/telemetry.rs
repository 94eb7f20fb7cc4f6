//! Logs and metrics of a process.
