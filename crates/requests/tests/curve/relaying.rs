//! Second tries at other hosts, and the end of refused requests.

use std::time::Duration;
use std::time::Instant;

use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_wire::address::ProcessId;
use rand::RngExt;

use crate::curve::HOST_LATENCY;
use crate::curve::LoadWorld;
use crate::curve::MAX_ASKS;
use crate::curve::WorldEvent;
use crate::curve::index_of;
use crate::curve::process;
use crate::curve::setting::PolicyStep;

impl LoadWorld {
    pub(super) fn admit_relayed(&mut self, request: usize, host: usize) {
        let slot_request = self.slot_request(request);
        let rules = self.setting.admission_rules();
        let admission = &mut self.hosts[host].admission;
        let start = Instant::now();
        let decision = admission.admit_relayed(slot_request, &rules, self.now);
        let time = start.elapsed();
        match decision {
            SlotDecision::Run => self.start(request, host),
            SlotDecision::Wait => unreachable!("a relayed request waits"),
            SlotDecision::Refuse { retry_after } => {
                self.tally.refusal_times.push(time);
                self.answer_relay(request, host, Some(retry_after));
            }
        }
    }

    pub(super) fn answer_relay(&mut self, request: usize, host: usize, refused: Option<Duration>) {
        let rules = self.setting.admission_rules();
        let percent = self.hosts[host].admission.load_percent(&rules, self.now);
        let answer = WorldEvent::RelayAnswered {
            request,
            host,
            percent,
            refused,
        };
        self.schedule(HOST_LATENCY, answer);
    }

    pub(super) fn hear_relay(
        &mut self,
        request: usize,
        host: usize,
        percent: u16,
        refused: Option<Duration>,
    ) {
        let first = self.requests[request].first;
        let loads = &mut self.hosts[first].loads;
        loads.record_load(process(host), percent, self.now);
        if let Some(pause) = refused {
            loads.avoid_peer(process(host), pause, self.now);
            self.tally.relays_refused += 1;
            self.give_up(request);
        }
    }

    /// Tries a refused request at another host, or gives it up.
    pub(super) fn try_elsewhere(&mut self, request: usize, retry_after: Duration) {
        self.requests[request].retry_after = retry_after;
        let first = self.requests[request].first;
        if self.setting.step < PolicyStep::Relay || self.requests[request].deadline <= self.now {
            return self.give_up(request);
        }
        let peers: Vec<ProcessId> = (0..self.hosts.len())
            .filter(|index| *index != first)
            .map(process)
            .collect();
        let host = &mut self.hosts[first];
        let Some(peer) = host.loads.choose_peer(&peers, self.now) else {
            return self.give_up(request);
        };
        if self.setting.step >= PolicyStep::Budget && !host.budget.try_withdraw() {
            return self.give_up(request);
        }
        self.tally.relays += 1;
        self.requests[request].is_relayed = true;
        let host = index_of(peer);
        self.schedule(HOST_LATENCY, WorldEvent::Relayed { request, host });
    }

    pub(super) fn give_up(&mut self, request: usize) {
        let refused = &self.requests[request];
        let wait = refused.retry_after;
        let comes_back = self.setting.comes_back
            && refused.asks < MAX_ASKS
            && self.now + wait < refused.deadline;
        if comes_back {
            let late = self.random.random_range(1.0..1.5);
            return self.schedule(wait.mul_f64(late), WorldEvent::Arrive { request });
        }
        self.tally.refuse(refused.has_run);
    }
}
