//! A model of hosts, callers and the messages between them, with an oracle.

use std::time::Duration;

use hyssopstair_requests::admission::AdmissionController;
use hyssopstair_requests::admission::AdmissionRules;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::admission::RequestKey;
use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_requests::admission::SlotRequest;
use hyssopstair_requests::ledger::LedgerLimits;
use hyssopstair_requests::ledger::RunOutcome;
use hyssopstair_requests::ledger::SettleDecision;
use hyssopstair_requests::ledger::TicketDecision;
use hyssopstair_requests::ledger::TicketLedger;
use hyssopstair_requests::relay::RelayDecision;
use hyssopstair_requests::relay::RelayLog;
use hyssopstair_requests::ticket::RequestFingerprint;
use hyssopstair_requests::ticket::RequestTicket;
use hyssopstair_requests::ticket::TicketNumber;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

const HOST_COUNT: usize = 3;
const RULES: AdmissionRules = AdmissionRules { slots: 2, queue: 1 };
const LIMITS: LedgerLimits = LedgerLimits {
    max_records: 6,
    max_reply_bytes: 256,
};
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// One step of the model. Indices of tickets, requests and messages are taken modulo
/// the number that exist.
#[derive(Debug, Clone)]
pub enum FleetStep {
    /// A host issues a ticket.
    Issue { host: usize },
    /// A caller presents a ticket to a host, with a different body if `other_body`
    /// is set.
    Present {
        ticket: usize,
        host: usize,
        other_body: bool,
    },
    /// A claimed request is handed over to the backend server of its host.
    HandOver { request: usize },
    /// A claimed request is relayed to another host, in one or more copies.
    Relay {
        request: usize,
        host: usize,
        copy_count: usize,
    },
    /// A relay message is delivered, possibly late or as a duplicate.
    Deliver {
        message: usize,
        is_response_lost: bool,
    },
    /// A running request ends at the backend server of its host.
    End { request: usize, end: RunEnd },
    /// A host restarts at its address with a new incarnation.
    Restart { host: usize },
    /// A host starts to drain.
    Drain { host: usize },
    /// Time passes, possibly beyond the expiry of tickets.
    Wait { millis: u64 },
}

/// How a request ends at the backend server of the issuer.
#[derive(Debug, Clone, Copy)]
pub enum RunEnd {
    Completed,
    Interrupted,
    Shed,
}

