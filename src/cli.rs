//! Command-line arguments.
