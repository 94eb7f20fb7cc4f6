//! Deliberately broken rules, to check that the search finds their violations.

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Stamps carry the fence term of the instance in place of the record's term.
    FenceTermCompared,
    /// One fenced instance suffices for a promotion.
    OneFencedInstance,
    /// An instance accepts the log of a term below its fence.
    LowerTermLogAccepted,
    /// A replica's stamp of a later term confirms a record.
    LaterTermConfirms,
    /// The status of a replica fenced at a later term confirms a record.
    HigherFenceConfirms,
    /// The primary confirms without any replica.
    PrimaryAloneConfirms,
    /// One sampled instance suffices for a read without a token.
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
    /// The freshness of a status is judged by the time of its answer.
    AnswerTimeCompared,
    /// A stamp sampled before the instance lost its log still counts.
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
