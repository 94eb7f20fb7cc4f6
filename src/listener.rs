//! Accepts callers.
