//! Puts a whole file in force by compare-and-swap.
