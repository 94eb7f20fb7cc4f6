//! Keeps the observations of a group fresh.
