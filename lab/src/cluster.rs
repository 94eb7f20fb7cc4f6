//! A database group of stand-in instances, with faults.
