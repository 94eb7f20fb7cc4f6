//! A working connection to an instance over the `PostgreSQL` wire protocol.
