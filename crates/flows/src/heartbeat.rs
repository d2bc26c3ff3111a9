//! Heartbeats of a backend server, and the order in which they apply.
//!
//! Heartbeats may be delayed or reordered, and the server may be restarted in
//! between. An incarnation is one run of the server process, identified by the
//! server's identifier and start time; the heartbeats of an incarnation are numbered.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Time without a heartbeat of the newest incarnation after which one with an earlier
/// start time may replace it: three heartbeats, which are sent every 1.2 s.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time between two heartbeats from which the later one shows that the server was running when
/// the earlier one arrived. Heartbeats that were held up together arrive together.
pub const MIN_HEARTBEAT_DISTANCE: Duration = Duration::from_millis(600);

/// A heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// Identifier of the server, which may differ between incarnations.
    pub id: String,
    /// Address at which the server receives packets.
    pub address: SocketAddrV4,
    /// Start of the incarnation by the server's clock, in milliseconds since the Unix
    /// epoch.
    pub started_unix_millis: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Name of the service that the server runs.
    pub service: String,
    /// Whether the server is draining: it keeps its flows and accepts no new ones.
    pub is_draining: bool,
    /// Number of requests that the server processes concurrently.
    pub slots: u16,
    /// Remaining time for which the server is slow after its start, in milliseconds.
    pub cold_remaining_millis: u32,
}

/// What a host did with a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// The heartbeat was newer than all others and has been applied.
    Accepted,
    /// The heartbeat has changed nothing.
    Ignored(IgnoreReason),
}

/// Why a heartbeat was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// It cannot be decoded.
    Malformed,
    /// It is a duplicate, out of order or from an earlier incarnation.
    Stale,
    /// It names the address of another server.
    OtherAddress,
    /// It names a service that neither the settings nor the routes in force name.
    UnknownService,
    /// It names another service than earlier heartbeats of the same incarnation.
    ChangedService,
    /// It names another service than the settings, and nothing shows that its sender is running.
    UnconfirmedService,
}

/// Tracks the newest heartbeat of one server.
#[derive(Debug, Default)]
pub struct HeartbeatTracker {
    newest: Option<ServerHeartbeat>,
    /// Time at which `newest` was received.
    newest_received_at: MonotonicTime,
    /// Last time at which the incarnation of `newest` is known to have been running. The newest
    /// heartbeat alone does not show that, because it may have been held up.
    running_at: Option<MonotonicTime>,
    /// The last stale heartbeat received since `newest`.
    last_stale: Option<ServerHeartbeat>,
}

/// Order of a heartbeat relative to the newest one received before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOrder {
    /// The first heartbeat, a later one of the same incarnation, or one of an
    /// incarnation whose start was not detected.
    InSequence,
    /// The first heartbeat of an incarnation that has replaced the former one.
    NewIncarnation {
        /// Last time at which the former incarnation is known to have been running.
        former_running_at: MonotonicTime,
    },
    /// The first heartbeat of another incarnation, while the former one is only known from a
    /// heartbeat that may have been held up. Either may hold the known flows.
    OtherIncarnation,
    /// A duplicate, out of order, or from an earlier incarnation.
    Stale,
}

impl HeartbeatTracker {
    /// Returns the newest heartbeat, or `None` before the first.
    pub fn newest(&self) -> Option<&ServerHeartbeat> {
        self.newest.as_ref()
    }

    /// Returns the time at which the newest heartbeat arrived, or the start of the clock
    /// before the first.
    pub fn newest_received_at(&self) -> MonotonicTime {
        self.newest_received_at
    }

    /// Classifies a heartbeat, and stores it as the newest one unless it is stale.
    ///
    /// An incarnation with a later start time is newer. However, if an incarnation with an
    /// earlier start time keeps sending heartbeats while the newest one is silent, the
    /// server's clock was set back, and the incarnation that sends heartbeats becomes the
    /// newest.
    pub fn record(&mut self, heartbeat: &ServerHeartbeat, now: MonotonicTime) -> HeartbeatOrder {
        let order = match &self.newest {
            None => HeartbeatOrder::InSequence,
            Some(newest) if is_same_incarnation(newest, heartbeat) => {
                if heartbeat.sequence > newest.sequence {
                    HeartbeatOrder::InSequence
                } else {
                    HeartbeatOrder::Stale
                }
            }
            Some(newest) if heartbeat.started_unix_millis > newest.started_unix_millis => {
                match self.running_at {
                    Some(former_running_at) => HeartbeatOrder::NewIncarnation { former_running_at },
                    None => HeartbeatOrder::OtherIncarnation,
                }
            }
            Some(_) => self.classify_older_incarnation(heartbeat, now),
        };
        if order == HeartbeatOrder::Stale {
            self.last_stale = Some(heartbeat.clone());
            return order;
        }
        let former = self.newest.replace(heartbeat.clone());
        let former_received_at = std::mem::replace(&mut self.newest_received_at, now);
        self.last_stale = None;
        if !former.is_some_and(|former| is_same_incarnation(&former, heartbeat)) {
            self.running_at = None;
        } else if now.since(former_received_at) >= MIN_HEARTBEAT_DISTANCE {
            self.running_at = Some(former_received_at);
        }
        order
    }

    /// Classifies a heartbeat of an incarnation that did not start after the newest one.
    fn classify_older_incarnation(
        &self,
        heartbeat: &ServerHeartbeat,
        now: MonotonicTime,
    ) -> HeartbeatOrder {
        let is_advancing = self.last_stale.as_ref().is_some_and(|stale| {
            is_same_incarnation(stale, heartbeat) && heartbeat.sequence > stale.sequence
        });
        let is_silent = now.since(self.newest_received_at) >= INCARNATION_TIMEOUT;
        if is_advancing && (is_silent || self.running_at.is_none()) {
            // The start of this incarnation was not detected, so the known flows may be
            // its own and must not be reset.
            HeartbeatOrder::InSequence
        } else {
            HeartbeatOrder::Stale
        }
    }
}

/// Returns whether two heartbeats are from the same run of a server.
pub fn is_same_incarnation(one: &ServerHeartbeat, other: &ServerHeartbeat) -> bool {
    one.id == other.id && one.started_unix_millis == other.started_unix_millis
}
