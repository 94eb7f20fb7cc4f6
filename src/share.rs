//! A VM's share of an instance's connections and slots.
