//! Checks what callers, servers and processes report against the invariants of the
//! system.
//!
//! - A caller receives only data that its server sent, and a server only data that a
//!   caller sent.
//! - While the server of an open flow is running, no other process resets the flow, and
//!   its packets reach no other server.
//! - A server gets no new flows after its host has acknowledged that it is draining.
//! - A server in a zone that operators have emptied gets no new flows until it is taken
//!   back.
//! - A new flow reaches a service that its route names in the newest configuration, or in
//!   an older one that was replaced within the time that changes may take.
//! - No process exits unexpectedly, and the version of its routes never decreases.
//! - At the end of a run, after a period without faults, all processes use the newest
//!   configuration.
//! - At the end of a run, after a period without faults, requests are answered.
//!
//! Invariants that involve times are checked only for processes without faults and
//! restarts in the last [`RECOVERY_TIME`]. Invariants of open flows also hold while
//! processes are stopped and started in an orderly way, so only faults suspend them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_wire::carried::FlowKey;

/// Time after a fault or a restart of a process before its invariants are checked again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time after an acknowledged drain within which new flows may still arrive.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Time within which a request to empty a zone takes effect.
const MAX_EVACUATION_DELAY: Duration = Duration::from_secs(5);

/// Time within which a configuration takes effect.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_secs(3);

/// Maximum time that an opening packet is under way, including its retransmissions and
/// the time that it is held back.
const MAX_OPENING_TIME: Duration = Duration::from_millis(2_000);

/// Additional time that a configuration may take while a process or the store has a fault
/// or a process is restarted as planned, and for [`RECOVERY_TIME`] afterwards.
const EXTRA_CONFIGURATION_DELAY: Duration = Duration::from_secs(12);

/// Number of packets of an open flow that must have reached other servers before they are a
/// violation. A packet that reaches the flow's own server resets the count.
const MISROUTED_PACKET_LIMIT: u32 = 3;

/// Time that must have passed since the first of these packets before they are a violation.
const MIN_MISROUTED_TIME: Duration = Duration::from_secs(2);

/// Time within which a system without faults answers a request. Answers that take longer
/// count as late.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Minimum share of the requests that must be answered at the end of a run.
const MIN_ANSWERED_SHARE: f64 = 0.9;

/// Maximum number of findings that are kept, because repeated ones of the same kind add no
/// information.
const MAX_FINDINGS: usize = 20;

/// An open flow and the server that holds it.
#[derive(Debug)]
struct TrackedFlow {
    key: FlowKey,
    owner: Ipv4Addr,
    misrouted_count: u32,
    /// Time of the first misrouted packet since the last packet at the flow's own server.
    misrouted_since: Option<Instant>,
}

/// The routes of one configuration.
#[derive(Debug)]
struct ConfiguredRoutes {
    written_at: Instant,
    /// Addresses with their services, sorted.
    services: Vec<(SocketAddrV4, String)>,
}

/// Times by address, sorted by address.
#[derive(Debug, Default)]
struct AddressTimes(Vec<(Ipv4Addr, Instant)>);

impl AddressTimes {
    fn get(&self, address: Ipv4Addr) -> Option<Instant> {
        let index = self
            .0
            .binary_search_by_key(&address, |(other, _)| *other)
            .ok()?;
        Some(self.0[index].1)
    }

