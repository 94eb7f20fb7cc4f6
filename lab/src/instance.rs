//! One stand-in instance that speaks the `PostgreSQL` wire protocol.
