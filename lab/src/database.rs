//! SQL execution of an instance by an embedded library.