    /// Sets the time of an address, unless a later time is set.
    fn set_latest(&mut self, address: Ipv4Addr, time: Instant) {
        match self.0.binary_search_by_key(&address, |(other, _)| *other) {
            Ok(index) => self.0[index].1 = self.0[index].1.max(time),
            Err(index) => self.0.insert(index, (address, time)),
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was answered after this time.
    Answered(Duration),
    /// The flow of the request was refused.
    Refused,
    /// The flow of the request was reset.
    Broken,
    /// The request timed out at its caller.
    GivenUp,
}

/// Numbers of requests by their outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SoakTally {
    /// Answered in time.
    pub answered: u64,
    /// Answered late.
    pub late: u64,
    /// Refused before their flow opened.
    pub refused: u64,
    /// Aborted by a reset of their flow.
    pub broken: u64,
    /// Timed out at their callers.
    pub given_up: u64,
}

impl SoakTally {
    fn total(&self) -> u64 {
        self.answered + self.late + self.refused + self.broken + self.given_up
    }
}

/// Records observations and collects violations of the invariants.
#[derive(Debug)]
pub struct SoakChecker {
    started_at: Instant,
    /// End of the last fault of each process.
    fault_until: AddressTimes,
    /// End of the last fault or planned restart of each process.
    disturbance_until: AddressTimes,
    /// End of the last fault or planned restart of any process or of the store.
    any_disturbance_until: Instant,
    /// Sorted by key.
    flows: Vec<TrackedFlow>,
    /// Routes of all configurations, oldest first.
    routes: Vec<ConfiguredRoutes>,
    /// The emptied zone, and when operators have asked for it.
    evacuation: Option<(u8, Instant)>,
    /// Address, incarnation and last version of the routes of each process, sorted by
    /// address.
    versions: Vec<(Ipv4Addr, u32, u64)>,
    /// All requests of the run.
    pub tally: SoakTally,
    /// Requests that ended while `is_final_check` was set.
    pub final_tally: SoakTally,
    /// Whether the final check of the run has begun.
    pub is_final_check: bool,
    /// Descriptions of the violations, oldest first.
    pub findings: Vec<String>,
}

impl SoakChecker {
    /// Creates a checker without observations, for a run that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            fault_until: AddressTimes::default(),
            disturbance_until: AddressTimes::default(),
            any_disturbance_until: now,
            flows: Vec::new(),
            routes: Vec::new(),
            evacuation: None,
            versions: Vec::new(),
            tally: SoakTally::default(),
            final_tally: SoakTally::default(),
            is_final_check: false,
            findings: Vec::new(),
        }
    }

    /// Records a violated invariant.
    pub fn record_finding(&mut self, now: Instant, text: &str) {
        let millis = now.duration_since(self.started_at).as_millis();
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(format!("{millis} ms: {text}"));
        }
    }

    /// Records that a process has a fault until `until`.
    pub fn record_fault(&mut self, address: Ipv4Addr, until: Instant) {
        self.fault_until.set_latest(address, until);
        self.record_planned_restart(address, until);
    }

    /// Records that a process is being stopped or started in an orderly way until `until`.
    pub fn record_planned_restart(&mut self, address: Ipv4Addr, until: Instant) {
        self.any_disturbance_until = self.any_disturbance_until.max(until);
        self.disturbance_until.set_latest(address, until);
    }

    /// Records that the store, or a connection to it, has a fault until `until`.
    pub fn record_store_fault(&mut self, until: Instant) {
        self.any_disturbance_until = self.any_disturbance_until.max(until);
    }

    /// Returns whether a process has recovered from its last fault or planned restart.
    fn is_undisturbed(&self, address: Ipv4Addr, now: Instant) -> bool {
        now >= self
            .disturbance_until
            .get(address)
            .unwrap_or(self.started_at)
            + RECOVERY_TIME
    }

    /// Returns whether a process has recovered from its last fault. Planned restarts do
    /// not count.
    fn is_free_of_faults(&self, address: Ipv4Addr, now: Instant) -> bool {
        now >= self.fault_until.get(address).unwrap_or(self.started_at) + RECOVERY_TIME
    }

    /// Records that operators have written a configuration with these routes.
    pub fn record_configuration(
        &mut self,
        now: Instant,
        mut services: Vec<(SocketAddrV4, String)>,
    ) {
        services.sort();
        self.routes.push(ConfiguredRoutes {
            written_at: now,
            services,
        });
    }

    /// Returns whether all configurations so far have a route for an address.
    pub fn has_permanent_route(&self, target: &SocketAddrV4) -> bool {
        self.routes.iter().all(|routes| {
            let found = routes
                .services
                .binary_search_by_key(target, |(other, _)| *other);
            found.is_ok()
        })
    }

    /// Checks a new flow that reached a server of `service` beside `host`.
    pub fn check_opening(&mut self, now: Instant, flow: &FlowKey, service: &str, host: Ipv4Addr) {
        let allows = |routes: &ConfiguredRoutes| {
            let found = routes
                .services
                .binary_search_by_key(&flow.target, |(target, _)| *target);
            found.is_ok_and(|index| routes.services[index].1 == service)
        };
        if !self.routes.iter().any(allows) {
            self.record_finding(
                now,
                &format!("{flow:?} opened at {host} of {service}, which no configuration allows"),
            );
            return;
        }
        let is_system_undisturbed = now >= self.any_disturbance_until + RECOVERY_TIME;
        let extra_delay = if is_system_undisturbed {
            Duration::ZERO
        } else {
            EXTRA_CONFIGURATION_DELAY
        };
        // Every configuration that was the newest at some time within the limit may apply.
        let limit = MAX_CONFIGURATION_DELAY + MAX_OPENING_TIME + extra_delay;
        let first_applicable = self
            .routes
            .iter()
            .rposition(|routes| now.duration_since(routes.written_at) >= limit)
            .unwrap_or(0);
        if !self.routes[first_applicable..].iter().any(allows) {
            self.record_finding(
                now,
                &format!(
                    "{flow:?} opened at {host} of {service}, which only outdated routes allow"
                ),
            );
        }
    }

    /// Checks a new flow at a server whose drain its host acknowledged at `acknowledged_at`.
    pub fn check_drain(&mut self, now: Instant, acknowledged_at: Instant, host: Ipv4Addr) {
        let is_late = now.duration_since(acknowledged_at) > MAX_DRAIN_DELAY;
        if is_late && self.is_undisturbed(host, now) {
            self.record_finding(
                now,
                &format!("{host} received a flow after its server was drained"),
            );
        }
    }

    /// Records which zone is emptied from now on, if any.
    pub fn record_evacuation(&mut self, now: Instant, zone: Option<u8>) {
        self.evacuation = zone.map(|zone| (zone, now));
    }

    /// Checks a new flow at a server in a zone.
    pub fn check_evacuation(&mut self, now: Instant, zone: u8, host: Ipv4Addr) {
        let Some((_, requested_at)) = self.evacuation.filter(|(emptied, _)| *emptied == zone)
        else {
            return;
        };
        let is_late = now.duration_since(requested_at) > MAX_EVACUATION_DELAY;
        let is_system_undisturbed = now >= self.any_disturbance_until + RECOVERY_TIME;
        if is_late && is_system_undisturbed && self.is_undisturbed(host, now) {
            self.record_finding(
                now,
                &format!("{host} received a flow in emptied zone z{zone}"),
            );
        }
    }

    /// Records that a flow is open at the server beside `owner`.
    pub fn record_open_flow(&mut self, key: FlowKey, owner: Ipv4Addr) {
        let flow = TrackedFlow {
            key,
            owner,
            misrouted_count: 0,
            misrouted_since: None,
        };
        match self.find_flow(&key) {
            Ok(index) => self.flows[index] = flow,
            Err(index) => self.flows.insert(index, flow),
        }
    }

    /// Records that a flow has ended.
    pub fn record_flow_end(&mut self, key: &FlowKey) {
        if let Ok(index) = self.find_flow(key) {
            self.flows.remove(index);
        }
    }

    /// Records that the server beside `owner` has stopped, which ends all its flows.
    pub fn record_server_end(&mut self, owner: Ipv4Addr) {
        self.flows.retain(|flow| flow.owner != owner);
    }

    /// Records that a packet reached the server that holds its flow.
    pub fn record_delivery(&mut self, key: &FlowKey) {
        if let Ok(index) = self.find_flow(key) {
            self.flows[index].misrouted_count = 0;
            self.flows[index].misrouted_since = None;
        }
    }

    /// Checks a packet that reached a server that does not hold its flow.
    pub fn check_misrouted(&mut self, now: Instant, key: &FlowKey, host: Ipv4Addr) {
        let Ok(index) = self.find_flow(key) else {
            return;
        };
        let owner = self.flows[index].owner;
        if !(self.is_free_of_faults(host, now) && self.is_free_of_faults(owner, now)) {
            return;
        }
        let flow = &mut self.flows[index];
        flow.misrouted_count += 1;
        let first_misrouted_at = *flow.misrouted_since.get_or_insert(now);
        if flow.misrouted_count >= MISROUTED_PACKET_LIMIT
            && now.duration_since(first_misrouted_at) >= MIN_MISROUTED_TIME
        {
            self.record_finding(
                now,
                &format!("packets of {key:?}, which is open at {owner}, reached {host}"),
            );
        }
    }

    /// Checks a reset that a caller accepted on a flow and that came from `sender`.
    pub fn check_reset(&mut self, now: Instant, key: &FlowKey, sender: Ipv4Addr) {
        let Ok(index) = self.find_flow(key) else {
            return;
        };
        let owner = self.flows[index].owner;
        if self.is_free_of_faults(owner, now) && self.is_free_of_faults(sender, now) {
            self.record_finding(
                now,
                &format!("{sender} reset {key:?}, which is open at {owner}"),
            );
        }
    }

    /// Checks the version of the routes that an incarnation of a process uses.
    pub fn check_version(
        &mut self,
        now: Instant,
        address: Ipv4Addr,
        incarnation: u32,
        version: u64,
    ) {
        match self
            .versions
            .binary_search_by_key(&address, |(other, ..)| *other)
        {
            Ok(index) => {
                let (_, last_incarnation, last_version) = self.versions[index];
                if last_incarnation == incarnation && version < last_version {
                    let text = format!(
                        "{address} went back from version {last_version} of the routes to {version}"
                    );
                    self.record_finding(now, &text);
                }
                self.versions[index] = (address, incarnation, version);
            }
            Err(index) => self.versions.insert(index, (address, incarnation, version)),
        }
    }

    /// Checks that all processes use the newest version at the end of the run, after a period
    /// without faults.
    pub fn check_final_versions(&mut self, now: Instant, newest_version: u64) {
        let outdated: Vec<String> = self
            .versions
            .iter()
            .filter(|(_, _, version)| *version != newest_version)
            .map(|(address, _, version)| format!("{address} has version {version}"))
            .collect();
        if !outdated.is_empty() {
            let text = format!("version {newest_version} is not in force: {outdated:?}");
            self.record_finding(now, &text);
        }
    }

    /// Counts a request by its outcome.
    pub fn count_request(&mut self, outcome: RequestOutcome) {
        let tallies = [
            Some(&mut self.tally),
            self.is_final_check.then_some(&mut self.final_tally),
        ];
        for tally in tallies.into_iter().flatten() {
            match outcome {
                RequestOutcome::Answered(elapsed) if elapsed <= MAX_ANSWER_TIME => {
                    tally.answered += 1
                }
                RequestOutcome::Answered(_) => tally.late += 1,
                RequestOutcome::Refused => tally.refused += 1,
                RequestOutcome::Broken => tally.broken += 1,
                RequestOutcome::GivenUp => tally.given_up += 1,
            }
        }
    }

    /// Checks that enough requests were answered at the end of the run.
    pub fn check_final_requests(&mut self, now: Instant) {
        let total = self.final_tally.total();
        let answered_count = self.final_tally.answered + self.final_tally.late;
        if total == 0 || (answered_count as f64) < total as f64 * MIN_ANSWERED_SHARE {
            self.record_finding(
                now,
                &format!(
                    "too few requests were answered at the end: {:?}",
                    self.final_tally
                ),
            );
        }
    }

    /// Returns the index of a flow, or the index at which to insert it.
    fn find_flow(&self, key: &FlowKey) -> Result<usize, usize> {
        self.flows.binary_search_by_key(key, |flow| flow.key)
    }
}
