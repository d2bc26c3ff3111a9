//! Seven hosts under seeded load, over the decision code that hosts use.
//!
//! Each policy step is turned off by what the decision code is given, so that
//! the code itself is the same in all steps.

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

use crate::curve::host::WorldHost;
use crate::curve::setting::CurveSetting;
use crate::curve::setting::HostKind;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::CurveTally;

mod host;
mod relaying;
pub mod setting;
pub mod tally;

/// Time in which requests arrive.
pub const LOAD_TIME: Duration = Duration::from_secs(30);

/// One-way time between two hosts.
const HOST_LATENCY: Duration = Duration::from_micros(500);

/// Time after which a backend server answers that it sheds.
const SHED_TIME: Duration = Duration::from_millis(1);

/// Time after which the caller of a shed request may ask again.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// Time between two reports of the backend servers' load.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Requests that cannot be run again, in percent.
const ONCE_PERCENT: u32 = 20;

/// Times that one caller asks.
const MAX_ASKS: u32 = 4;

/// How the work on a request ends at its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorkEnd {
    Answered,
    TimedOut,
    Shed,
}

/// What happens at some time. Numbers are indexes of requests and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrive {
        request: usize,
    },
    Relayed {
        request: usize,
        host: usize,
    },
    /// The first host hears of its relay; a refusal has a time to come back.
    RelayAnswered {
        request: usize,
        host: usize,
        percent: u16,
        refused: Option<Duration>,
    },
    End {
        request: usize,
        host: usize,
        end: WorkEnd,
    },
    Advance {
        host: usize,
    },
    Report,
}

#[derive(Debug)]
struct WorldRequest {
    class: RequestClass,
    first: usize,
    arrived: MonotonicTime,
    deadline: MonotonicTime,
    /// Service time as a multiple of the host's.
    factor: f64,
    asks: u32,
    is_relayed: bool,
    has_run: bool,
    started: MonotonicTime,
    retry_after: Duration,
}

/// The hosts, the callers and what is due.
#[derive(Debug)]
struct LoadWorld {
    setting: CurveSetting,
    random: StdRng,
    now: MonotonicTime,
    due: BinaryHeap<Reverse<(MonotonicTime, u64, WorldEvent)>>,
    events: u64,
    requests: Vec<WorldRequest>,
    hosts: Vec<WorldHost>,
    tally: CurveTally,
}

/// Runs one point of a load curve.
pub fn run_curve(setting: &CurveSetting) -> CurveTally {
    let mut world = LoadWorld::new(setting);
    world.schedule_arrivals();
    world.schedule(REPORT_TIME, WorldEvent::Report);
    while let Some(Reverse((time, _, event))) = world.due.pop() {
        world.now = time;
        world.handle(event);
    }
    let hosts = world.hosts.into_iter().map(|host| host.tally).collect();
    world.tally.close(hosts);
    world.tally
}

fn process(index: usize) -> ProcessId {
    ProcessId {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, index as u16 + 1),
        incarnation: HostIncarnation(1),
    }
}

fn index_of(process: ProcessId) -> usize {
    usize::from(process.address.port()) - 1
}

