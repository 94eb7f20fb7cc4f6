//! Claims on unique terms, kept in the platform's store.
