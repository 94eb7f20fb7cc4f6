//! Named ways to route reads and confirm writes, for measurements side by side.

/// What the proxy does; all but `Default` are baselines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The product's own rules.
    #[default]
    Default,
    /// All reads go to the primary.
    PrimaryOnly,
    /// Reads without a token go to the primary.
    TokenOnly,
    /// Unsafe: writes are confirmed by the primary alone.
    UnsafeAck,
    /// A promotion waits until a lease of ten seconds has surely ended.
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
