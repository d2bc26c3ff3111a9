//! Structured logs: one JSON object a line on standard output.
//!
//! Lines of one kind are limited in each second, and the number of those left out
//! is written with the next. Standard output is written in batches and never
//! waited for, so a reader that does not read costs lines and no packets.

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

/// Lines of one kind in a second.
const LINES_PER_SECOND: u32 = 20;

/// Bytes after which lines are written.
const BATCH_BYTES: usize = 8 * 1024;

/// Time after which lines are written.
const BATCH_AGE: Duration = Duration::from_millis(500);

/// Pause before lines are written again that a reader has not taken.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Bytes that wait for a reader at most; further lines are left out.
const BUFFER_BYTES: usize = 256 * 1024;

/// Kinds of lines, each with a limit of its own: those of events, and those about
/// the process.
const KINDS: usize = EventKind::ALL.len() + 1;

/// The kind of lines about the process.
const PROCESS_KIND: usize = EventKind::ALL.len();

/// The logs of a process.
#[derive(Debug)]
pub struct EventJournal {
    buffer: Vec<u8>,
    buffer_started: MonotonicTime,
    /// Before when nothing is written, as the reader did not take the last batch.
    blocked_until: MonotonicTime,
    second: u64,
    written: [u32; KINDS],
    left_out: [u64; KINDS],
    lost_lines: u64,
}

/// One line, before it is limited.
struct LogLine {
    kind: usize,
    part: &'static str,
    text: &'static str,
    fields: Value,
}

impl EventJournal {
    /// Creates the journal, and lets standard output refuse what it cannot take.
    pub fn start() -> Self {
        let flags = fcntl(io::stdout(), FcntlArg::F_GETFL).map(OFlag::from_bits_truncate);
        if let Ok(flags) = flags {
            // Without this, a reader that stops reading would stop the process.
            let set = fcntl(io::stdout(), FcntlArg::F_SETFL(flags | OFlag::O_NONBLOCK));
            if let Err(error) = set {
                eprintln!("journal: standard output may block: {error}");
            }
        }
        Self {
            buffer: Vec::new(),
            buffer_started: MonotonicTime::default(),
            blocked_until: MonotonicTime::default(),
            second: 0,
            written: [0; KINDS],
            left_out: [0; KINDS],
            lost_lines: 0,
        }
    }

    /// Writes an event.
    pub fn write_event(&mut self, event: &FlowEvent, now: MonotonicTime) {
        let kind = event.kind() as usize;
        if self.takes(kind, now) {
            let line = describe(event, kind);
            self.append(line, now);
        }
    }

    /// Writes a line about the process itself.
    pub fn write_process(&mut self, text: &'static str, fields: Value, now: MonotonicTime) {
        let line = LogLine {
            kind: PROCESS_KIND,
            part: "process",
            text,
            fields,
        };
        if self.takes(PROCESS_KIND, now) {
            self.append(line, now);
        }
    }

    /// Writes lines that are old enough, or all at the end of the process.
    pub fn flush(&mut self, now: MonotonicTime, is_last: bool) {
        let age = now.since(self.buffer_started);
        let is_due = self.buffer.len() >= BATCH_BYTES || age >= BATCH_AGE;
        let may_write = is_due && now >= self.blocked_until;
        if self.buffer.is_empty() || !(may_write || is_last) {
            return;
        }
        self.buffer_started = now;
        let written = io::stdout().lock().write(&self.buffer).unwrap_or(0);
        if written < self.buffer.len() {
            // The reader takes nothing; what is left waits, and is bounded.
            self.blocked_until = now + RETRY_PAUSE;
        }
        self.buffer.drain(..written);
    }

    fn takes(&mut self, kind: usize, now: MonotonicTime) -> bool {
        let second = now.0 / 1_000_000;
        if second != self.second {
            self.second = second;
            self.written = [0; KINDS];
        }
        if self.written[kind] >= LINES_PER_SECOND {
            self.left_out[kind] += 1;
            return false;
        }
        self.written[kind] += 1;
        true
    }

