//! Structured logs: one JSON object per line on standard output.
//!
//! The number of lines of each kind is limited per second; the next line of that kind
//! says how many were suppressed. Lines are written in batches, and writes never wait,
//! so a reader that stalls causes the loss of log lines but not of packets.

use std::io;
use std::io::Write;
use std::time::Duration;

use hyssopstair_flows::event::EventKind;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::event::UnresponsiveHost;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;
use nix::fcntl::FcntlArg;
use nix::fcntl::OFlag;
use nix::fcntl::fcntl;
use serde_json::Value;
use serde_json::json;

/// Maximum number of lines of one kind per second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Size from which a batch is written, in bytes.
const BATCH_BYTES: usize = 8 * 1024;

/// Age from which a batch is written.
const BATCH_AGE: Duration = Duration::from_millis(500);

/// Delay before the next write after the reader has not accepted a whole batch.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Size of the buffer, in bytes, from which further lines are dropped.
const MAX_BUFFER_BYTES: usize = 256 * 1024;

/// Maximum length of a name in a line, in characters. Whoever sends a heartbeat chooses the
/// names in it.
const MAX_NAME_CHARS: usize = 64;

/// Number of kinds of lines, each with a limit of its own: one for each kind of event,
/// and one for lines about the process.
const LINE_KIND_COUNT: usize = EventKind::ALL.len() + 1;

/// The kind of lines about the process.
const PROCESS_KIND: usize = EventKind::ALL.len();

/// Writes the logs of a process.
#[derive(Debug)]
pub struct EventJournal {
    buffer: Vec<u8>,
    batch_started_at: MonotonicTime,
    /// Earliest time of the next write, set when the reader has not accepted a whole batch.
    retry_at: MonotonicTime,
    current_second: u64,
    /// Number of lines of each kind that were admitted in the current second.
    admitted_lines: [u32; LINE_KIND_COUNT],
    /// Number of lines of each kind that the limit has suppressed and that no later line
    /// has reported yet.
    suppressed_lines: [u64; LINE_KIND_COUNT],
    /// Number of lines that were dropped because the buffer was full, and that no later
    /// line has reported yet.
    dropped_lines: u64,
}

/// The contents of one line.
struct LogLine {
    kind: usize,
    component: &'static str,
    message: &'static str,
    fields: Value,
}

impl EventJournal {
    /// Creates the journal, and sets standard output to non-blocking mode.
    pub fn start() -> Self {
        let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map(OFlag::from_bits_truncate);
        if let Ok(flags) = flags {
            // In blocking mode, a reader that stops reading would block the process.
            let result = fcntl(io::stdout(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK));
            if let Err(error) = result {
                eprintln!("journal: failed to make standard output non-blocking: {error}");
            }
        }
        Self {
            buffer: Vec::new(),
            batch_started_at: MonotonicTime::default(),
            retry_at: MonotonicTime::default(),
            current_second: 0,
            admitted_lines: [0; LINE_KIND_COUNT],
            suppressed_lines: [0; LINE_KIND_COUNT],
            dropped_lines: 0,
        }
    }

    /// Logs an event, unless its kind has reached its limit.
    pub fn write_event(&mut self, event: &FlowEvent, now: MonotonicTime) {
        let kind = event.kind() as usize;
        if self.admit_line(kind, now) {
            let line = describe_event(event, kind);
            self.append_line(line, now);
        }
    }

    /// Logs a message about the process itself, unless such messages have reached
    /// their limit.
    pub fn write_process(&mut self, message: &'static str, fields: Value, now: MonotonicTime) {
        let line = LogLine {
            kind: PROCESS_KIND,
            component: "process",
            message,
            fields,
        };
        if self.admit_line(PROCESS_KIND, now) {
            self.append_line(line, now);
        }
    }

    /// Writes the buffered lines if the batch is large or old enough, or if it is the
    /// last one before the process ends.
    pub fn flush(&mut self, now: MonotonicTime, is_last: bool) {
        let age = now.since(self.batch_started_at);
        let is_due = self.buffer.len() >= BATCH_BYTES || age >= BATCH_AGE;
        let may_write = is_due && now >= self.retry_at;
        if self.buffer.is_empty() || !(may_write || is_last) {
            return;
        }
        self.batch_started_at = now;
        let written = io::stdout().lock().write(&self.buffer).unwrap_or(0);
        if written < self.buffer.len() {
            // The reader has stalled. The rest stays in the buffer, whose size is limited.
            self.retry_at = now + WRITE_RETRY_DELAY;
        }
        self.buffer.drain(..written);
    }

