//! Test of the metrics in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::metrics::GaugeValues;
use hyssopstair_telemetry::metrics::MemberCount;
use hyssopstair_telemetry::metrics::MetricsExporter;
use hyssopstair_telemetry::metrics::record_request;
use hyssopstair_telemetry::traces::ProcessAttributes;

fn gauge_values() -> GaugeValues {
    let members = vec![MemberCount {
        role: "host",
        state: "alive",
        count: 10,
    }];
    GaugeValues {
        members,
        config_version: 7,
    }
}

/// Returns the lines that do not depend on the machine, without the label of the
/// instrumentation scope.
fn stable_lines(text: &str) -> String {
    text.lines()
        .filter(|line| !line.starts_with('#') && !line.starts_with("process_"))
        .filter(|line| !line.contains("_bucket{") || line.contains("0.025"))
        .map(|line| line.replace("otel_scope_name=\"hyssopstair\"", ""))
        .map(|line| line.replace(",}", "}").replace(",,", ",").replace("{}", ""))
        .collect::<Vec<_>>()
        .join("\n")
}

#[test]
fn metric_names_and_units_follow_the_conventions() {
    let attributes = ProcessAttributes {
        role: "balancer",
        instance: "127.0.0.1:7000",
        zone: "utr-a",
    };
    let exporter = MetricsExporter::start(attributes.resource(), Arc::new(gauge_values)).unwrap();
    COUNTERS.packets_forwarded.add(3);
    COUNTERS.packets_dropped.increment("no_host");
    COUNTERS.packets_dropped.increment("malformed");
    COUNTERS.packets_dropped.increment("no_host");
    COUNTERS.control_bytes_sent.add(120);
    let _open_flow = COUNTERS.flows_open.enter();
    drop(COUNTERS.flows_open.enter());
    record_request("done", "POST", Duration::from_millis(20));
    let text = exporter.render().unwrap();
    expect![[r#"
        hyssopstair_configuration_version 7
        hyssopstair_control_received_bytes_total 0
        hyssopstair_control_sent_bytes_total 120
        hyssopstair_flows_open 1
        hyssopstair_flows_opened_total 0
        hyssopstair_packets_dropped_total{reason="malformed"} 1
        hyssopstair_packets_dropped_total{reason="no_host"} 2
        hyssopstair_packets_forwarded_total 3
        hyssopstair_packets_opening_total 0
        hyssopstair_packets_passed_on_total 0
        hyssopstair_packets_returned_total 0
        hyssopstair_platform_calls_total 0
        hyssopstair_platform_errors_total 0
        hyssopstair_platform_writes_total 0
        hyssopstair_request_duration_seconds_bucket{http_request_method="POST",hyssopstair_verdict="done",le="0.025"} 1
        hyssopstair_request_duration_seconds_sum{http_request_method="POST",hyssopstair_verdict="done"} 0.02
        hyssopstair_request_duration_seconds_count{http_request_method="POST",hyssopstair_verdict="done"} 1
        hyssopstair_requests_open 0
        hyssopstair_requests_queued 0
        hyssopstair_requests_relayed_total 0
        hyssopstair_resets_total 0
        hyssopstair_roster_members{role="host",state="alive"} 10
        hyssopstair_spans_lost_total 0
        target_info{cloud_availability_zone="utr-a",hyssopstair_role="balancer",service_instance_id="127.0.0.1:7000",service_name="hyssopstaird"} 1"#]].assert_eq(&stable_lines(&text));
}
