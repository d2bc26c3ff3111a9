//! What one point of a load curve is run with.

use std::time::Duration;

use hyssopstair_requests::admission::AdmissionRules;
use hyssopstair_wire::time::MonotonicTime;

/// Time that the work on a request takes on average at a usual host.
pub const WORK_TIME: Duration = Duration::from_millis(20);

/// Requests that wait at a host with a queue.
const QUEUE: usize = 2;

/// Service time of the slow host, as a multiple of the usual.
const SLOW_FACTOR: u32 = 3;

/// Service time of the cold host while it is cold, as a multiple of the usual
/// and for each request that it runs.
const COLD_FACTOR: u32 = 5;

/// Time in which the cold host is cold.
const COLD_TIME: Duration = Duration::from_secs(5);

/// The shedding host sheds in the last part of each period.
const SHED_PERIOD: Duration = Duration::from_secs(4);

/// Part of each period in which the shedding host works.
const WORK_PERIOD: Duration = Duration::from_secs(3);

/// The policy, each step with all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyStep {
    /// A request takes a free slot or is refused.
    Slots,
    /// Requests wait in a short queue; enrolments are preferred.
    Queue,
    /// Requests that miss their deadline are refused, dropped or cancelled.
    Deadline,
    /// A refused request is tried at one other host.
    Relay,
    /// Second tries are bounded by a budget.
    Budget,
    /// A cold host, and one that timed out, starts with one slot.
    Ramp,
    /// A host pauses when its backend server sheds.
    Pause,
}

impl PolicyStep {
    /// All steps in their order.
    pub const ALL: [Self; 7] = [
        Self::Slots,
        Self::Queue,
        Self::Deadline,
        Self::Relay,
        Self::Budget,
        Self::Ramp,
        Self::Pause,
    ];
}

/// How the backend server of a host behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostKind {
    /// Serves each request in the usual time.
    Usual,
    /// Takes longer for each request.
    Slow,
    /// Serves as usual and reports that it is full.
    Lying,
    /// Answers 503 for stretches of time.
    Shedding,
    /// Takes longer at first.
    Cold,
}

impl HostKind {
    /// The hosts of one service.
    pub const ALL: [Self; 7] = [
        Self::Usual,
        Self::Usual,
        Self::Usual,
        Self::Slow,
        Self::Lying,
        Self::Shedding,
        Self::Cold,
    ];

    /// Returns the work that a host does in the long run, as a share of what
    /// a usual host does.
    pub fn speed(self) -> f64 {
        match self {
            Self::Slow => 1.0 / f64::from(SLOW_FACTOR),
            Self::Shedding => WORK_PERIOD.as_secs_f64() / SHED_PERIOD.as_secs_f64(),
            Self::Usual | Self::Lying | Self::Cold => 1.0,
        }
    }

    /// Returns whether a request that is handed over at `now` is shed.
    pub fn sheds(self, now: MonotonicTime) -> bool {
        let in_period = now.since(MonotonicTime::default()).as_micros() % SHED_PERIOD.as_micros();
        self == Self::Shedding && in_period >= WORK_PERIOD.as_micros()
    }

    /// Returns the mean time of a request that is handed over at `now` as one
    /// of `running`.
    pub fn service_time(self, now: MonotonicTime, running: u32) -> Duration {
        let is_cold = self == Self::Cold && now < MonotonicTime::default() + COLD_TIME;
        match self {
            Self::Slow => WORK_TIME * SLOW_FACTOR,
            _ if is_cold => WORK_TIME * COLD_FACTOR * running,
            _ => WORK_TIME,
        }
    }
}

/// One point of a load curve.
#[derive(Debug, Clone, Copy)]
pub struct CurveSetting {
    /// Requests that one host runs at once.
    pub slots: u32,
    /// Time that callers wait for an answer.
    pub deadline: Duration,
    /// Arrivals as a multiple of the capacity of all hosts.
    pub rate: f64,
    /// Whether refused callers come back after the time they are told.
    pub comes_back: bool,
    /// The policy in use.
    pub step: PolicyStep,
    /// Seed of arrivals and work.
    pub seed: u64,
}

impl CurveSetting {
    /// Returns the rules of each host.
    pub fn admission_rules(&self) -> AdmissionRules {
        let queue = match self.step {
            PolicyStep::Slots => 0,
            _ => QUEUE,
        };
        AdmissionRules {
            slots: self.slots,
            queue,
        }
    }

    /// Returns the mean rate of arrivals.
    pub fn arrivals_per_second(&self) -> f64 {
        let speed: f64 = HostKind::ALL.iter().map(|kind| kind.speed()).sum();
        let capacity = f64::from(self.slots) * speed / WORK_TIME.as_secs_f64();
        self.rate * capacity
    }
}
