//! A caller's connection: reads batches, runs them, relays whole answers.
