//! The proxy daemon.

fn main() {}
