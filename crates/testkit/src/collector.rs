//! A stand-in for a collector of traces: takes spans by OTLP over HTTP in its
//! JSON form and keeps them.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::post;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::net::TcpListener;

/// One span, as far as tests look at it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CollectedSpan {
    /// The trace, in hexadecimal digits.
    pub trace: String,
    /// The span, in hexadecimal digits.
    pub span: String,
    /// The parent, in hexadecimal digits.
    pub parent: String,
    /// The name.
    pub name: String,
    /// The process that made it.
    pub instance: String,
}

/// The stand-in.
#[derive(Debug, Clone, Default)]
pub struct TraceCollector {
    spans: Arc<Mutex<Vec<CollectedSpan>>>,
}

impl TraceCollector {
    /// Starts to collect on a free port of the loopback network, and returns
    /// the collector and its address.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be opened.
    pub async fn start() -> std::io::Result<(Self, SocketAddr)> {
        let collector = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/v1/traces", post(take))
            .with_state(collector.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok((collector, address))
    }

    /// Returns the spans of a trace.
    pub fn spans(&self, trace: &str) -> Vec<CollectedSpan> {
        let spans = self.spans.lock();
        let found = spans.iter().filter(|span| span.trace == trace);
        found.cloned().collect()
    }

    /// Returns the spans of a trace as a tree below `root`, one name a line,
    /// indented by depth. Equal neighbours of one parent are written once.
    pub fn format_tree(&self, trace: &str, root: &str) -> String {
        let spans = self.spans(trace);
        let mut lines = Vec::new();
        add_children(&spans, root, 0, &mut lines);
        lines.join("\n")
    }
}

fn add_children(spans: &[CollectedSpan], parent: &str, depth: usize, lines: &mut Vec<String>) {
    let children = spans.iter().filter(|span| span.parent == parent);
    let mut blocks: Vec<Vec<String>> = children
        .map(|child| {
            let mut block = vec![format!("{}{}", "  ".repeat(depth), child.name)];
            add_children(spans, &child.span, depth + 1, &mut block);
            block
        })
        .collect();
    blocks.sort();
    blocks.dedup();
    lines.extend(blocks.into_iter().flatten());
}

async fn take(State(collector): State<TraceCollector>, Json(body): Json<Value>) -> Json<Value> {
    let mut spans = collector.spans.lock();
    for resource in items(&body, "resourceSpans") {
        let instance = instance_name(resource);
        for scope in items(resource, "scopeSpans") {
            let taken = items(scope, "spans").map(|span| read_span(span, &instance));
            spans.extend(taken);
        }
    }
    Json(Value::Object(serde_json::Map::new()))
}

fn items<'a>(value: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> + use<'a> {
    value[name].as_array().into_iter().flatten()
}

fn instance_name(resource: &Value) -> String {
    let found = items(&resource["resource"], "attributes")
        .find(|attribute| attribute["key"] == "service.instance.id");
    found.map_or_else(String::new, |attribute| {
        text(&attribute["value"]["stringValue"])
    })
}

fn read_span(span: &Value, instance: &str) -> CollectedSpan {
    CollectedSpan {
        trace: text(&span["traceId"]),
        span: text(&span["spanId"]),
        parent: text(&span["parentSpanId"]),
        name: text(&span["name"]),
        instance: instance.to_owned(),
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