    fn append(&mut self, line: LogLine, now: MonotonicTime) {
        if self.buffer.is_empty() {
            self.buffer_started = now;
        }
        if self.buffer.len() >= BUFFER_BYTES {
            self.lost_lines += 1;
            return;
        }
        let mut object = line.fields;
        object["t_ms"] = json!(now.0 / 1_000);
        object["msg"] = json!(format!("{}: {}", line.part, line.text));
        let left_out = std::mem::take(&mut self.left_out[line.kind]);
        if left_out > 0 {
            object["left_out"] = json!(left_out);
        }
        if self.lost_lines > 0 {
            object["lost_lines"] = json!(std::mem::take(&mut self.lost_lines));
        }
        self.buffer.extend_from_slice(object.to_string().as_bytes());
        self.buffer.push(b'\n');
    }
}

fn describe(event: &FlowEvent, kind: usize) -> LogLine {
    let (part, text, fields) = match event {
        FlowEvent::Placed {
            flow,
            host,
            routes,
            in_progress,
            report_age_millis,
            attempt,
        } => (
            "balancer",
            "offered a new flow to a host",
            json!({
                "flow": name(flow), "host": host, "routes": routes, "in_progress": in_progress,
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
            "passed a new flow on",
            json!({
                "flow": name(flow), "host": host, "server": format!("{server:?}"),
                "in_progress": in_progress,
            }),
        ),
        FlowEvent::Offered {
            flow,
            balancer,
            in_progress,
        } => (
            "host",
            "handed a new flow to the server",
            json!({ "flow": name(flow), "balancer": balancer, "in_progress": in_progress }),
        ),
        FlowEvent::Refused {
            flow,
            reason,
            routes,
        } => (
            "balancer",
            "refused a flow before it opened",
            json!({ "flow": name(flow), "reason": format!("{reason:?}"), "routes": routes }),
        ),
        FlowEvent::Broken { flow, reason } => (
            "flow",
            "reset an open flow whose server is gone",
            json!({ "flow": name(flow), "reason": format!("{reason:?}") }),
        ),
        FlowEvent::Searching { flow, hosts } => (
            "balancer",
            "looking for the host of a flow",
            json!({ "flow": name(flow), "hosts": hosts }),
        ),
        FlowEvent::Unowned { flow, undecided } => (
            "balancer",
            "found no host for a packet",
            json!({ "flow": name(flow), "undecided": undecided.iter().map(silent_host).collect::<Vec<_>>() }),
        ),
        FlowEvent::Answered { flow, micros } => (
            "host",
            "the server answered",
            json!({ "flow": name(flow), "took_us": micros }),
        ),
        FlowEvent::Unanswered {
            flow,
            waited_millis,
            is_closed,
        } => (
            "host",
            "the server did not answer a request",
            json!({ "flow": name(flow), "waited_ms": waited_millis, "closed": is_closed }),
        ),
        FlowEvent::Server {
            before,
            state,
            source,
        } => (
            "host",
            "the state of the server changed",
            json!({
                "before": format!("{before:?}"), "state": format!("{state:?}"),
                "source": format!("{source:?}"),
            }),
        ),
        FlowEvent::PeerMet { peer } => ("roster", "met a peer", json!({ "peer": peer })),
        FlowEvent::PeerLost {
            peer,
            silent_millis,
        } => (
            "roster",
            "forgot a silent peer",
            json!({ "peer": peer, "silent_ms": silent_millis }),
        ),
        FlowEvent::Routes { version, routes } => (
            "routes",
            "new routes are in force",
            json!({ "version": version, "routes": routes }),
        ),
        FlowEvent::Dropped { reason } => (
            "process",
            "dropped a datagram",
            json!({ "reason": format!("{reason:?}") }),
        ),
    };
    LogLine {
        kind,
        part,
        text,
        fields,
    }
}

fn silent_host(silent: &UnresponsiveHost) -> Value {
    json!({ "host": silent.host, "silent_ms": silent.silent_millis })
}

fn name(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.target)
}
