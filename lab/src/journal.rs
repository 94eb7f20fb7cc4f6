//! Log of an instance and its replication.
