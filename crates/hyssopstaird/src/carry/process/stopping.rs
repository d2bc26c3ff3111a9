//! Decides when a process that was asked to stop may end.

use std::time::Duration;

use hyssopstair_flows::drain::DrainProgress;
use hyssopstair_wire::carried::ServerState;
use serde_json::json;

use crate::carry::part::CarryPart;
use crate::carry::process::CarryProcess;

/// Minimum time for which a host keeps running after the signal to stop, so that
/// balancers stop sending it new flows.
const MIN_HOST_DRAIN_TIME: Duration = Duration::from_millis(150);

/// Maximum time for which a host keeps running after the signal to stop, to wait for
/// answers to requests in progress.
const MAX_HOST_DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Part of the grace period that is reserved for the exit itself.
const EXIT_RESERVE: Duration = Duration::from_millis(1_000);

impl CarryProcess {
    /// Starts to drain: the process is no longer ready, and the peers are notified.
    /// Ignores further signals to stop.
    pub(super) fn begin_stop(&mut self) {
        if self.stop_requested_at.is_some() {
            return;
        }
        let now = self.clock.now();
        self.stop_requested_at = Some(now);
        self.refused_probes_before_stop = self.status.refused_probe_count();
        self.journal
            .write_process("stopping", json!({ "cause": "signal" }), now);
        self.forwarder.stop(now, &mut self.outbox);
        self.flush_outbox(now);
    }

    /// Returns whether the process was asked to stop and has drained, or has used up its
    /// maximum drain time or its grace period less [`EXIT_RESERVE`].
    pub(super) fn may_exit(&self) -> bool {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return false;
        };
        let now = self.clock.now();
        let elapsed = now.since(stop_requested_at);
        let grace_period = Duration::from_secs_f64(self.settings.grace_seconds);
        let limit = grace_period.saturating_sub(EXIT_RESERVE);
        if elapsed >= limit {
            return true;
        }
        match &self.forwarder {
            CarryPart::Balancer(balancer) => {
                let refused_probe_count = self.status.refused_probe_count();
                DrainProgress {
                    elapsed,
                    refused_probe_count: refused_probe_count - self.refused_probes_before_stop,
                    quiet: balancer.quiet_time(now),
                    has_waiting_flows: balancer.has_waiting_flows(),
                    limit,
                }
                .may_end()
            }
            CarryPart::Host(host) => {
                let is_idle =
                    host.in_progress(now) == 0 || host.server_state() == ServerState::Down;
                elapsed >= MAX_HOST_DRAIN_TIME || (is_idle && elapsed >= MIN_HOST_DRAIN_TIME)
            }
        }
    }
}
