//! Broken variants of the rules, each of which the checker must notice.

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Stamps carry the fence term of the instance in place of the record's term.
    FenceTermCompared,
    /// One fenced instance suffices for a promotion.
    OneFenced,
    /// An instance fenced higher still takes the log of a lower term.
    ShippedToFenced,
    /// A replica's stamp of a later term confirms a record.
    LaterTermConfirms,
    /// A replica that has been fenced higher still confirms.
    FencedConfirms,
    /// The primary alone confirms.
    PrimaryConfirms,
    /// One instance is sampled for a read that carries nothing.
    OneSampled,
    /// Two promoters hold the same term.
    TermShared,
    /// After a lost answer, another fenced instance is promoted at the same term.
    TermReused,
    /// An instance that lost its log counts as a voter.
    WipedVotes,
    /// An instance that lost its log votes again once it has copied any primary's log.
    CopiedVotes,
    /// An instance that lost its log votes again once it has copied a primary's log while
    /// no other instance is fenced higher.
    WitnessedVotes,
    /// An instance that lost its log can be promoted.
    WipedPromoted,
    /// A status is taken as fresh by the time its answer arrived.
    FinishedCompared,
    /// A stamp seen before the instance lost its log still counts.
    IncarnationIgnored,
    /// A write whose answer was lost is reported as not run.
    LostReported,
    /// A write whose answer was lost is sent again.
    LostRetried,
    /// An instance forgets its fence when it restarts.
    FenceForgotten,
    /// An instance loses its last record when it restarts.
    RecordForgotten,
}
