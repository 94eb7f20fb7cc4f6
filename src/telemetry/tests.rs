use crate::telemetry;

#[test]
fn a_second_installation_renders_the_same_metrics() {
    let first = telemetry::Handle::install();
    let second = telemetry::Handle::install();
    metrics::counter!(telemetry::READS, "source" => telemetry::REPLICA).increment(2);
    metrics::histogram!(telemetry::FAILOVER_GAP).record(0.7);
    let text = second.render();
    assert!(text.contains("mangotray_reads_total{source=\"replica\"} 2"));
    assert!(text.contains("mangotray_failover_gap_seconds_bucket{le=\"0.5\"} 0"));
    assert!(text.contains("mangotray_failover_gap_seconds_bucket{le=\"1\"} 1"));
    assert!(
        first
            .render()
            .contains("# HELP mangotray_reads_total Reads served, by source")
    );
}
