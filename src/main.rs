//! Command-line client for operators.

fn main() {}