    /// Counts a line of a kind, and returns whether the limit allows it.
    fn admit_line(&mut self, kind: usize, now: MonotonicTime) -> bool {
        let second = now.0 / 1_000_000;
        if second != self.current_second {
            self.current_second = second;
            self.admitted_lines = [0; LINE_KIND_COUNT];
        }
        if self.admitted_lines[kind] >= MAX_LINES_PER_SECOND {
            self.suppressed_lines[kind] += 1;
            return false;
        }
        self.admitted_lines[kind] += 1;
        true
    }

    fn append_line(&mut self, line: LogLine, now: MonotonicTime) {
        if self.buffer.is_empty() {
            self.batch_started_at = now;
        }
        if self.buffer.len() >= MAX_BUFFER_BYTES {
            self.dropped_lines += 1;
            return;
        }
        let mut object = line.fields;
        object["t_ms"] = json!(now.0 / 1_000);
        object["msg"] = json!(format!("{}: {}", line.component, line.message));
        let suppressed_lines = std::mem::take(&mut self.suppressed_lines[line.kind]);
        if suppressed_lines > 0 {
            object["left_out"] = json!(suppressed_lines);
        }
        if self.dropped_lines > 0 {
            object["lost_lines"] = json!(std::mem::take(&mut self.dropped_lines));
        }
        self.buffer.extend_from_slice(object.to_string().as_bytes());
        self.buffer.push(b'\n');
    }
}

