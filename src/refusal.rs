//! Turns outcomes into error frames with standard SQLSTATEs.
