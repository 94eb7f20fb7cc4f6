//! Load of the instances: what lending nodes report of it, and which decisions use it.

pub mod options;
pub mod report;
