//! Carries named prepared statements across pooled connections.
