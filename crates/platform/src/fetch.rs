//! Decides when to request a newer configuration, and from which peer.
//!
//! Each control packet from a peer contains the version of its configuration. At most
//! one request is in flight. It goes to the peer that most recently reported the
//! highest version. If the request brings no newer configuration, the next one is
//! sent after a delay that doubles up to a maximum.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Delay after the first failed request.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay after a failed request.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The next action of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchStep {
    /// Do nothing: no newer version is known.
    Idle,
    /// Do nothing: a request is in flight.
    Wait,
    /// Call [`FetchState::next_step`] again at this time, when the backoff ends.
    WaitUntil(MonotonicTime),
    /// Request the configuration from this peer.
    Request(SocketAddrV4),
}

/// The newest version that a peer reported, and the state of the request for it.
#[derive(Debug, Clone, Default)]
pub struct FetchState {
    newest_version: u64,
    newest_peer: Option<SocketAddrV4>,
    is_in_flight: bool,
    backoff: Duration,
    retry_at: MonotonicTime,
}

impl FetchState {
    /// Records that a peer reported a version, and returns whether the version is
    /// higher than all that were reported before. Such a version ends the backoff.
    pub fn record_version(&mut self, peer: SocketAddrV4, version: u64) -> bool {
        if version < self.newest_version {
            return false;
        }
        let is_newer = version > self.newest_version;
        self.newest_version = version;
        self.newest_peer = Some(peer);
        if is_newer {
            self.backoff = Duration::ZERO;
            self.retry_at = MonotonicTime::default();
        }
        is_newer
    }

    /// Returns the next step of a process whose configuration has `version`. If it is
    /// [`FetchStep::Request`], the request counts as in flight from now on.
    pub fn next_step(&mut self, version: u64, now: MonotonicTime) -> FetchStep {
        if self.is_in_flight {
            return FetchStep::Wait;
        }
        let Some(peer) = self.newest_peer.filter(|_| self.newest_version > version) else {
            return FetchStep::Idle;
        };
        if now < self.retry_at {
            return FetchStep::WaitUntil(self.retry_at);
        }
        self.is_in_flight = true;
        FetchStep::Request(peer)
    }

    /// Records the end of the request in flight. `has_fetched` says whether it brought
    /// a newer configuration.
    pub fn finish_request(&mut self, has_fetched: bool, now: MonotonicTime) {
        self.is_in_flight = false;
        if has_fetched {
            self.backoff = Duration::ZERO;
            return;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.retry_at = now + self.backoff;
    }
}
