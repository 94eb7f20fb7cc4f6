//! Rate limits of organisations, counted by the nodes together.

pub mod allowance;
pub mod borrowing;
pub mod bucket;
pub mod buckets;
pub mod denials;
pub mod lease;
pub mod ownership;
pub mod quota;
pub mod quotas;
pub mod shard;
pub mod shares;
pub mod slice;
pub mod tokens;
pub mod tolerance;
pub mod view;
