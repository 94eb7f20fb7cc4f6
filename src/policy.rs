//! Policies for routing reads, confirming writes and promoting, to compare in measurements.

/// Policy of a proxy; all but `Default` are baselines for comparison.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The rules for normal operation.
    #[default]
    Default,
    /// All reads go to the primary.
    PrimaryOnly,
    /// Reads without a token go to the primary.
    TokenOnly,
    /// Unsafe: writes are confirmed by the primary alone.
    UnsafeAck,
    /// A promotion waits until a lease of ten seconds has certainly expired.
    LeaseExpiry,
}

impl std::str::FromStr for Policy {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        match text {
            "default" => Ok(Self::Default),
            "primary-only" => Ok(Self::PrimaryOnly),
            "token-only" => Ok(Self::TokenOnly),
            "unsafe-ack" => Ok(Self::UnsafeAck),
            "lease-expiry" => Ok(Self::LeaseExpiry),
            other => Err(eyre::eyre!("unknown policy {other:?}")),
        }
    }
}
