//! Retry budget and backoff.
