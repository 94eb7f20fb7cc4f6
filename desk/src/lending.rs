//! Connections to instances that some nodes hold and lend to the others.

pub mod fleet;
pub mod relay;
pub mod remote;
pub mod router;
pub mod serving;
pub mod shard;
