//! Checks the invariants of the system by the packets that servers and callers receive.
//!
//! The packets of an open flow must reach the server that holds it, no flow may be reset
//! while its server holds it, new flows must go to a service that a route allows, and a
//! draining server must get no new flows.

use std::collections::BTreeMap;

use hyssopstair_wire::carried::FlowKey;

/// Maximum number of packets of a flow that may reach other servers while its own server
/// gets none.
const MAX_MISROUTED_PACKETS: usize = 2;

/// Time without a packet at the flow's own server after which misrouted packets count as
/// a violation, in milliseconds.
const MISROUTED_PERIOD_MILLIS: u64 = 2_000;

/// Time after a fault of a process before all invariants are checked for it again, in
/// milliseconds. New flows at a draining server are violations even within this time.
pub const RECOVERY_MILLIS: u64 = 4_000;

/// Time after a confirmed drain within which new flows may still arrive, in milliseconds.
const MAX_DRAIN_DELAY_MILLIS: u64 = 3_000;

/// Delivery times of the packets of an open flow, in milliseconds.
#[derive(Debug, Default, Clone)]
struct FlowDeliveries {
    /// Time of the last packet that reached the server that holds the flow.
    last_owner_packet_at: u64,
    /// Times of the packets since then that reached other servers.
    misrouted_at: Vec<u64>,
}

impl FlowDeliveries {
    /// Returns whether the flow's own server has got no packet for
    /// [`MISROUTED_PERIOD_MILLIS`] and other servers got more than
    /// [`MAX_MISROUTED_PACKETS`] within such a period.
    fn is_violation(&self, now: u64) -> bool {
        let is_starved = now >= self.last_owner_packet_at + MISROUTED_PERIOD_MILLIS;
        let is_frequent = self
            .misrouted_at
            .windows(MAX_MISROUTED_PACKETS + 1)
            .any(|window| window[MAX_MISROUTED_PACKETS] - window[0] <= MISROUTED_PERIOD_MILLIS);
        is_starved && is_frequent
    }
}

/// Collects violations of the invariants.
#[derive(Debug, Default)]
pub struct RuleOracle {
    flows: BTreeMap<FlowKey, FlowDeliveries>,
    violations: Vec<String>,
}

impl RuleOracle {
    /// Returns descriptions of the violations.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records that a packet of an open flow reached the server that holds it.
    pub fn record_owner_packet(&mut self, flow: FlowKey, now: u64) {
        self.check_flow(flow, now);
        let deliveries = self.flows.entry(flow).or_default();
        deliveries.last_owner_packet_at = now;
        deliveries.misrouted_at.clear();
    }

    /// Records that a packet of an open flow reached another server. The caller of the
    /// function sets `is_counted` if no process involved had a fault recently.
    pub fn record_misrouted_packet(&mut self, flow: FlowKey, is_counted: bool, now: u64) {
        if is_counted {
            self.flows.entry(flow).or_default().misrouted_at.push(now);
        }
    }

    /// Checks all flows for which `is_open` returns true, and removes the others.
    pub fn check_flows(&mut self, now: u64, is_open: impl Fn(&FlowKey) -> bool) {
        self.flows.retain(|flow, _| is_open(flow));
        let flows: Vec<FlowKey> = self.flows.keys().copied().collect();
        for flow in flows {
            self.check_flow(flow, now);
        }
    }

    /// Records a violation if the flow's packets have been misrouted for too long.
    fn check_flow(&mut self, flow: FlowKey, now: u64) {
        let Some(deliveries) = self.flows.get_mut(&flow) else {
            return;
        };
        if deliveries.is_violation(now) {
            let count = deliveries.misrouted_at.len();
            deliveries.misrouted_at.clear();
            self.violations.push(format!(
                "{now} ms: {count} packets of {} went to servers that do not hold it",
                flow.caller
            ));
        }
    }

    /// Records that a caller got a reset from the system for a flow that a running server
    /// holds. It is a violation only if `is_counted` is set.
    pub fn record_reset(&mut self, flow: FlowKey, is_counted: bool, now: u64) {
        if is_counted {
            self.violations.push(format!(
                "{now} ms: {} was reset although its server holds the flow",
                flow.caller
            ));
        }
    }

    /// Records that a server got an opening packet although no routes ever led to its service.
    pub fn record_wrong_service(&mut self, flow: FlowKey, service: &str, now: u64) {
        self.violations.push(format!(
            "{now} ms: {} opened at a server of {service}, which no routes allow",
            flow.caller
        ));
    }

    /// Records that a server got an opening packet although neither the newest routes nor
    /// recently replaced ones lead to its service.
    pub fn record_outdated_service(&mut self, flow: FlowKey, service: &str, now: u64) {
        self.violations.push(format!(
            "{now} ms: {} opened at a server of {service}, which only outdated routes allow",
            flow.caller
        ));
    }

    /// Records that a server that has been draining since `confirmed_at` got an opening
    /// packet at `received_at`, both in milliseconds. It is a violation only after
    /// [`MAX_DRAIN_DELAY_MILLIS`].
    pub fn record_late_opening(&mut self, flow: FlowKey, confirmed_at: u64, received_at: u64) {
        if received_at > confirmed_at + MAX_DRAIN_DELAY_MILLIS {
            self.violations.push(format!(
                "{received_at} ms: {} opened at a server that has been draining since {confirmed_at} ms",
                flow.caller
            ));
        }
    }
}
