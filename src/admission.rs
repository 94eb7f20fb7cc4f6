//! Bounded, fair, deadline-ordered queue before an instance.
