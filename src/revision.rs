//! Spread of configuration revisions; a node never goes back.
