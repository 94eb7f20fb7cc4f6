//! Reads the operators' INI file into a checked catalog.
