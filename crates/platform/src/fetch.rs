//! Decides which peer is asked for a newer configuration, and when.
//!
//! Versions are heard with each packet of each peer. One question is under way
//! at a time, to the peer that was last heard with the highest version; a peer
//! that does not answer is asked again after a pause that doubles.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Pause after a question without an answer, at first.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a question without an answer, at most.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchStep {
    /// Nothing newer is known of.
    Idle,
    /// A question is under way, or a pause; look again when it ends.
    Wait,
    /// Look again at this time.
    WaitUntil(MonotonicTime),
    /// Ask this peer.
    Request(SocketAddrV4),
}

/// The newest version that was heard of, and the question about it.
#[derive(Debug, Clone, Default)]
pub struct FetchState {
    heard: u64,
    from: Option<SocketAddrV4>,
    asking: bool,
    pause: Duration,
    not_before: MonotonicTime,
}

impl FetchState {
    /// Notes that a peer has a version, and returns whether it is the newest
    /// that was heard of.
    pub fn record_version(&mut self, from: SocketAddrV4, version: u64) -> bool {
        if version < self.heard {
            return false;
        }
        let newer = version > self.heard;
        self.heard = version;
        self.from = Some(from);
        if newer {
            self.pause = Duration::ZERO;
            self.not_before = MonotonicTime::default();
        }
        newer
    }

    /// Returns the next step of a process that acts on `version`.
    pub fn next_step(&mut self, version: u64, now: MonotonicTime) -> FetchStep {
        if self.asking {
            return FetchStep::Wait;
        }
        let Some(peer) = self.from.filter(|_| self.heard > version) else {
            return FetchStep::Idle;
        };
        if now < self.not_before {
            return FetchStep::WaitUntil(self.not_before);
        }
        self.asking = true;
        FetchStep::Request(peer)
    }

    /// Notes the end of a question; `fetched` when it brought a newer version.
    pub fn finish_request(&mut self, fetched: bool, now: MonotonicTime) {
        self.asking = false;
        if fetched {
            self.pause = Duration::ZERO;
            return;
        }
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.not_before = now + self.pause;
    }
}