/// Generates steps independently of the state of the model.
#[derive(Debug, Clone, Default)]
pub struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<FleetStep> {
        let host = || 0..HOST_COUNT;
        let any_index = || 0..64_usize;
        let end = prop_oneof![
            3 => Just(RunEnd::Completed),
            1 => Just(RunEnd::Interrupted),
            1 => Just(RunEnd::Shed),
        ];
        prop_oneof![
            4 => host().prop_map(|host| FleetStep::Issue { host }),
            10 => (any_index(), host(), proptest::bool::weighted(0.1))
                .prop_map(|(ticket, host, other_body)| FleetStep::Present { ticket, host, other_body }),
            6 => any_index().prop_map(|request| FleetStep::HandOver { request }),
            4 => (any_index(), host(), 1..3_usize)
                .prop_map(|(request, host, copy_count)| FleetStep::Relay { request, host, copy_count }),
            6 => (any_index(), proptest::bool::weighted(0.2))
                .prop_map(|(message, is_response_lost)| FleetStep::Deliver { message, is_response_lost }),
            6 => (any_index(), end).prop_map(|(request, end)| FleetStep::End { request, end }),
            1 => host().prop_map(|host| FleetStep::Restart { host }),
            1 => host().prop_map(|host| FleetStep::Drain { host }),
            2 => (1..3_000_u64).prop_map(|millis| FleetStep::Wait { millis }),
            1 => (100_000..300_000_u64).prop_map(|millis| FleetStep::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &FleetStep) {}
}

#[derive(Debug)]
struct ModelHost {
    self_id: ProcessId,
    ledger: TicketLedger,
    relay_log: RelayLog,
    admission: AdmissionController,
    /// Number of slots that requests of the model hold.
    held_slot_count: u32,
    last_relay_number: u64,
}

impl ModelHost {
    fn new(host: usize, incarnation: u32) -> Self {
        let self_id = ProcessId {
            address: std::net::SocketAddrV4::new([127, 1, 2, host as u8 + 1].into(), 7000),
            incarnation: HostIncarnation(incarnation),
        };
        let first = TicketNumber(u64::from(incarnation) * 1_000);
        Self {
            self_id,
            ledger: TicketLedger::new(self_id, LIMITS, first),
            relay_log: RelayLog::new(self_id),
            admission: AdmissionController::default(),
            held_slot_count: 0,
            last_relay_number: 0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Claimed,
    Running,
    Relayed,
}

/// A request that holds a ticket at its issuer.
#[derive(Debug)]
struct ModelRequest {
    ticket: usize,
    issuer: ProcessId,
    host: usize,
    stage: Stage,
    deadline: MonotonicTime,
    relay_number: u64,
}

#[derive(Debug)]
struct ModelMessage {
    ticket: usize,
    sender: ProcessId,
    target: ProcessId,
    number: u64,
    deadline: MonotonicTime,
}

/// The oracle's record of a ticket.
#[derive(Debug)]
struct TicketRecord {
    ticket: RequestTicket,
    run_count: u32,
    reported_not_run: bool,
    reply: Vec<u8>,
}

/// The hosts, the pending requests and messages, and the oracle.
#[derive(Debug)]
pub struct HostFleet {
    now: MonotonicTime,
    hosts: Vec<ModelHost>,
    tickets: Vec<TicketRecord>,
    requests: Vec<ModelRequest>,
    messages: Vec<ModelMessage>,
    incarnation: u32,
}

fn reply_of(ticket: usize) -> Vec<u8> {
    format!("reply {ticket}").into_bytes()
}

fn fingerprint_of(ticket: usize, other_body: bool) -> RequestFingerprint {
    RequestFingerprint(2 * ticket as u128 + u128::from(other_body))
}

impl HostFleet {
    fn run(&mut self, ticket: usize) {
        let record = &mut self.tickets[ticket];
        record.run_count += 1;
        assert!(record.run_count <= 1, "ticket {ticket} ran twice");
        assert!(
            !record.reported_not_run,
            "ticket {ticket} ran after the verdict not-run"
        );
    }

    fn report_not_run(&mut self, ticket: usize) {
        let record = &mut self.tickets[ticket];
        assert_eq!(
            record.run_count, 0,
            "false verdict not-run for ticket {ticket}"
        );
        record.reported_not_run = true;
    }

    fn check_reply(&self, ticket: usize, reply: Option<&[u8]>) {
        assert_eq!(
            self.tickets[ticket].run_count, 1,
            "verdict done for a request that did not run"
        );
        if let Some(reply) = reply {
            assert_eq!(
                reply, self.tickets[ticket].reply,
                "reply belongs to another request"
            );
        }
    }

    fn present(&mut self, ticket: usize, host: usize, other_body: bool) {
        let presented = self.tickets[ticket].ticket;
        let fingerprint = fingerprint_of(ticket, other_body);
        let now = self.now;
        let decision = self.hosts[host].ledger.claim(&presented, fingerprint, now);
        match decision {
            TicketDecision::Run if other_body => {
                // Caller error: the ticket is now bound to the other body.
                let ledger = &mut self.hosts[host].ledger;
                ledger.record_outcome(presented.number, RunOutcome::NotRun);
            }
            TicketDecision::Run => self.requests.push(ModelRequest {
                ticket,
                issuer: presented.issuer,
                host,
                stage: Stage::Claimed,
                deadline: now + REQUEST_TIMEOUT,
                relay_number: 0,
            }),
            TicketDecision::Replay(reply) => self.check_reply(ticket, reply.as_deref()),
            TicketDecision::NotRun if !other_body => self.report_not_run(ticket),
            TicketDecision::AskIssuer => self.settle(ticket, fingerprint, other_body),
            TicketDecision::NotRun
            | TicketDecision::Wait
            | TicketDecision::MayHaveRun
            | TicketDecision::OtherRequest => {}
        }
    }

    fn settle(&mut self, ticket: usize, fingerprint: RequestFingerprint, other_body: bool) {
        let presented = self.tickets[ticket].ticket;
        let now = self.now;
        let issuer = self
            .hosts
            .iter_mut()
            .find(|host| host.self_id.address == presented.issuer.address);
        let decision = issuer.unwrap().ledger.settle(&presented, fingerprint, now);
        match decision {
            SettleDecision::Done(reply) => self.check_reply(ticket, reply.as_deref()),
            SettleDecision::NotRun if !other_body => self.report_not_run(ticket),
            _ => {}
        }
    }

    fn take_slot(&mut self, host: usize, deadline: MonotonicTime) -> bool {
        let request = SlotRequest {
            key: RequestKey(0),
            class: RequestClass::NonIdempotent,
            deadline,
        };
        let model_host = &mut self.hosts[host];
        let decision = model_host
            .admission
            .admit_relayed(request, &RULES, self.now);
        if decision != SlotDecision::Run {
            return false;
        }
        assert!(
            self.now < deadline,
            "request was admitted after its deadline"
        );
        model_host.held_slot_count += 1;
        true
    }

    fn release(&mut self, host: usize, outcome: SlotOutcome) {
        let model_host = &mut self.hosts[host];
        model_host.held_slot_count -= 1;
        model_host.admission.release(outcome, &RULES, self.now);
    }

    /// Removes a request and records its outcome if its issuer has not restarted.
    fn finish(&mut self, index: usize, outcome: RunOutcome) {
        let request = self.requests.remove(index);
        let number = self.tickets[request.ticket].ticket.number;
        let host = &mut self.hosts[request.host];
        if host.self_id != request.issuer {
            return;
        }
        let is_not_run = outcome == RunOutcome::NotRun;
        host.ledger.record_outcome(number, outcome);
        if is_not_run {
            self.report_not_run(request.ticket);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let request = &self.requests[index];
        let (ticket, host, deadline) = (request.ticket, request.host, request.deadline);
        if request.stage != Stage::Claimed || self.hosts[host].self_id != request.issuer {
            return;
        }
        if !self.take_slot(host, deadline) {
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        let number = self.tickets[ticket].ticket.number;
        let handed_over = self.hosts[host]
            .ledger
            .hand_over(number, deadline, self.now);
        if handed_over.is_err() {
            self.release(host, SlotOutcome::Unused);
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        self.requests[index].stage = Stage::Running;
        self.run(ticket);
    }

    fn relay(&mut self, index: usize, target_host: usize, copy_count: usize) {
        let request = &self.requests[index];
        let (ticket, host, deadline) = (request.ticket, request.host, request.deadline);
        let is_issuer_alive = self.hosts[host].self_id == request.issuer;
        if request.stage != Stage::Claimed || !is_issuer_alive || host == target_host {
            return;
        }
        let number = self.tickets[ticket].ticket.number;
        let handed_over = self.hosts[host]
            .ledger
            .hand_over(number, deadline, self.now);
        if handed_over.is_err() {
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        self.hosts[host].last_relay_number += 1;
        let relay_number = self.hosts[host].last_relay_number;
        self.requests[index].stage = Stage::Relayed;
        self.requests[index].relay_number = relay_number;
        for _ in 0..copy_count {
            self.messages.push(ModelMessage {
                ticket,
                sender: self.hosts[host].self_id,
                target: self.hosts[target_host].self_id,
                number: relay_number,
                deadline,
            });
        }
    }

    fn deliver(&mut self, index: usize, is_response_lost: bool) {
        let message = self.messages.swap_remove(index);
        let now = self.now;
        let target_host = self
            .hosts
            .iter()
            .position(|host| host.self_id.address == message.target.address)
            .unwrap();
        let relay_log = &mut self.hosts[target_host].relay_log;
        let relay_decision =
            relay_log.record_relay(message.sender, message.target, message.number, now);
        let outcome = match relay_decision {
            RelayDecision::Repeated => RunOutcome::MayHaveRun,
            RelayDecision::Refused => RunOutcome::NotRun,
            RelayDecision::New if self.take_slot(target_host, message.deadline) => {
                self.run(message.ticket);
                self.release(
                    target_host,
                    SlotOutcome::Completed(Duration::from_millis(20)),
                );
                RunOutcome::Done(Some(reply_of(message.ticket).into()))
            }
            RelayDecision::New => RunOutcome::NotRun,
        };
        let pending = self.requests.iter().position(|request| {
            request.issuer == message.sender
                && request.relay_number == message.number
                && request.stage == Stage::Relayed
        });
        let Some(pending) = pending else { return };
        // If the response is lost, the sender does not know the outcome.
        let outcome = if is_response_lost {
            RunOutcome::MayHaveRun
        } else {
            outcome
        };
        if outcome == RunOutcome::NotRun {
            // No other copy of the message can run: its receiver has recorded its number
            // or is another incarnation than its target.
            let number = self.tickets[message.ticket].ticket.number;
            let host = self.requests[pending].host;
            if self.hosts[host].self_id == message.sender {
                self.hosts[host].ledger.undo_hand_over(number);
            }
            self.requests[pending].stage = Stage::Claimed;
            return;
        }
        self.finish(pending, outcome);
    }

    fn end(&mut self, index: usize, end: RunEnd) {
        let request = &self.requests[index];
        let (ticket, host) = (request.ticket, request.host);
        let is_issuer_alive = self.hosts[host].self_id == request.issuer;
        if request.stage != Stage::Running || !is_issuer_alive {
            return;
        }
        let (slot_outcome, outcome) = match end {
            RunEnd::Completed => (
                SlotOutcome::Completed(Duration::from_millis(20)),
                RunOutcome::Done(Some(reply_of(ticket).into())),
            ),
            RunEnd::Interrupted => (SlotOutcome::Failed, RunOutcome::MayHaveRun),
            RunEnd::Shed => {
                // The backend server shed the request, so it did not run.
                self.tickets[ticket].run_count = 0;
                (SlotOutcome::Shed, RunOutcome::NotRun)
            }
        };
        self.release(host, slot_outcome);
        self.finish(index, outcome);
    }
}

impl StateMachineTest for HostFleet {
    type SystemUnderTest = Self;
    type Reference = StepGenerator;

    fn init_test((): &()) -> Self {
        Self {
            now: MonotonicTime::from_millis(1_000),
            hosts: (0..HOST_COUNT)
                .map(|host| ModelHost::new(host, 1))
                .collect(),
            tickets: Vec::new(),
            requests: Vec::new(),
            messages: Vec::new(),
            incarnation: 1,
        }
    }

    fn apply(mut state: Self, (): &(), step: FleetStep) -> Self {
        let now = state.now;
        match step {
            FleetStep::Issue { host } => {
                let ticket = state.hosts[host].ledger.issue(now);
                let reply = reply_of(state.tickets.len());
                state.tickets.push(TicketRecord {
                    ticket,
                    run_count: 0,
                    reported_not_run: false,
                    reply,
                });
            }
            FleetStep::Present {
                ticket,
                host,
                other_body,
            } if !state.tickets.is_empty() => {
                let ticket = ticket % state.tickets.len();
                state.present(ticket, host, other_body);
            }
            FleetStep::HandOver { request } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.hand_over(index);
            }
            FleetStep::Relay {
                request,
                host,
                copy_count,
            } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.relay(index, host, copy_count);
            }
            FleetStep::Deliver {
                message,
                is_response_lost,
            } if !state.messages.is_empty() => {
                let index = message % state.messages.len();
                state.deliver(index, is_response_lost);
            }
            FleetStep::End { request, end } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.end(index, end);
            }
            FleetStep::Restart { host } => {
                state.incarnation += 1;
                state.hosts[host] = ModelHost::new(host, state.incarnation);
                let address = state.hosts[host].self_id.address;
                state
                    .requests
                    .retain(|request| request.issuer.address != address);
            }
            FleetStep::Drain { host } => state.hosts[host].ledger.revoke_unused(),
            FleetStep::Wait { millis } => state.now = now + Duration::from_millis(millis),
            _ => {}
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        for host in &state.hosts {
            assert_eq!(
                host.admission.running_count(),
                host.held_slot_count,
                "slot was not released"
            );
            assert!(host.admission.running_count() <= RULES.slots);
            assert!(host.ledger.record_count() <= LIMITS.max_records);
        }
    }
}
