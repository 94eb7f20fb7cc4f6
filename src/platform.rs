//! The platform's service over HTTP with JSON.
