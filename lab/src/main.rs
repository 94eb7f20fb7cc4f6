//! Entry point of the lab.

fn main() {}
