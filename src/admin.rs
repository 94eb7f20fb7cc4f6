//! HTTP endpoint for status and metrics.
