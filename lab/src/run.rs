//! One measured run of a profile under faults.
