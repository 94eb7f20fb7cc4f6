//! Logs and metrics of a process.
//!
//! Metric names are defined here only. Label values come from fixed sets (`source`, `class`,
//! `outcome`, `result`, `kind`) or from the operators' file (`group`), never from callers, so that
//! the number of time series is bounded.

use std::io::IsTerminal;
use std::sync;

use crate::settings;

/// Requests answered or refused; labels `class` and `outcome`.
pub const REQUESTS: &str = "mangotray_requests_total";
/// Reads served; label `source` is [`SOURCE_REPLICA`] or [`SOURCE_PRIMARY`].
pub const READS: &str = "mangotray_reads_total";
/// Time from the last observation of a working primary to the first of the next term's primary;
/// label `group`.
pub const FAILOVER_GAP: &str = "mangotray_failover_gap_seconds";
/// Open caller connections.
pub const CALLERS: &str = "mangotray_callers";
/// Caller connections refused because a connection limit was reached.
pub const CALLERS_REFUSED: &str = "mangotray_callers_refused_total";
/// Requests that are running on instances or waiting for one; label `group`.
pub const QUEUE_DEPTH: &str = "mangotray_queue_depth";
/// Open connections to upstreams; label `group`.
pub const UPSTREAM_CONNECTIONS: &str = "mangotray_upstream_connections";
/// Revision of the current configuration.
pub const CONFIG_REVISION: &str = "mangotray_config_revision";
/// Promotions that this process completed; label `group`.
pub const PROMOTIONS: &str = "mangotray_promotions_total";
/// Replicas found to have records that the promoted instance lacks; label `group`.
pub const PROMOTION_LOSSES: &str = "mangotray_promotion_losses_total";
/// Promotions of an instance that lacks commits which callers were told are kept; label `group`.
pub const SHORT_PROMOTIONS: &str = "mangotray_short_promotions_total";
/// Promotion orders that were not sent, as their permission had ended; label `reason`.
pub const UNSENT_ORDERS: &str = "mangotray_unsent_orders_total";
/// Times that this process stood still: it was suspended, or got no processor.
pub const STANDSTILLS: &str = "mangotray_standstills_total";
/// 1 while a promotion of the group is held back on this node; label `group`.
pub const PROMOTION_HELD_BACK: &str = "mangotray_promotion_held_back";
/// Calls to the platform's key-value service; labels `kind` and `outcome`.
pub const STORE_CALLS: &str = "mangotray_store_calls_total";
/// Bytes of answers of the platform's key-value service, including abandoned ones; labels `kind`
/// and `outcome`.
pub const STORE_ANSWER_BYTES: &str = "mangotray_store_answer_bytes_total";
/// Era of the platform's store, which rises when the store is restored from an older copy.
pub const STORE_ERA: &str = "mangotray_store_era";
/// For how long changes of the platform's store are known to be missing on this node, in seconds.
pub const STORE_LAG: &str = "mangotray_store_lag_seconds";
/// Sessions offered to another proxy; label `result`.
pub const FORWARDS: &str = "mangotray_forwards_total";

/// Statements that this process runs on an instance at once, at most, after each round of answers
/// from which the limit is learned.
pub const CONCURRENCY_LIMIT: &str = "mangotray_concurrency_limit";
/// Expected time of an exchange with an instance, after each such round.
pub const EXPECTED_EXCHANGE: &str = "mangotray_expected_exchange_seconds";

/// Value of label `source` for reads served by a replica.
pub const SOURCE_REPLICA: &str = "replica";
/// Value of label `source` for reads served by the primary.
pub const SOURCE_PRIMARY: &str = "primary";

const FAILOVER_GAP_BUCKETS_SECONDS: [f64; 9] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 12.0, 30.0];

static RECORDER: sync::OnceLock<Handle> = sync::OnceLock::new();

/// Access to the metrics of the process.
#[derive(Clone)]
pub struct Handle {
    prometheus: metrics_exporter_prometheus::PrometheusHandle,
}

