//! Rate limits of organisations, counted by the nodes together.

pub mod bucket;
pub mod buckets;
pub mod quota;
pub mod quotas;
pub mod tolerance;