fn describe_event(event: &FlowEvent, kind: usize) -> LogLine {
    let (component, message, fields) = match event {
        FlowEvent::Placed {
            flow,
            host,
            service,
            hello_age_millis,
            routes,
            in_progress,
            report_age_millis,
            attempt,
        } => (
            "balancer",
            "sent a new flow to a host",
            json!({
                "flow": format_flow(flow), "host": host, "service": shorten_name(service),
                "hello_age_ms": hello_age_millis, "routes": routes, "in_progress": in_progress,
                "report_age_ms": report_age_millis, "attempt": attempt,
            }),
        ),
        FlowEvent::PassedOn {
            flow,
            host,
            server,
            in_progress,
        } => (
            "host",
            "passed a new flow on to another host",
            json!({
                "flow": format_flow(flow), "host": host, "server": format!("{server:?}"),
                "in_progress": in_progress,
            }),
        ),
        FlowEvent::Offered {
            flow,
            balancer,
            permit,
            service,
            heartbeat_age_millis,
            routes,
            balancer_routes,
            in_progress,
        } => (
            "host",
            "delivered a new flow to the server",
            json!({
                "flow": format_flow(flow), "balancer": balancer, "permit": format!("{permit:?}"),
                "service": shorten_name(service), "heartbeat_age_ms": heartbeat_age_millis,
                "routes": routes, "balancer_routes": balancer_routes, "in_progress": in_progress,
            }),
        ),
        FlowEvent::Denied {
            flow,
            balancer,
            denial,
            service,
            offered_service,
            routes,
            balancer_routes,
        } => (
            "host",
            "did not deliver a new flow that may be for another service",
            json!({
                "flow": format_flow(flow), "balancer": balancer, "denial": format!("{denial:?}"),
                "service": shorten_name(service),
                "offered_service": offered_service.as_deref().map(shorten_name),
                "routes": routes, "balancer_routes": balancer_routes,
            }),
        ),
        FlowEvent::Refused {
            flow,
            reason,
            routes,
        } => (
            "balancer",
            "refused a flow before it opened",
            json!({ "flow": format_flow(flow), "reason": format!("{reason:?}"), "routes": routes }),
        ),
        FlowEvent::Broken { flow, reason } => (
            "flow",
            "reset an open flow that its server no longer holds",
            json!({ "flow": format_flow(flow), "reason": format!("{reason:?}") }),
        ),
        FlowEvent::Searching { flow, hosts } => (
            "balancer",
            "searching for the host of a flow",
            json!({ "flow": format_flow(flow), "hosts": hosts }),
        ),
        FlowEvent::Unowned { flow, undecided } => (
            "balancer",
            "found no host for a flow and dropped its packet",
            json!({ "flow": format_flow(flow), "undecided": undecided.iter().map(describe_silent_host).collect::<Vec<_>>() }),
        ),
        FlowEvent::Answered { flow, micros } => (
            "host",
            "server answered a request",
            json!({ "flow": format_flow(flow), "took_us": micros }),
        ),
        FlowEvent::Unanswered {
            flow,
            waited_millis,
            is_closed,
        } => (
            "host",
            "server did not answer a request",
            json!({ "flow": format_flow(flow), "waited_ms": waited_millis, "closed": is_closed }),
        ),
        FlowEvent::Server {
            before,
            state,
            source,
        } => (
            "host",
            "server state changed",
            json!({
                "before": format!("{before:?}"), "state": format!("{state:?}"),
                "source": format!("{source:?}"),
            }),
        ),
        FlowEvent::ServerReplaced {
            former_id,
            server_id,
            started_unix_millis,
        } => (
            "host",
            "a later server has replaced the former one",
            json!({
                "former": shorten_name(former_id), "server": shorten_name(server_id),
                "started_unix_ms": started_unix_millis,
            }),
        ),
        FlowEvent::ServerUncertain {
            former_id,
            server_id,
            started_unix_millis,
        } => (
            "host",
            "another server than before sends heartbeats; kept all flows",
            json!({
                "former": shorten_name(former_id), "server": shorten_name(server_id),
                "started_unix_ms": started_unix_millis,
            }),
        ),
        FlowEvent::ServiceChanged { before, service } => (
            "host",
            "the service of the server changed",
            json!({ "before": shorten_name(before), "service": shorten_name(service) }),
        ),
        FlowEvent::ServiceShown { service, evidence } => (
            "host",
            "a heartbeat shows the service of the server",
            json!({ "service": shorten_name(service), "evidence": format!("{evidence:?}") }),
        ),
        FlowEvent::HeartbeatIgnored { server_id, reason } => (
            "host",
            "ignored a heartbeat",
            json!({ "server": shorten_name(server_id), "reason": format!("{reason:?}") }),
        ),
        FlowEvent::PeerMet { peer } => ("roster", "discovered a peer", json!({ "peer": peer })),
        FlowEvent::PeerLost {
            peer,
            silent_millis,
        } => (
            "roster",
            "removed a silent peer",
            json!({ "peer": peer, "silent_ms": silent_millis }),
        ),
        FlowEvent::Routes {
            version,
            routes,
            source,
        } => (
            "routes",
            "put new routes in force",
            json!({ "version": version, "routes": routes, "source": format!("{source:?}") }),
        ),
        FlowEvent::FormerFlows {
            flows,
            age_millis,
            server_id,
            verdict,
        } => (
            "host",
            "read the flows of a former process",
            json!({
                "flows": flows, "age_ms": age_millis, "server": server_id,
                "verdict": format!("{verdict:?}"),
            }),
        ),
        FlowEvent::StoreRestored { era, former_era } => (
            "process",
            "the store came back from a copy",
            json!({ "era": era, "former_era": former_era }),
        ),
        FlowEvent::ZonesEvacuated {
            zones,
            former_zones,
            position,
            source,
        } => (
            "zones",
            "operators have emptied other zones",
            json!({
                "zones": zones, "former_zones": former_zones, "store_era": position.era,
                "store_revision": position.revision, "source": format!("{source:?}"),
            }),
        ),
        FlowEvent::KeptAway { flow, balancer } => (
            "host",
            "kept a new flow away from the emptied zone",
            json!({ "flow": format_flow(flow), "balancer": balancer }),
        ),
        FlowEvent::ColdLimited { flow } => (
            "host",
            "kept a new flow away from the cold server",
            json!({ "flow": format_flow(flow) }),
        ),
        FlowEvent::PaceChanged { limit, cause } => (
            "host",
            "found another pace of the server",
            json!({ "limit": limit, "cause": format!("{cause:?}") }),
        ),
        FlowEvent::Detoured { peer, relay } => (
            "process",
            "sent a message to a peer through another process",
            json!({ "peer": peer, "relay": relay }),
        ),
        FlowEvent::Relayed { origin, target } => (
            "process",
            "passed on a message for two other processes",
            json!({ "origin": origin, "target": target }),
        ),
        FlowEvent::Dropped { reason } => (
            "process",
            "dropped a datagram",
            json!({ "reason": format!("{reason:?}") }),
        ),
    };
    LogLine {
        kind,
        component,
        message,
        fields,
    }
}

fn describe_silent_host(silent: &UnresponsiveHost) -> Value {
    json!({ "host": silent.host, "silent_ms": silent.silent_millis })
}

fn shorten_name(name: &str) -> String {
    name.chars().take(MAX_NAME_CHARS).collect()
}

fn format_flow(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.target)
}
