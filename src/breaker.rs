//! Circuit breaker of one instance.
