//! Failure detection of a primary.
