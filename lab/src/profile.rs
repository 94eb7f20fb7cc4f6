//! The users' two profiles: sizes, delays, statements.
