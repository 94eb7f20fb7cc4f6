//! Stand-ins, workloads and measurements.
