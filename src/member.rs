//! View of the live VMs.
