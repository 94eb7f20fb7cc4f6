//! One group, one platform and two proxies in one process.
