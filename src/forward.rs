//! Sends a session's batches to a proxy that serves the group.
