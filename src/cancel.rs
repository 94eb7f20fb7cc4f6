//! Cancel requests of callers.
