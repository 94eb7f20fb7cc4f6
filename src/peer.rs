//! Calls between the proxies.
