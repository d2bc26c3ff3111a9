//! Tests that the spans that several processes export for one request form one trace.

use bytes::Bytes;
use expect_test::expect;
use hyssopstair::ops::load::caller::CallerConnector;
use hyssopstair::ops::load::caller::CallerFlow;
use hyssopstair::ops::load::caller::read_response;
use hyssopstair_testkit::collector::TraceCollector;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;

/// Trace ID of the caller.
const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// ID of the caller's span, below which the exported spans form a tree.
const CALLER_SPAN_ID: &str = "b7ad6b7169203331";

/// Opens a flow to a service.
async fn open_flow(fleet: &TestFleet, service: &str) -> CallerFlow {
    let connector = CallerConnector::with_root_certificate(&fleet.certificate_path()).unwrap();
    let address = fleet.service_address(service);
    connector.connect(service, address.into()).await.unwrap()
}

/// Requests a document with a trace context, and returns the length of the response body in
/// bytes. The flags are `01` for a sampled request and `00` for any other.
async fn fetch_traced(flow: &CallerFlow, flags: &str) -> usize {
    let request = flow
        .request("GET", "/work/certificates/7", "")
        .header(
            "traceparent",
            format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-{flags}"),
        )
        .body(())
        .unwrap();
    let (head, stream) = flow.send(request, Bytes::new()).await.unwrap();
    read_response(head, stream).await.unwrap().body.len()
}

/// Returns a plan whose daemons export their spans to the collector at `url`.
fn plan_with_collector(url: &str) -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.extra_settings = format!("traces: {url}\n");
    plan
}

#[tokio::test(flavor = "multi_thread")]
async fn the_spans_of_a_sampled_request_are_joined_across_processes() {
    let (collector, address) = TraceCollector::start().await.unwrap();
    let fleet = TestFleet::start(plan_with_collector(&format!("http://{address}")))
        .await
        .unwrap();
    let flow = open_flow(&fleet, "diplomakluis").await;
    fetch_traced(&flow, "00").await;
    let body_length = fetch_traced(&flow, "01").await;
    assert_eq!(body_length, 16 * 1_024);
    fleet
        .wait_for(
            "export of the spans of the host and of a balancer",
            async || {
                let spans = collector.spans(TRACE_ID);
                let has_span = |name| spans.iter().any(|span| span.name == name);
                has_span("request") && has_span("backend server call") && has_span("balancer")
            },
        )
        .await
        .unwrap();
    expect![[r#"
        request
          backend server call
          balancer"#]]
    .assert_eq(&collector.format_tree(TRACE_ID, CALLER_SPAN_ID));
    let all_spans = collector.spans(TRACE_ID);
    let request_spans = all_spans.iter().filter(|span| span.name == "request");
    assert_eq!(
        request_spans.count(),
        1,
        "a request that was not sampled has a span"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_queue_wait_and_the_relay_of_a_request_have_spans() {
    let (collector, address) = TraceCollector::start().await.unwrap();
    let mut plan = plan_with_collector(&format!("http://{address}"));
    plan.work_millis = 200;
    let fleet = TestFleet::start(plan).await.unwrap();
    let flow = open_flow(&fleet, "diplomakluis").await;
    // Each of the two hosts of the service has 3 slots and a queue of 6 requests, so that some of
    // the concurrent requests wait in the queue and some are relayed to the other host.
    let requests = (0..16).map(|_| fetch_traced(&flow, "01"));
    futures::future::join_all(requests).await;
    fleet
        .wait_for(
            "export of the spans of the queue wait and of the relay",
            async || {
                let tree = collector.format_tree(TRACE_ID, CALLER_SPAN_ID);
                tree.contains("admission wait") && tree.contains("      backend server call")
            },
        )
        .await
        .unwrap_or_else(|error| {
            panic!(
                "{error}: {}",
                collector.format_tree(TRACE_ID, CALLER_SPAN_ID)
            )
        });
    let span_tree = collector.format_tree(TRACE_ID, CALLER_SPAN_ID);
    // The span of a balancer may not have been exported yet.
    let host_lines = span_tree.lines().filter(|line| line.trim() != "balancer");
    let mut unique_lines: Vec<&str> = host_lines.collect();
    unique_lines.sort_unstable();
    unique_lines.dedup();
    expect![[r#"
              backend server call
            relayed request
          admission wait
          backend server call
          peer relay
        request"#]]
    .assert_eq(&unique_lines.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_collector_delays_no_request() {
    // Connections to port 9 of this address are refused.
    let fleet = TestFleet::start(plan_with_collector("http://127.0.0.77:9"))
        .await
        .unwrap();
    let flow = open_flow(&fleet, "diplomakluis").await;
    let start = std::time::Instant::now();
    for _ in 0..20 {
        assert_eq!(fetch_traced(&flow, "01").await, 16 * 1_024);
    }
    let mean_time = start.elapsed() / 20;
    assert!(
        mean_time < std::time::Duration::from_millis(500),
        "{mean_time:?}"
    );
    fleet
        .wait_for(
            "warning about the collector in the log of a host",
            async || {
                let logs = fleet
                    .host_names()
                    .into_iter()
                    .map(|name| fleet.read_log(&name));
                logs.collect::<String>()
                    .contains("traces: failed to export spans to the collector")
            },
        )
        .await
        .unwrap();
}
