//! Status, fencing and promotion of an instance over SQL.