impl LoadWorld {
    fn new(setting: &CurveSetting) -> Self {
        let hosts = HostKind::ALL
            .iter()
            .enumerate()
            .map(|(index, kind)| WorldHost::new(*kind, index, setting))
            .collect();
        Self {
            setting: *setting,
            random: StdRng::seed_from_u64(setting.seed),
            now: MonotonicTime::default(),
            due: BinaryHeap::new(),
            events: 0,
            requests: Vec::new(),
            hosts,
            tally: CurveTally::default(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        self.events += 1;
        let entry = (self.now + delay, self.events, event);
        self.due.push(Reverse(entry));
    }

    fn schedule_arrivals(&mut self) {
        let rate = self.setting.arrivals_per_second();
        let mut time = Duration::ZERO;
        loop {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            time += Duration::from_secs_f64(-uniform.ln() / rate);
            if time >= LOAD_TIME {
                return;
            }
            let request = self.requests.len();
            let arrival = self.new_request(MonotonicTime::default() + time);
            self.requests.push(arrival);
            self.schedule(time, WorldEvent::Arrive { request });
        }
    }

    fn new_request(&mut self, arrived: MonotonicTime) -> WorldRequest {
        let is_once = self.random.random_range(0..100) < ONCE_PERCENT;
        let class = match is_once {
            true => RequestClass::NonIdempotent,
            false => RequestClass::Idempotent,
        };
        WorldRequest {
            class,
            first: self.random.random_range(0..self.hosts.len()),
            arrived,
            deadline: arrived + self.setting.deadline,
            factor: self.random.random_range(0.75..1.25),
            asks: 0,
            is_relayed: false,
            has_run: false,
            started: arrived,
            retry_after: Duration::ZERO,
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive { request } => self.admit(request),
            WorldEvent::Relayed { request, host } => self.admit_relayed(request, host),
            WorldEvent::RelayAnswered {
                request,
                host,
                percent,
                refused,
            } => self.hear_relay(request, host, percent, refused),
            WorldEvent::End { request, host, end } => self.end(request, host, end),
            WorldEvent::Advance { host } => self.advance(host),
            WorldEvent::Report => self.report(),
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

    fn admit(&mut self, request: usize) {
        let host = self.requests[request].first;
        self.requests[request].asks += 1;
        self.requests[request].is_relayed = false;
        self.hosts[host].tally.asked += 1;
        let slot_request = self.slot_request(request);
        let rules = self.setting.admission_rules();
        let mut changes = Vec::new();
        let admission = &mut self.hosts[host].admission;
        let start = Instant::now();
        let decision = admission.admit(slot_request, &rules, self.now, &mut changes);
        let time = start.elapsed();
        self.apply(host, &changes, time);
        match decision {
            SlotDecision::Run => self.start(request, host),
            SlotDecision::Wait => {}
            SlotDecision::Refuse { retry_after } => {
                self.tally.refusal_times.push(time);
                self.hosts[host].tally.refused += 1;
                self.try_elsewhere(request, retry_after);
            }
        }
        self.schedule_advance(host);
    }

    /// Runs a request at the backend server of a host.
    fn start(&mut self, request: usize, host: usize) {
        self.requests[request].started = self.now;
        let kind = self.hosts[host].kind;
        if kind.sheds(self.now) {
            let end = WorkEnd::Shed;
            return self.schedule(SHED_TIME, WorldEvent::End { request, host, end });
        }
        let running = self.hosts[host].admission.running_count();
        let work = kind.service_time(self.now, running);
        let time = work.mul_f64(self.requests[request].factor);
        self.requests[request].has_run = true;
        let left = self.requests[request].deadline.since(self.now);
        let is_cut = self.setting.step >= PolicyStep::Deadline && time >= left;
        let (time, end) = match is_cut {
            true => (left, WorkEnd::TimedOut),
            false => (time, WorkEnd::Answered),
        };
        self.hosts[host].tally.busy += time;
        self.schedule(time, WorldEvent::End { request, host, end });
    }

    fn end(&mut self, request: usize, host: usize, end: WorkEnd) {
        let time = self.now.since(self.requests[request].started);
        let slot_end = self.slot_end(end, time);
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let decided = Instant::now();
        let changes = admission.release(slot_end, &rules, self.now);
        self.apply(host, &changes, decided.elapsed());
        self.schedule_advance(host);
        match end {
            WorkEnd::Answered => self.complete(request, host),
            WorkEnd::TimedOut => self.hosts[host].tally.late += 1,
            WorkEnd::Shed => self.take_shed(request, host),
        }
    }

    /// Returns what the host is told of the end, by the policy steps in use.
    fn slot_end(&self, end: WorkEnd, time: Duration) -> SlotOutcome {
        match end {
            WorkEnd::Answered => SlotOutcome::Completed(time),
            WorkEnd::TimedOut if self.setting.step >= PolicyStep::Ramp => {
                SlotOutcome::TimedOut(time)
            }
            WorkEnd::TimedOut => SlotOutcome::Completed(time),
            WorkEnd::Shed if self.setting.step >= PolicyStep::Pause => SlotOutcome::Shed,
            WorkEnd::Shed => SlotOutcome::Unused,
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
                .complete(done.class, self.now.since(done.arrived));
        }
        if done.is_relayed {
            self.answer_relay(request, host, None);
        }
    }

    fn take_shed(&mut self, request: usize, host: usize) {
        self.hosts[host].tally.shed += 1;
        if self.requests[request].is_relayed {
            self.answer_relay(request, host, Some(SHED_RETRY));
        } else {
            self.try_elsewhere(request, SHED_RETRY);
        }
    }

    /// Does what a decision, which took `time`, says of waiting requests.
    fn apply(&mut self, host: usize, changes: &[QueueDecision], time: Duration) {
        for change in changes {
            let request = change.key.0 as usize;
            match change.decision {
                SlotDecision::Run => self.start(request, host),
                SlotDecision::Wait => unreachable!("the end of a wait is a wait"),
                SlotDecision::Refuse { retry_after } => {
                    self.tally.refusal_times.push(time);
                    self.hosts[host].tally.dropped += 1;
                    self.try_elsewhere(request, retry_after);
                }
            }
        }
    }

    fn advance(&mut self, host: usize) {
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let decided = Instant::now();
        let changes = admission.advance(&rules, self.now);
        self.apply(host, &changes, decided.elapsed());
    }

    fn schedule_advance(&mut self, host: usize) {
        let next = self.hosts[host].admission.next_advance_at(self.now);
        if let Some(time) = next
            && time.0 < u64::MAX
        {
            let delay = time.since(self.now);
            self.schedule(delay, WorldEvent::Advance { host });
        }
    }

    /// The lying host says that it is full, the others that they are free.
    fn report(&mut self) {
        for host in &mut self.hosts {
            let load = match host.kind {
                HostKind::Lying => 1.0,
                _ => 0.0,
            };
            host.admission.record_load_report(load, self.now);
        }
        if self.now < MonotonicTime::default() + LOAD_TIME {
            self.schedule(REPORT_TIME, WorldEvent::Report);
        }
    }
}