impl Handle {
    /// Installs the process's metrics recorder, or returns the one installed before.
    ///
    /// All daemons in one process share one recorder.
    ///
    /// # Panics
    /// If a recorder was installed without this function.
    ///
    /// ```
    /// use mangotray::telemetry;
    /// let handle = telemetry::Handle::install();
    /// metrics::counter!(telemetry::PROMOTIONS).increment(1);
    /// assert!(handle.render().contains("mangotray_promotions_total 1"));
    /// ```
    pub fn install() -> Self {
        RECORDER.get_or_init(Self::build).clone()
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// ```
    /// let handle = mangotray::telemetry::Handle::install();
    /// metrics::gauge!(mangotray::telemetry::CALLERS).set(3.0);
    /// assert!(handle.render().contains("# TYPE mangotray_callers gauge"));
    /// ```
    #[must_use]
    pub fn render(&self) -> String {
        self.prometheus.run_upkeep();
        self.prometheus.render()
    }

    fn build() -> Self {
        let recorder = recorder();
        let prometheus = recorder.handle();
        metrics::set_global_recorder(recorder).expect("no other recorder is installed");
        describe();
        Self { prometheus }
    }
}

type Builder = metrics_exporter_prometheus::PrometheusBuilder;
type BuildResult = Result<Builder, metrics_exporter_prometheus::BuildError>;

fn recorder() -> metrics_exporter_prometheus::PrometheusRecorder {
    with_buckets(Builder::new(), FAILOVER_GAP, &FAILOVER_GAP_BUCKETS_SECONDS)
        .expect("bucket lists are not empty")
        .build_recorder()
}

fn with_buckets(builder: Builder, name: &str, buckets: &[f64]) -> BuildResult {
    let matcher = metrics_exporter_prometheus::Matcher::Full(name.to_owned());
    builder.set_buckets_for_metric(matcher, buckets)
}

fn describe() {
    describe_counters();
    describe_gauges();
    describe_histograms();
}

fn describe_counters() {
    let counters = [
        (
            REQUESTS,
            "Requests answered or refused, by class and outcome",
        ),
        (READS, "Reads served, by source"),
        (
            CALLERS_REFUSED,
            "Caller connections refused for want of room",
        ),
        (
            PROMOTIONS,
            "Promotions that this process carried through, by group",
        ),
        (
            PROMOTION_LOSSES,
            "Replicas with records that the instance promoted instead lacks, by group",
        ),
        (
            SHORT_PROMOTIONS,
            "Promotions of an instance that lacks commits which callers were told are kept, by group",
        ),
        (
            UNSENT_ORDERS,
            "Promotion orders that were not sent as their permission had ended, by reason",
        ),
        (
            STANDSTILLS,
            "Times that this process was suspended or got no processor",
        ),
        (
            STORE_CALLS,
            "Calls to the platform's service, by kind and outcome",
        ),
        (
            STORE_ANSWER_BYTES,
            "Bytes of answers of the platform's service, by kind and outcome",
        ),
        (FORWARDS, "Sessions offered to another proxy, by result"),
    ];
    for (name, text) in counters {
        metrics::describe_counter!(name, metrics::Unit::Count, text);
    }
}

fn describe_gauges() {
    let gauges = [
        (CALLERS, "Caller connections open now"),
        (
            QUEUE_DEPTH,
            "Requests running or waiting before instances now, by group",
        ),
        (
            UPSTREAM_CONNECTIONS,
            "Connections open to upstreams now, by group",
        ),
        (CONFIG_REVISION, "Revision of the configuration in force"),
        (
            PROMOTION_HELD_BACK,
            "1 while a promotion is held back on this node, by group",
        ),
        (
            STORE_LAG,
            "For how long changes of the platform's store are known to be missing on this node",
        ),
        (
            STORE_ERA,
            "Era of the platform's store; it rises when the store comes back from an older copy",
        ),
    ];
    for (name, text) in gauges {
        metrics::describe_gauge!(name, metrics::Unit::Count, text);
    }
}

fn describe_histograms() {
    let histograms = [(
        FAILOVER_GAP,
        "Time from the last sight of a well primary to that of the next term's, by group",
    )];
    for (name, text) in histograms {
        metrics::describe_histogram!(name, metrics::Unit::Seconds, text);
    }
}

/// Starts logging to standard error, with colours only on a terminal.
///
/// # Errors
/// When the filter cannot be parsed or logging has already been started.
///
/// ```
/// let log = mangotray::settings::Log::default();
/// assert!(mangotray::telemetry::init_logging(&log).is_ok());
/// assert!(mangotray::telemetry::init_logging(&log).is_err());
/// ```
pub fn init_logging(settings: &settings::Log) -> eyre::Result<()> {
    let filter = tracing_subscriber::EnvFilter::builder().parse(&settings.filter)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    let started = match settings.format {
        settings::Format::Text => builder.try_init(),
        settings::Format::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| eyre::eyre!(error))
}

#[cfg(test)]
mod tests;
