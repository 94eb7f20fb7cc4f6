//! Command-line arguments of the lab.
