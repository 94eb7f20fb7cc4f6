//! Small stand-ins of the platform's store, of database instances and of requesters, as the users'
//! pages describe them, for the scripts of the review.

pub mod client;
pub mod instance;
pub mod node;
pub mod stage;
pub mod store;
pub mod world;
