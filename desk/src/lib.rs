//! Transaction pooling with session consistency, in front of database groups that replicate and
//! acknowledge commits themselves.
//!
//! Sessions belong to callers, connections are shared: a [`session::Session`] keeps the settings
//! and prepared statements of its caller, and a [`checkout::Checkout`] connection is brought to that state
//! before a statement runs on it. A [`group::Group`] tracks which instance is the primary and how
//! fresh the replicas are, and verifies both before a read depends on it. One node of the fleet
//! runs the [`promoter`], which replaces failed primaries.

pub mod absence;
pub mod access;
pub mod acknowledgement;
pub mod attempt;
pub mod audit;
pub mod backoff;
pub mod boot;
pub mod candidate;
pub mod catalog;
pub mod checkout;
pub mod cleanup;
pub mod commits;
pub mod concurrency;
pub mod configuration;
pub mod confirmer;
pub mod connection;
pub mod deadline;
pub mod declaration;
pub mod delegate;
pub mod detector;
pub mod election;
pub mod ended;
pub mod era;
pub mod floor;
pub mod group;
pub mod guarantees;
mod handover;
mod health;
pub mod holdback;
mod holding;
mod identity;
pub mod intent;
pub mod key;
pub mod leadership;
pub mod lending;
pub mod lifecycle;
pub mod limits;
pub mod listing;
pub mod load;
pub mod log;
pub mod member;
pub mod membership;
pub mod message;
pub mod monitor;
pub mod node;
pub mod organisation;
pub mod organisations;
pub mod peers;
pub mod permit;
pub mod phase;
pub mod pinned;
pub mod pool;
pub mod probe;
pub mod progress;
pub mod promote;
pub mod promoter;
pub mod promotion;
pub mod proof;
pub mod query;
pub mod question;
pub mod recording;
pub mod records;
pub mod registration;
pub mod relief;
mod renewal;
pub mod reply;
pub mod resumes;
pub mod retry;
pub mod room;
pub mod roster;
pub mod schedule;
pub mod seal;
mod selection;
pub mod session;
pub mod settings;
pub mod shortage;
pub mod shortfall;
pub mod shutdown;
pub mod source;
pub mod standstill;
pub mod statement;
pub mod status;
mod transaction;
pub mod uncertainty;
pub mod upstream;
pub mod urgency;
pub mod validity;
pub mod verdict;
pub mod wait;
pub mod witness;
