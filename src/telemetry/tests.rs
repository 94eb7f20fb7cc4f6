use crate::telemetry;

#[test]
fn metrics_are_rendered_with_their_descriptions() {
    let recorder = telemetry::recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        telemetry::describe();
        metrics::counter!(telemetry::READS, "source" => telemetry::SOURCE_REPLICA).increment(2);
        metrics::histogram!(telemetry::FAILOVER_GAP).record(0.7);
    });
    let text = handle.render();
    assert!(text.contains("# HELP mangotray_reads_total Reads served, by source"));
    assert!(text.contains("mangotray_reads_total{source=\"replica\"} 2"));
    assert!(text.contains("mangotray_failover_gap_seconds_bucket{le=\"0.5\"} 0"));
    assert!(text.contains("mangotray_failover_gap_seconds_bucket{le=\"1\"} 1"));
}

#[test]
fn a_second_installation_renders_the_same_metrics() {
    let first = telemetry::Handle::install();
    let second = telemetry::Handle::install();
    metrics::counter!("test_installed_total").increment(1);
    assert!(first.render().contains("test_installed_total 1"));
    assert!(second.render().contains("test_installed_total 1"));
}
