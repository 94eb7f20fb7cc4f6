//! Which VMs serve which database group.
