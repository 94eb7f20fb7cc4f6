//! Checks of a configuration before operators put it in force.

pub mod check;
mod contradictions;
mod differences;
pub mod document;
mod errors;
pub mod finding;
pub mod label;
mod unused;
