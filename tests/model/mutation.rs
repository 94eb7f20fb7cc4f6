//! Broken variants of the rules, each of which the checker must notice.

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Stamps carry the fence term of the instance in place of the record's term.
    FenceTermCompared,
    /// One fenced instance suffices for a promotion.
    OneFencedInstance,
    /// An instance fenced higher still takes the log of a lower term.
    LowerTermLogAccepted,
    /// A replica's stamp of a later term confirms a record.
    LaterTermConfirms,
    /// A replica that has been fenced higher still confirms.
    HigherFenceConfirms,
    /// The primary alone confirms.
    PrimaryAloneConfirms,
    /// One instance is sampled for a read that carries nothing.
    OneSampledInstance,
    /// Two promoters hold the same term.
    TermShared,
    /// After a lost answer, another fenced instance is promoted at the same term.
    TermReused,
    /// An instance that lost its log counts as a voter.
    EmptyInstanceVotes,
    /// An instance that lost its log votes again once it has copied any primary's log.
    CopiedLogVotes,
    /// An instance that lost its log votes again once it has copied a primary's log while
    /// no other instance is fenced higher.
    WitnessedCopyVotes,
    /// An instance that lost its log can be promoted.
    EmptyInstancePromoted,
    /// A status is taken as fresh by the time its answer arrived.
    AnswerTimeCompared,
    /// A stamp seen before the instance lost its log still counts.
    IncarnationIgnored,
    /// A write whose answer was lost is reported as not run.
    LostAnswerReportedNotRun,
    /// A write whose answer was lost is sent again.
    LostAnswerRetried,
    /// An instance forgets its fence when it restarts.
    FenceForgotten,
    /// An instance loses its last record when it restarts.
    LastRecordForgotten,
}
