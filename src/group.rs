//! Runtime of one database group on this proxy.
