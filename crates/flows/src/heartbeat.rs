//! What a backend server says of itself.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Silence of the newest life after which another one takes its place whose clock
/// was set back: three heartbeats, which come every 1.2 s.
const SILENT_LIFE: Duration = Duration::from_millis(4_000);

/// One heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// Name of this life of the server.
    pub id: String,
    /// Start of this life, in milliseconds since the Unix epoch, by its clock.
    pub started_unix_millis: u64,
    /// Counts the heartbeats of this life.
    pub sequence: u64,
    /// Name of the service.
    pub service: String,
    /// Whether the server is leaving.
    pub is_draining: bool,
    /// Requests that it works on at the same time.
    pub slots: u16,
    /// How much longer it stays slow after its start, in milliseconds.
    pub cold_remaining_millis: u32,
}

/// What a host does with a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It was newer than what was known.
    Accepted,
    /// It tells nothing new, or comes from an earlier life.
    Outdated,
}

/// The heartbeats of one server, in order.
#[derive(Debug, Default)]
pub struct HeartbeatTracker {
    last: Option<ServerHeartbeat>,
    /// When it came.
    heard: MonotonicTime,
    /// The newest heartbeat of a life that seems to be an earlier one.
    earlier: Option<ServerHeartbeat>,
}

/// How a new heartbeat relates to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrder {
    /// The first one, the next of the same life, or one of a life whose start was
    /// not noticed.
    Next,
    /// The first one of a new life.
    NewIncarnation,
    /// One that was overtaken.
    Late,
}

impl HeartbeatTracker {
    /// Returns the newest heartbeat.
    pub fn last(&self) -> Option<&ServerHeartbeat> {
        self.last.as_ref()
    }

    /// Puts a heartbeat in its order, and keeps it unless it is late. A life is
    /// newer if it was born later. One that was born earlier and goes on while the
    /// newest is silent has taken its place: its clock was set back.
    pub fn record(&mut self, beat: &ServerHeartbeat, now: MonotonicTime) -> HeartbeatOrder {
        let order = match &self.last {
            None => HeartbeatOrder::Next,
            Some(last) if is_same_life(last, beat) => {
                if beat.sequence > last.sequence {
                    HeartbeatOrder::Next
                } else {
                    HeartbeatOrder::Late
                }
            }
            Some(last) if beat.started_unix_millis > last.started_unix_millis => {
                HeartbeatOrder::NewIncarnation
            }
            Some(_) => self.compare_earlier(beat, now),
        };
        if order == HeartbeatOrder::Late {
            self.earlier = Some(beat.clone());
        } else {
            self.last = Some(beat.clone());
            self.heard = now;
            self.earlier = None;
        }
        order
    }

    fn compare_earlier(&self, beat: &ServerHeartbeat, now: MonotonicTime) -> HeartbeatOrder {
        let goes_on = self
            .earlier
            .as_ref()
            .is_some_and(|earlier| is_same_life(earlier, beat) && beat.sequence > earlier.sequence);
        if goes_on && now.since(self.heard) >= SILENT_LIFE {
            // Nobody noticed when it began, so the flows at hand may be its own.
            HeartbeatOrder::Next
        } else {
            HeartbeatOrder::Late
        }
    }
}

fn is_same_life(one: &ServerHeartbeat, other: &ServerHeartbeat) -> bool {
    one.id == other.id && one.started_unix_millis == other.started_unix_millis
}
