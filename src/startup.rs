//! Opening of a caller's connection, up to the first `ReadyForQuery`.
