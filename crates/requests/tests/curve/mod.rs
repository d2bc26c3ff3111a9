//! Simulation of seven hosts under seeded load, with the decision code of real
//! hosts.
//!
//! All policy steps run the same decision code: a step that is not in use is disabled
//! through the inputs of that code.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_requests::admission::QueueDecision;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::admission::RequestKey;
use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_requests::admission::SlotRequest;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::curve::host::SimulatedHost;
use crate::curve::setting::CurveSetting;
use crate::curve::setting::HostKind;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::CurveTally;

mod host;
mod relaying;
pub mod setting;
pub mod tally;

/// Time during which requests arrive.
pub const ARRIVAL_DURATION: Duration = Duration::from_secs(30);

/// One-way latency between two hosts.
const HOST_LATENCY: Duration = Duration::from_micros(500);

/// Time after which a backend server responds to a request that it sheds.
const SHED_RESPONSE_TIME: Duration = Duration::from_millis(1);

/// Minimum retry delay of a shed request.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval between two load reports of a backend server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Share of non-idempotent requests, in percent.
const NON_IDEMPOTENT_PERCENT: u32 = 20;

/// Maximum number of times that a caller sends one request.
const MAX_ATTEMPTS: u32 = 4;

/// How a request ends at its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorkOutcome {
    Answered,
    TimedOut,
    Shed,
}

/// An event of the simulation. Requests and hosts are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive {
        request: usize,
    },
    Relayed {
        request: usize,
        host: usize,
    },
    /// The first host receives the response to a relayed request; `retry_after` is
    /// set if the request was refused.
    RelayAnswered {
        request: usize,
        host: usize,
        load_percent: u16,
        retry_after: Option<Duration>,
    },
    End {
        request: usize,
        host: usize,
        outcome: WorkOutcome,
    },
    Advance {
        host: usize,
    },
    Report,
}

#[derive(Debug)]
struct SimulatedRequest {
    class: RequestClass,
    first_host: usize,
    arrived_at: MonotonicTime,
    deadline: MonotonicTime,
    /// Service time, as a multiple of the mean of the host.
    service_time_factor: f64,
    attempt_count: u32,
    is_relayed: bool,
    has_run: bool,
    started_at: MonotonicTime,
    retry_after: Duration,
}

/// The hosts, the requests of callers and the pending events.
#[derive(Debug)]
struct LoadSimulation {
    setting: CurveSetting,
    rng: StdRng,
    now: MonotonicTime,
    event_queue: BinaryHeap<Reverse<(MonotonicTime, u64, SimulationEvent)>>,
    event_count: u64,
    requests: Vec<SimulatedRequest>,
    hosts: Vec<SimulatedHost>,
    tally: CurveTally,
}

/// Runs one point of a load curve and returns its results.
pub fn run_curve(setting: &CurveSetting) -> CurveTally {
    let mut simulation = LoadSimulation::new(setting);
    simulation.schedule_arrivals();
    simulation.schedule(REPORT_INTERVAL, SimulationEvent::Report);
    while let Some(Reverse((time, _, event))) = simulation.event_queue.pop() {
        simulation.now = time;
        simulation.handle(event);
    }
    let hosts = simulation
        .hosts
        .into_iter()
        .map(|host| host.tally)
        .collect();
    simulation.tally.finalize(hosts);
    simulation.tally
}

fn process_id(index: usize) -> ProcessId {
    ProcessId {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16 + 1),
        incarnation: HostIncarnation(1),
    }
}

fn host_index(process_id: ProcessId) -> usize {
    usize::from(process_id.address.port()) - 1
}

