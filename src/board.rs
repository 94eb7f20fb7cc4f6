//! Last observations of a group's instances, and what follows from them.
