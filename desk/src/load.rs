//! Load of the instances: what lending nodes report of it, and which decisions use it.

pub mod admission;
pub mod backlog;
pub mod budget;
pub mod choice;
pub mod delay;
pub mod forecast;
pub mod options;
pub mod report;
pub mod subscription;
pub mod table;
pub mod throttle;