impl LoadSimulation {
    fn new(setting: &CurveSetting) -> Self {
        let hosts = HostKind::ALL
            .iter()
            .enumerate()
            .map(|(index, kind)| SimulatedHost::new(*kind, index, setting))
            .collect();
        Self {
            setting: *setting,
            rng: StdRng::seed_from_u64(setting.seed),
            now: MonotonicTime::default(),
            event_queue: BinaryHeap::new(),
            event_count: 0,
            requests: Vec::new(),
            hosts,
            tally: CurveTally::default(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.event_count += 1;
        let entry = (self.now + delay, self.event_count, event);
        self.event_queue.push(Reverse(entry));
    }

    fn schedule_arrivals(&mut self) {
        let rate = self.setting.arrivals_per_second();
        let mut time = Duration::ZERO;
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            time += Duration::from_secs_f64(-uniform.ln() / rate);
            if time >= ARRIVAL_DURATION {
                return;
            }
            let request = self.requests.len();
            let arrival = self.new_request(MonotonicTime::default() + time);
            self.requests.push(arrival);
            self.schedule(time, SimulationEvent::Arrive { request });
        }
    }

    fn new_request(&mut self, arrived_at: MonotonicTime) -> SimulatedRequest {
        let is_non_idempotent = self.rng.random_range(0..100) < NON_IDEMPOTENT_PERCENT;
        let class = match is_non_idempotent {
            true => RequestClass::NonIdempotent,
            false => RequestClass::Idempotent,
        };
        SimulatedRequest {
            class,
            first_host: self.rng.random_range(0..self.hosts.len()),
            arrived_at,
            deadline: arrived_at + self.setting.deadline,
            service_time_factor: self.rng.random_range(0.75..1.25),
            attempt_count: 0,
            is_relayed: false,
            has_run: false,
            started_at: arrived_at,
            retry_after: Duration::ZERO,
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive { request } => self.handle_arrival(request),
            SimulationEvent::Relayed { request, host } => self.handle_relay(request, host),
            SimulationEvent::RelayAnswered {
                request,
                host,
                load_percent,
                retry_after,
            } => self.handle_relay_answer(request, host, load_percent, retry_after),
            SimulationEvent::End {
                request,
                host,
                outcome,
            } => self.handle_end(request, host, outcome),
            SimulationEvent::Advance { host } => self.advance(host),
            SimulationEvent::Report => self.report_loads(),
        }
    }

    fn slot_request(&self, request: usize) -> SlotRequest {
        let deadline = match self.setting.step >= PolicyStep::Deadline {
            true => self.requests[request].deadline,
            false => MonotonicTime(u64::MAX),
        };
        SlotRequest {
            key: RequestKey(request as u64),
            class: self.requests[request].class,
            deadline,
        }
    }

    fn handle_arrival(&mut self, request: usize) {
        let host = self.requests[request].first_host;
        self.requests[request].attempt_count += 1;
        self.requests[request].is_relayed = false;
        self.hosts[host].tally.received += 1;
        let slot_request = self.slot_request(request);
        let rules = self.setting.admission_rules();
        let mut decisions = Vec::new();
        let admission = &mut self.hosts[host].admission;
        let start = Instant::now();
        let decision = admission.admit(slot_request, &rules, self.now, &mut decisions);
        let time = start.elapsed();
        self.apply_decisions(host, &decisions, time);
        match decision {
            SlotDecision::Run => self.start(request, host),
            SlotDecision::Wait => {}
            SlotDecision::Refuse { retry_after } => {
                self.tally.refusal_times.push(time);
                self.hosts[host].tally.refused += 1;
                self.relay_or_refuse(request, retry_after);
            }
        }
        self.schedule_advance(host);
    }

    /// Starts a request at the backend server of a host.
    fn start(&mut self, request: usize, host: usize) {
        self.requests[request].started_at = self.now;
        let kind = self.hosts[host].kind;
        if kind.sheds(self.now) {
            let outcome = WorkOutcome::Shed;
            return self.schedule(
                SHED_RESPONSE_TIME,
                SimulationEvent::End {
                    request,
                    host,
                    outcome,
                },
            );
        }
        let running = self.hosts[host].admission.running_count();
        let work = kind.service_time(self.now, running);
        let time = work.mul_f64(self.requests[request].service_time_factor);
        self.requests[request].has_run = true;
        let remaining = self.requests[request].deadline.since(self.now);
        let is_timed_out = self.setting.step >= PolicyStep::Deadline && time >= remaining;
        let (time, outcome) = match is_timed_out {
            true => (remaining, WorkOutcome::TimedOut),
            false => (time, WorkOutcome::Answered),
        };
        self.hosts[host].tally.busy_time += time;
        self.schedule(
            time,
            SimulationEvent::End {
                request,
                host,
                outcome,
            },
        );
    }

    fn handle_end(&mut self, request: usize, host: usize, outcome: WorkOutcome) {
        let time = self.now.since(self.requests[request].started_at);
        let slot_outcome = self.slot_outcome(outcome, time);
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let decided_at = Instant::now();
        let decisions = admission.release(slot_outcome, &rules, self.now);
        self.apply_decisions(host, &decisions, decided_at.elapsed());
        self.schedule_advance(host);
        match outcome {
            WorkOutcome::Answered => self.complete(request, host),
            WorkOutcome::TimedOut => self.hosts[host].tally.late += 1,
            WorkOutcome::Shed => self.handle_shed(request, host),
        }
    }

    /// Returns the outcome that is reported to the host under the current policy
    /// step.
    fn slot_outcome(&self, outcome: WorkOutcome, time: Duration) -> SlotOutcome {
        match outcome {
            WorkOutcome::Answered => SlotOutcome::Completed(time),
            WorkOutcome::TimedOut if self.setting.step >= PolicyStep::Ramp => {
                SlotOutcome::TimedOut(time)
            }
            WorkOutcome::TimedOut => SlotOutcome::Completed(time),
            WorkOutcome::Shed if self.setting.step >= PolicyStep::Pause => SlotOutcome::Shed,
            WorkOutcome::Shed => SlotOutcome::Unused,
        }
    }

    fn complete(&mut self, request: usize, host: usize) {
        let done = &self.requests[request];
        if done.is_relayed {
            self.tally.relays_completed += 1;
        } else {
            self.hosts[host].budget.deposit();
        }
        if self.now >= done.deadline {
            self.hosts[host].tally.late += 1;
        } else {
            self.hosts[host].tally.completed += 1;
            self.tally
                .complete(done.class, self.now.since(done.arrived_at));
        }
        if done.is_relayed {
            self.answer_relay(request, host, None);
        }
    }

    fn handle_shed(&mut self, request: usize, host: usize) {
        self.hosts[host].tally.shed += 1;
        if self.requests[request].is_relayed {
            self.answer_relay(request, host, Some(SHED_RETRY_AFTER));
        } else {
            self.relay_or_refuse(request, SHED_RETRY_AFTER);
        }
    }

    /// Applies decisions about queued requests. `time` is the wall-clock duration of
    /// the decisions.
    fn apply_decisions(&mut self, host: usize, decisions: &[QueueDecision], time: Duration) {
        for queue_decision in decisions {
            let request = queue_decision.key.0 as usize;
            match queue_decision.decision {
                SlotDecision::Run => self.start(request, host),
                SlotDecision::Wait => unreachable!("a queued request is run or refused"),
                SlotDecision::Refuse { retry_after } => {
                    self.tally.refusal_times.push(time);
                    self.hosts[host].tally.dropped += 1;
                    self.relay_or_refuse(request, retry_after);
                }
            }
        }
    }

    fn advance(&mut self, host: usize) {
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let decided_at = Instant::now();
        let decisions = admission.advance(&rules, self.now);
        self.apply_decisions(host, &decisions, decided_at.elapsed());
    }

    fn schedule_advance(&mut self, host: usize) {
        let next = self.hosts[host].admission.next_advance_at(self.now);
        if let Some(time) = next
            && time.0 < u64::MAX
        {
            let delay = time.since(self.now);
            self.schedule(delay, SimulationEvent::Advance { host });
        }
    }

    /// Reports full load for the host of kind [`HostKind::Lying`] and no load for the
    /// others.
    fn report_loads(&mut self) {
        for host in &mut self.hosts {
            let load = match host.kind {
                HostKind::Lying => 1.0,
                _ => 0.0,
            };
            host.admission.record_load_report(load, self.now);
        }
        if self.now < MonotonicTime::default() + ARRIVAL_DURATION {
            self.schedule(REPORT_INTERVAL, SimulationEvent::Report);
        }
    }
}
