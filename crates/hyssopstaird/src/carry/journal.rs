//! Structured logs: one JSON object a line on standard output.
//!
//! Lines of one kind are limited in each second, and the number of those left out
//! is written with the next. A thread of its own writes, from a queue that is
//! never waited for, so a reader that does not read costs lines and no packets.

use std::io::Write;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use hyssopstair_flows::event::FlowEvent;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;
use serde_json::Value;
use serde_json::json;

/// Lines of one kind in a second.
const LINES_PER_SECOND: u32 = 20;

/// Bytes after which lines are handed to the writer.
const BATCH_BYTES: usize = 8 * 1024;

/// Time after which lines are handed to the writer.
const BATCH_AGE: Duration = Duration::from_millis(500);

/// Batches that wait for the writer at most.
const QUEUE_LENGTH: usize = 16;

/// Kinds of lines, each with a limit of its own.
const KINDS: usize = 20;

/// The logs of a process.
#[derive(Debug)]
pub struct EventJournal {
    writer: SyncSender<Vec<u8>>,
    batch: Vec<u8>,
    batch_started: MonotonicTime,
    second: u64,
    written: [u32; KINDS],
    left_out: [u64; KINDS],
    dropped_batches: u64,
}

/// One line, before it is limited.
struct LogLine {
    kind: usize,
    part: &'static str,
    text: &'static str,
    fields: Value,
}

impl EventJournal {
    /// Starts the writer.
    pub fn start() -> Self {
        let (writer, batches) = sync_channel::<Vec<u8>>(QUEUE_LENGTH);
        thread::spawn(move || {
            let mut output = std::io::stdout();
            for batch in batches {
                // Without a reader there is nobody to tell.
                let _ = output.write_all(&batch);
                let _ = output.flush();
            }
        });
        Self {
            writer,
            batch: Vec::new(),
            batch_started: MonotonicTime::default(),
            second: 0,
            written: [0; KINDS],
            left_out: [0; KINDS],
            dropped_batches: 0,
        }
    }

    /// Writes an event.
    pub fn write_event(&mut self, event: &FlowEvent, now: MonotonicTime) {
        let kind = kind_of(event);
        if self.takes(kind, now) {
            let line = describe(event, kind);
            self.append(line, now);
        }
    }

    /// Writes a line about the process itself.
    pub fn write_process(&mut self, text: &'static str, fields: Value, now: MonotonicTime) {
        let line = LogLine {
            kind: 0,
            part: "process",
            text,
            fields,
        };
        if self.takes(0, now) {
            self.append(line, now);
        }
    }

    /// Hands lines that are old enough to the writer.
    pub fn flush(&mut self, now: MonotonicTime, is_last: bool) {
        let is_due = self.batch.len() >= BATCH_BYTES || now.since(self.batch_started) >= BATCH_AGE;
        if self.batch.is_empty() || !(is_due || is_last) {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.writer.try_send(batch)
        {
            self.dropped_batches += 1;
        }
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
        if self.batch.is_empty() {
            self.batch_started = now;
        }
        let mut object = line.fields;
        object["t_ms"] = json!(now.0 / 1_000);
        object["msg"] = json!(format!("{}: {}", line.part, line.text));
        let left_out = std::mem::take(&mut self.left_out[line.kind]);
        if left_out > 0 {
            object["left_out"] = json!(left_out);
        }
        if self.dropped_batches > 0 {
            object["lost_batches"] = json!(std::mem::take(&mut self.dropped_batches));
        }
        self.batch.extend_from_slice(object.to_string().as_bytes());
        self.batch.push(b'\n');
    }
}

fn kind_of(event: &FlowEvent) -> usize {
    match event {
        FlowEvent::Placed { .. } => 1,
        FlowEvent::PassedOn { .. } => 2,
        FlowEvent::Offered { .. } => 3,
        FlowEvent::Refused { .. } => 4,
        FlowEvent::Broken { .. } => 5,
        FlowEvent::Searching { .. } => 6,
        FlowEvent::Unowned { .. } => 7,
        FlowEvent::Answered { .. } => 8,
        FlowEvent::Server { .. } => 9,
        FlowEvent::PeerMet { .. } => 10,
        FlowEvent::PeerLost { .. } => 11,
        FlowEvent::Routes { .. } => 12,
        FlowEvent::Dropped { .. } => 13,
        FlowEvent::Unanswered { .. } => 14,
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
            json!({ "flow": name(flow), "undecided": undecided }),
        ),
        FlowEvent::Answered { flow, micros } => (
            "host",
            "the server answered",
            json!({ "flow": name(flow), "took_us": micros }),
        ),
        FlowEvent::Unanswered {
            flow,
            waited_millis,
        } => (
            "host",
            "the server did not answer a request",
            json!({ "flow": name(flow), "waited_ms": waited_millis }),
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

fn name(flow: &FlowKey) -> String {
    format!("{}>{}", flow.caller, flow.target)
}
