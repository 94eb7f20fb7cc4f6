//! Callers that run a profile and record what they were told.
