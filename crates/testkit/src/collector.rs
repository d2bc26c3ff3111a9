//! A stand-in for a trace collector, which receives spans by OTLP over HTTP in the JSON
//! encoding and keeps them in memory.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::post;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::net::TcpListener;

/// The fields of a span that tests check.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CollectedSpan {
    /// ID of the trace, in hexadecimal.
    pub trace_id: String,
    /// ID of the span, in hexadecimal.
    pub span_id: String,
    /// ID of the parent span, in hexadecimal; empty for a root span.
    pub parent_id: String,
    /// Name of the span.
    pub name: String,
    /// Name of the process that recorded the span.
    pub instance: String,
}

/// A trace collector in memory.
#[derive(Debug, Clone, Default)]
pub struct TraceCollector {
    spans: Arc<Mutex<Vec<CollectedSpan>>>,
}

impl TraceCollector {
    /// Starts a collector on a free loopback port, and returns it with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> std::io::Result<(Self, SocketAddr)> {
        let collector = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/v1/traces", post(store_spans))
            .with_state(collector.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok((collector, address))
    }

    /// Returns the spans of a trace in the order in which they were received.
    pub fn spans(&self, trace_id: &str) -> Vec<CollectedSpan> {
        let spans = self.spans.lock();
        let found = spans.iter().filter(|span| span.trace_id == trace_id);
        found.cloned().collect()
    }

    /// Returns the names of the spans of a trace as a tree below the span with the ID
    /// `root_id`, one on each line, indented by depth. Equal subtrees of a parent are listed
    /// once.
    pub fn format_tree(&self, trace_id: &str, root_id: &str) -> String {
        let spans = self.spans(trace_id);
        let mut lines = Vec::new();
        add_subtrees(&spans, root_id, 0, &mut lines);
        lines.join("\n")
    }
}

fn add_subtrees(spans: &[CollectedSpan], parent_id: &str, depth: usize, lines: &mut Vec<String>) {
    let children = spans.iter().filter(|span| span.parent_id == parent_id);
    let mut subtrees: Vec<Vec<String>> = children
        .map(|child| {
            let mut subtree = vec![format!("{}{}", "  ".repeat(depth), child.name)];
            add_subtrees(spans, &child.span_id, depth + 1, &mut subtree);
            subtree
        })
        .collect();
    subtrees.sort();
    subtrees.dedup();
    lines.extend(subtrees.into_iter().flatten());
}

async fn store_spans(
    State(collector): State<TraceCollector>,
    Json(body): Json<Value>,
) -> Json<Value> {
    let mut spans = collector.spans.lock();
    for resource in array_items(&body, "resourceSpans") {
        let instance = instance_name(resource);
        for scope in array_items(resource, "scopeSpans") {
            let collected = array_items(scope, "spans").map(|span| read_span(span, &instance));
            spans.extend(collected);
        }
    }
    Json(Value::Object(serde_json::Map::new()))
}

fn array_items<'a>(value: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    value[name].as_array().into_iter().flatten()
}

fn instance_name(resource: &Value) -> String {
    let found = array_items(&resource["resource"], "attributes")
        .find(|attribute| attribute["key"] == "service.instance.id");
    found.map_or_else(String::new, |attribute| {
        text_or_empty(&attribute["value"]["stringValue"])
    })
}

fn read_span(span: &Value, instance: &str) -> CollectedSpan {
    CollectedSpan {
        trace_id: text_or_empty(&span["traceId"]),
        span_id: text_or_empty(&span["spanId"]),
        parent_id: text_or_empty(&span["parentSpanId"]),
        name: text_or_empty(&span["name"]),
        instance: instance.to_owned(),
    }
}

fn text_or_empty(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
