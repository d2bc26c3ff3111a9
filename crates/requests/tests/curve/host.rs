//! One simulated host of a service.

use hyssopstair_requests::admission::AdmissionController;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::admission::RequestKey;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_requests::admission::SlotRequest;
use hyssopstair_requests::budget::RetryBudget;
use hyssopstair_requests::relay::PeerLoads;
use hyssopstair_wire::time::MonotonicTime;

use crate::curve::setting::CurveSetting;
use crate::curve::setting::HostKind;
use crate::curve::setting::MEAN_SERVICE_TIME;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::HostTally;

/// Completed requests that raise the concurrency limit of a warm host to all its
/// slots.
const WARM_UP_REQUESTS: u64 = 40;

/// A host and its backend server.
#[derive(Debug)]
pub struct SimulatedHost {
    /// The behaviour of the backend server.
    pub kind: HostKind,
    /// The slots and the queue.
    pub admission: AdmissionController,
    /// The budget for retries at other hosts.
    pub budget: RetryBudget,
    /// The reported load of the other hosts.
    pub loads: PeerLoads,
    /// The counts of this host.
    pub tally: HostTally,
}

impl SimulatedHost {
    /// Creates a host with all slots available. From [`PolicyStep::Ramp`] on, a
    /// cold host starts with one slot instead.
    pub fn new(kind: HostKind, index: usize, setting: &CurveSetting) -> Self {
        let mut admission = AdmissionController::default();
        let starts_cold = kind == HostKind::Cold && setting.step >= PolicyStep::Ramp;
        if !starts_cold {
            warm_up(&mut admission, setting);
        }
        Self {
            kind,
            admission,
            budget: RetryBudget::default(),
            loads: PeerLoads::new(setting.seed + index as u64),
            tally: HostTally::new(kind),
        }
    }
}

/// Raises the concurrency limit of a host to all its slots by completing
/// requests.
fn warm_up(admission: &mut AdmissionController, setting: &CurveSetting) {
    let rules = setting.admission_rules();
    let now = MonotonicTime::default();
    for key in 0..WARM_UP_REQUESTS {
        let request = SlotRequest {
            key: RequestKey(key),
            class: RequestClass::NonIdempotent,
            deadline: MonotonicTime(u64::MAX),
        };
        admission.admit(request, &rules, now, &mut Vec::new());
        admission.release(SlotOutcome::Completed(MEAN_SERVICE_TIME), &rules, now);
    }
}
