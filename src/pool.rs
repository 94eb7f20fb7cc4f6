//! Working connections to one instance.
