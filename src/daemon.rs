//! A whole proxy process, from settings to drained.
