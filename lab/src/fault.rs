//! Faults by name and time.
