//! Parameters of one point of a load curve, and the behaviour of the hosts.

use std::time::Duration;

use hyssopstair_requests::admission::AdmissionRules;
use hyssopstair_wire::time::MonotonicTime;

/// Mean service time of a request at a usual host.
pub const MEAN_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Queue length of a host, unless the policy has no queue.
const QUEUE_LENGTH: usize = 2;

/// Service time of the slow host, as a multiple of [`MEAN_SERVICE_TIME`].
const SLOW_FACTOR: u32 = 3;

/// Service time of the cold host while it is cold, as a multiple of
/// [`MEAN_SERVICE_TIME`] for each request that it runs concurrently.
const COLD_FACTOR: u32 = 5;

/// Time from the start during which the cold host is cold.
const COLD_DURATION: Duration = Duration::from_secs(5);

/// Period of the shedding host. It sheds all requests at the end of each period.
const SHED_PERIOD: Duration = Duration::from_secs(4);

/// Time from the start of each period during which the shedding host does not
/// shed.
const SHED_FREE_TIME: Duration = Duration::from_secs(3);

/// The steps of the admission policy. Each step includes all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyStep {
    /// A request takes a free slot or is refused.
    Slots,
    /// Requests wait in a short queue; non-idempotent requests have priority.
    Queue,
    /// Requests that cannot meet their deadline are refused, dropped from the queue
    /// or cancelled.
    Deadline,
    /// A refused request is retried at one other host.
    Relay,
    /// Retries at other hosts are limited by a budget.
    Budget,
    /// A host starts with one slot when it is cold or after a timeout.
    Ramp,
    /// A host backs off when its backend server sheds.
    Pause,
}

impl PolicyStep {
    /// All steps, in order.
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

/// The behaviour of the backend server of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostKind {
    /// Serves each request in the mean service time.
    Usual,
    /// Takes longer for every request.
    Slow,
    /// Serves like a usual host but reports full load.
    Lying,
    /// Sheds all requests (status 503) during a part of each period.
    Shedding,
    /// Takes longer after the start.
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

    /// Returns the long-term throughput of a host, as a fraction of that of a usual
    /// host.
    pub fn speed(self) -> f64 {
        match self {
            Self::Slow => 1.0 / f64::from(SLOW_FACTOR),
            Self::Shedding => SHED_FREE_TIME.as_secs_f64() / SHED_PERIOD.as_secs_f64(),
            Self::Usual | Self::Lying | Self::Cold => 1.0,
        }
    }

    /// Returns whether the backend server sheds a request that it receives at `now`.
    pub fn sheds(self, now: MonotonicTime) -> bool {
        let in_period = now.since(MonotonicTime::default()).as_micros() % SHED_PERIOD.as_micros();
        self == Self::Shedding && in_period >= SHED_FREE_TIME.as_micros()
    }

    /// Returns the mean service time of a request that is handed over at `now`,
    /// when `running` requests run concurrently.
    pub fn service_time(self, now: MonotonicTime, running: u32) -> Duration {
        let is_cold = self == Self::Cold && now < MonotonicTime::default() + COLD_DURATION;
        match self {
            Self::Slow => MEAN_SERVICE_TIME * SLOW_FACTOR,
            _ if is_cold => MEAN_SERVICE_TIME * COLD_FACTOR * running,
            _ => MEAN_SERVICE_TIME,
        }
    }
}

/// One point of a load curve.
#[derive(Debug, Clone, Copy)]
pub struct CurveSetting {
    /// Maximum number of requests that one host runs concurrently.
    pub slots: u32,
    /// Time that callers wait for a response.
    pub deadline: Duration,
    /// Arrival rate, as a multiple of the capacity of all hosts.
    pub rate: f64,
    /// Whether refused callers retry after the delay that they are given.
    pub callers_retry: bool,
    /// The policy in use.
    pub step: PolicyStep,
    /// Seed of the arrivals and service times.
    pub seed: u64,
}

impl CurveSetting {
    /// Returns the admission rules of each host.
    pub fn admission_rules(&self) -> AdmissionRules {
        let queue = match self.step {
            PolicyStep::Slots => 0,
            _ => QUEUE_LENGTH,
        };
        AdmissionRules {
            slots: self.slots,
            queue,
        }
    }

    /// Returns the mean arrival rate, in requests per second.
    pub fn arrivals_per_second(&self) -> f64 {
        let speed: f64 = HostKind::ALL.iter().map(|kind| kind.speed()).sum();
        let capacity = f64::from(self.slots) * speed / MEAN_SERVICE_TIME.as_secs_f64();
        self.rate * capacity
    }
}
