//! Exit codes.
