//! Promotion of a new primary, as a state machine.
