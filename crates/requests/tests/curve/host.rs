//! One host of the service.

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
use crate::curve::setting::PolicyStep;
use crate::curve::setting::WORK_TIME;
use crate::curve::tally::HostTally;

/// Completed requests that open all slots of a warm host.
const WARM_REQUESTS: u64 = 40;

/// One host and its backend server.
#[derive(Debug)]
pub struct WorldHost {
    /// How its backend server behaves.
    pub kind: HostKind,
    /// Its slots and queue.
    pub admission: AdmissionController,
    /// Its budget of second tries.
    pub budget: RetryBudget,
    /// What it knows of the others.
    pub loads: PeerLoads,
    /// What it did.
    pub tally: HostTally,
}

impl WorldHost {
    /// Creates a host whose slots are open, unless it starts cold.
    pub fn new(kind: HostKind, index: usize, setting: &CurveSetting) -> Self {
        let mut admission = AdmissionController::default();
        let starts_cold = kind == HostKind::Cold && setting.step >= PolicyStep::Ramp;
        if !starts_cold {
            warm(&mut admission, setting);
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

/// Opens all slots of a host by completed requests.
fn warm(admission: &mut AdmissionController, setting: &CurveSetting) {
    let rules = setting.admission_rules();
    let now = MonotonicTime::default();
    for key in 0..WARM_REQUESTS {
        let request = SlotRequest {
            key: RequestKey(key),
            class: RequestClass::NonIdempotent,
            deadline: MonotonicTime(u64::MAX),
        };
        admission.admit(request, &rules, now, &mut Vec::new());
        admission.release(SlotOutcome::Completed(WORK_TIME), &rules, now);
    }
}
