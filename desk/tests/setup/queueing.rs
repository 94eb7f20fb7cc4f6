//! Requests of several organisations that wait for an instance, in virtual time.

use mangotray_desk::organisation;
use mangotray_desk::room::schedule;

/// Statements that the instance runs at once.
pub const SLOTS: usize = 4;

/// A request that waits, with what the test notes about it.
pub struct Request<T> {
    pub entry: schedule::Entry,
    pub organisation: usize,
    pub note: T,
}

/// Names of so many organisations.
pub fn names(count: usize) -> Vec<organisation::Name> {
    (0..count)
        .map(|index| compact_str::format_compact!("o{index}"))
        .collect()
}

/// The entries of the requests that wait, and the organisations that they are of.
pub fn queue<'a, T>(
    waiting: &[Request<T>],
    names: &'a [organisation::Name],
) -> (Vec<schedule::Entry>, Vec<&'a organisation::Name>) {
    let of = |request: &Request<T>| (request.entry, &names[request.organisation]);
    waiting.iter().map(of).unzip()
}
