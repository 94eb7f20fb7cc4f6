//! Finds out what a batch of statements needs, by parsing it.
