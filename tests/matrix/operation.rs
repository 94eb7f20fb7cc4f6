//! Operations of the matrix, and their steps at which a fault can be injected.

use crate::fault::enum_with_list;

enum_with_list! {
    /// Effect of a batch.
    Kind {
        /// Writes one record and commits it.
        Write => "write",
        /// Opens a transaction.
        Begin => "begin",
        /// Writes one record in a transaction.
        Insert => "insert",
        /// Commits.
        Commit => "commit",
        /// Reads all records.
        Read => "read",
    }
}

/// A place in the code of the fakes that a proxy reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Before the first call of the operation.
    Start,
    /// A batch arrives at an instance.
    Arrives(Kind),
    /// An instance has executed a batch and has not answered.
    Ran(Kind),
    /// A probe starts after the batch was answered; probes confirm writes.
    Confirms,
    /// The store is read.
    Loads,
    /// A change of the store arrives.
    Swaps,
    /// A change of the store has taken effect and has not been answered.
    Swapped,
    /// The revocation of a lease arrives at the store.
    Revokes,
    /// A lease has been revoked and the store has not answered.
    Revoked,
    /// A fencing call takes effect; the value is the number of earlier ones.
    Fenced(usize),
    /// A promotion call arrives at an instance.
    Promotes,
    /// A promotion call has taken effect and has not been answered.
    Promoted,
}

/// A step of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Name in the matrix.
    pub name: &'static str,
    /// Place in the code of the fakes.
    pub point: Point,
}

const fn step(name: &'static str, point: Point) -> Step {
    Step { name, point }
}

enum_with_list! {
    /// An operation under test.
    Operation {
        /// One write outside a transaction.
        Write => "Write",
        /// A transaction of one write.
        Transaction => "Transaction",
        /// A read without a token.
        Read => "Read without a token",
        /// A read with the token of the preceding write.
        TokenRead => "Read with a token",
        /// A read that accepts data up to a stated age.
        AgedRead => "Read of a stated age",
        /// Replacement of a primary that was lost.
        Promotion => "Promotion after the primary was lost",
        /// Replacement of a primary that operators take out of service.
        Replacement => "Promotion while the primary is well",
        /// Applying an operator's file.
        Apply => "Apply",
        /// Graceful shutdown of a proxy with a write in flight.
        Drain => "Drain of a proxy",
    }
}

impl Operation {
    /// Returns the operation's steps in order.
    pub const fn steps(self) -> &'static [Step] {
        match self {
            Self::Write => {
                const {
                    &[
                        step("before it is routed", Point::Start),
                        step("arrives at the primary", Point::Arrives(Kind::Write)),
                        step("ran, not answered", Point::Ran(Kind::Write)),
                        step("answered, not confirmed", Point::Confirms),
                    ]
                }
            }
            Self::Transaction => {
                const {
                    &[
                        step("before it is opened", Point::Start),
                        step("opened, not answered", Point::Ran(Kind::Begin)),
                        step("its write arrives", Point::Arrives(Kind::Insert)),
                        step("its write ran, not answered", Point::Ran(Kind::Insert)),
                        step("its commit arrives", Point::Arrives(Kind::Commit)),
                        step("committed, not answered", Point::Ran(Kind::Commit)),
                        step("answered, not confirmed", Point::Confirms),
                    ]
                }
            }
            Self::Read | Self::TokenRead | Self::AgedRead => {
                const {
                    &[
                        step("before it is routed", Point::Start),
                        step("arrives at an instance", Point::Arrives(Kind::Read)),
                        step("ran, not answered", Point::Ran(Kind::Read)),
                    ]
                }
            }
            Self::Promotion | Self::Replacement => {
                const {
                    &[
                        step("before the term is claimed", Point::Loads),
                        step("one instance fenced", Point::Fenced(0)),
                        step("a majority fenced", Point::Fenced(1)),
                        step("before the promotion arrives", Point::Promotes),
                        step("promoted, not answered", Point::Promoted),
                    ]
                }
            }
            Self::Apply => {
                const {
                    &[
                        step("before the file in force is read", Point::Loads),
                        step("before the swap", Point::Swaps),
                        step("swapped, not answered", Point::Swapped),
                    ]
                }
            }
            Self::Drain => {
                const {
                    &[
                        step("with a write on its way", Point::Arrives(Kind::Write)),
                        step("before the others are told", Point::Swaps),
                        step("told, not answered", Point::Swapped),
                        step("before the lease is given back", Point::Revokes),
                        step("given back, not answered", Point::Revoked),
                    ]
                }
            }
        }
    }
}
