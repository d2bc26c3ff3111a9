//! Retries at other hosts, and the outcome of refused requests.

use std::time::Duration;
use std::time::Instant;

use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_wire::address::ProcessId;
use rand::RngExt;

use crate::curve::HOST_LATENCY;
use crate::curve::LoadSimulation;
use crate::curve::MAX_ATTEMPTS;
use crate::curve::SimulationEvent;
use crate::curve::host_index;
use crate::curve::process_id;
use crate::curve::setting::PolicyStep;

impl LoadSimulation {
    /// Handles a relayed request that arrives at another host.
    pub(super) fn handle_relay(&mut self, request: usize, host: usize) {
        let slot_request = self.slot_request(request);
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let start = Instant::now();
        let decision = admission.admit_relayed(slot_request, &rules, self.now);
        let time = start.elapsed();
        match decision {
            SlotDecision::Run => self.start(request, host),
            SlotDecision::Wait => unreachable!("a relayed request never waits"),
            SlotDecision::Refuse { retry_after } => {
                self.tally.refusal_times.push(time);
                self.answer_relay(request, host, Some(retry_after));
            }
        }
    }

    /// Sends the response to a relayed request; `retry_after` is set if it was
    /// refused.
    pub(super) fn answer_relay(
        &mut self,
        request: usize,
        host: usize,
        retry_after: Option<Duration>,
    ) {
        let rules = self.setting.admission_rules();
        let load_percent = self.hosts[host].admission.load_percent(&rules, self.now);
        let answer = SimulationEvent::RelayAnswered {
            request,
            host,
            load_percent,
            retry_after,
        };
        self.schedule(HOST_LATENCY, answer);
    }

    /// Handles the response to a relayed request at the host that relayed it.
    pub(super) fn handle_relay_answer(
        &mut self,
        request: usize,
        host: usize,
        load_percent: u16,
        retry_after: Option<Duration>,
    ) {
        let first_host = self.requests[request].first_host;
        let loads = &mut self.hosts[first_host].loads;
        loads.record_load(process_id(host), load_percent, self.now);
        if let Some(delay) = retry_after {
            loads.exclude_peer(process_id(host), delay, self.now);
            self.tally.relays_refused += 1;
            self.retry_or_refuse(request);
        }
    }

    /// Relays a refused request to another host. If that is not possible, its caller
    /// retries later or is refused.
    pub(super) fn relay_or_refuse(&mut self, request: usize, retry_after: Duration) {
        self.requests[request].retry_after = retry_after;
        let first_host = self.requests[request].first_host;
        if self.setting.step < PolicyStep::Relay || self.requests[request].deadline <= self.now {
            return self.retry_or_refuse(request);
        }
        let peers: Vec<ProcessId> = (0..self.hosts.len())
            .filter(|index| *index != first_host)
            .map(process_id)
            .collect();
        let host = &mut self.hosts[first_host];
        let Some(peer) = host.loads.choose_peer(&peers, self.now) else {
            return self.retry_or_refuse(request);
        };
        if self.setting.step >= PolicyStep::Budget && !host.budget.try_withdraw() {
            return self.retry_or_refuse(request);
        }
        self.tally.relays += 1;
        self.requests[request].is_relayed = true;
        let host = host_index(peer);
        self.schedule(HOST_LATENCY, SimulationEvent::Relayed { request, host });
    }

    /// Schedules a retry by the caller of a refused request, or counts the refusal if
    /// the caller does not retry.
    pub(super) fn retry_or_refuse(&mut self, request: usize) {
        let refused = &self.requests[request];
        let delay = refused.retry_after;
        let caller_retries = self.setting.callers_retry
            && refused.attempt_count < MAX_ATTEMPTS
            && self.now + delay < refused.deadline;
        if caller_retries {
            let delay_factor = self.rng.random_range(1.0..1.5);
            return self.schedule(
                delay.mul_f64(delay_factor),
                SimulationEvent::Arrive { request },
            );
        }
        self.tally.refuse(refused.has_run);
    }
}
