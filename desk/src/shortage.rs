//! Why no connection of a pool could be checked out.

/// Why no connection could be checked out. The names of the variants are part of a text that relays
/// send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// All connections were in use until the deadline.
    Late,
    /// The first connection was still being opened at the deadline.
    Opening,
    /// The instance cannot be reached.
    Down,
    /// The instance accepts no more connections, and this node has none open.
    Full,
}
