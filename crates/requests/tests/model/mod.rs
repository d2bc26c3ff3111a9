//! Hosts, callers and messages between them, with an oracle.

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

const HOSTS: usize = 3;
const RULES: AdmissionRules = AdmissionRules { slots: 2, queue: 1 };
const LIMITS: LedgerLimits = LedgerLimits {
    max_records: 6,
    max_reply_bytes: 256,
};
const PATIENCE: Duration = Duration::from_secs(5);

/// One step of the world. Numbers choose among what there is.
#[derive(Debug, Clone)]
pub enum WorldStep {
    /// A host issues a ticket.
    Issue { host: usize },
    /// A caller shows a ticket to a host; another body when `other` is set.
    Show {
        ticket: usize,
        host: usize,
        other: bool,
    },
    /// A claimed request is handed to the backend server of its host.
    HandOver { request: usize },
    /// A claimed request is relayed; the message may be doubled.
    Relay {
        request: usize,
        host: usize,
        copies: usize,
    },
    /// A message of a relay arrives, late or again.
    Deliver { message: usize, lost_answer: bool },
    /// A running request ends.
    End { request: usize, end: WorldEnd },
    /// A host starts anew at its address.
    Restart { host: usize },
    /// A host is told to leave.
    Drain { host: usize },
    /// Time passes; pauses past an expiry are among them.
    Wait { millis: u64 },
}

/// How a run ends at the issuer.
#[derive(Debug, Clone, Copy)]
pub enum WorldEnd {
    Whole,
    Cut,
    Refused,
}

/// The steps need no knowledge of the state.
#[derive(Debug, Clone, Default)]
pub struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = WorldStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<WorldStep> {
        let host = || 0..HOSTS;
        let any = || 0..64_usize;
        let end = prop_oneof![
            3 => Just(WorldEnd::Whole),
            1 => Just(WorldEnd::Cut),
            1 => Just(WorldEnd::Refused),
        ];
        prop_oneof![
            4 => host().prop_map(|host| WorldStep::Issue { host }),
            10 => (any(), host(), proptest::bool::weighted(0.1))
                .prop_map(|(ticket, host, other)| WorldStep::Show { ticket, host, other }),
            6 => any().prop_map(|request| WorldStep::HandOver { request }),
            4 => (any(), host(), 1..3_usize)
                .prop_map(|(request, host, copies)| WorldStep::Relay { request, host, copies }),
            6 => (any(), proptest::bool::weighted(0.2))
                .prop_map(|(message, lost_answer)| WorldStep::Deliver { message, lost_answer }),
            6 => (any(), end).prop_map(|(request, end)| WorldStep::End { request, end }),
            1 => host().prop_map(|host| WorldStep::Restart { host }),
            1 => host().prop_map(|host| WorldStep::Drain { host }),
            2 => (1..3_000_u64).prop_map(|millis| WorldStep::Wait { millis }),
            1 => (100_000..300_000_u64).prop_map(|millis| WorldStep::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &WorldStep) {}
}

#[derive(Debug)]
struct ModelHost {
    me: ProcessId,
    ledger: TicketLedger,
    relays: RelayLog,
    admission: AdmissionController,
    /// Slots that requests of the model hold.
    held: u32,
    next_relay: u64,
}

impl ModelHost {
    fn new(host: usize, incarnation: u32) -> Self {
        let me = ProcessId {
            address: std::net::SocketAddrV4::new([127, 1, 2, host as u8 + 1].into(), 7000),
            incarnation: HostIncarnation(incarnation),
        };
        let first = TicketNumber(u64::from(incarnation) * 1_000);
        Self {
            me,
            ledger: TicketLedger::new(me, LIMITS, first),
            relays: RelayLog::new(me),
            admission: AdmissionController::default(),
            held: 0,
            next_relay: 0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Claimed,
    Running,
    Relayed,
}

/// A request that holds its ticket at the issuer.
#[derive(Debug)]
struct ModelRequest {
    ticket: usize,
    issuer: ProcessId,
    host: usize,
    stage: Stage,
    deadline: MonotonicTime,
    relay: u64,
}

#[derive(Debug)]
struct ModelMessage {
    ticket: usize,
    sender: ProcessId,
    target: ProcessId,
    number: u64,
    deadline: MonotonicTime,
}

/// What the oracle knows of a ticket.
#[derive(Debug)]
struct TicketRecord {
    ticket: RequestTicket,
    runs: u32,
    told_not_run: bool,
    reply: Vec<u8>,
}

/// The hosts, the callers and the oracle.
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

fn fingerprint(ticket: usize, other: bool) -> RequestFingerprint {
    RequestFingerprint(2 * ticket as u128 + u128::from(other))
}

impl HostFleet {
    fn run(&mut self, ticket: usize) {
        let record = &mut self.tickets[ticket];
        record.runs += 1;
        assert!(record.runs <= 1, "ticket {ticket} ran twice");
        assert!(!record.told_not_run, "ticket {ticket} ran after not-run");
    }

    fn tell_not_run(&mut self, ticket: usize) {
        let record = &mut self.tickets[ticket];
        assert_eq!(record.runs, 0, "false not-run of ticket {ticket}");
        record.told_not_run = true;
    }

    fn check_reply(&self, ticket: usize, reply: Option<&[u8]>) {
        assert_eq!(self.tickets[ticket].runs, 1, "done without a run");
        if let Some(reply) = reply {
            assert_eq!(reply, self.tickets[ticket].reply, "swapped answer");
        }
    }

    fn show(&mut self, ticket: usize, host: usize, other: bool) {
        let shown = self.tickets[ticket].ticket;
        let print = fingerprint(ticket, other);
        let now = self.now;
        let decision = self.hosts[host].ledger.claim(&shown, print, now);
        match decision {
            TicketDecision::Run if other => {
                // The caller's mistake: the ticket stands for the other body.
                let ledger = &mut self.hosts[host].ledger;
                ledger.record_outcome(shown.number, RunOutcome::NotRun);
            }
            TicketDecision::Run => self.requests.push(ModelRequest {
                ticket,
                issuer: shown.issuer,
                host,
                stage: Stage::Claimed,
                deadline: now + PATIENCE,
                relay: 0,
            }),
            TicketDecision::Replay(reply) => self.check_reply(ticket, reply.as_deref()),
            TicketDecision::NotRun if !other => self.tell_not_run(ticket),
            TicketDecision::AskIssuer => self.settle(ticket, print, other),
            TicketDecision::NotRun
            | TicketDecision::Wait
            | TicketDecision::MayHaveRun
            | TicketDecision::OtherRequest => {}
        }
    }

    fn settle(&mut self, ticket: usize, print: RequestFingerprint, other: bool) {
        let shown = self.tickets[ticket].ticket;
        let now = self.now;
        let issuer = self
            .hosts
            .iter_mut()
            .find(|host| host.me.address == shown.issuer.address);
        let decision = issuer.unwrap().ledger.settle(&shown, print, now);
        match decision {
            SettleDecision::Done(reply) => self.check_reply(ticket, reply.as_deref()),
            SettleDecision::NotRun if !other => self.tell_not_run(ticket),
            _ => {}
        }
    }

    fn slot(&mut self, host: usize, deadline: MonotonicTime) -> bool {
        let request = SlotRequest {
            key: RequestKey(0),
            class: RequestClass::NonIdempotent,
            deadline,
        };
        let place = &mut self.hosts[host];
        let decision = place.admission.admit_relayed(request, &RULES, self.now);
        if decision != SlotDecision::Run {
            return false;
        }
        assert!(self.now < deadline, "admitted past its deadline");
        place.held += 1;
        true
    }

    fn release(&mut self, host: usize, end: SlotOutcome) {
        let place = &mut self.hosts[host];
        place.held -= 1;
        place.admission.release(end, &RULES, self.now);
    }

    /// Forgets a request and records its end at the issuer that still lives.
    fn finish(&mut self, index: usize, outcome: RunOutcome) {
        let request = self.requests.remove(index);
        let number = self.tickets[request.ticket].ticket.number;
        let host = &mut self.hosts[request.host];
        if host.me != request.issuer {
            return;
        }
        let is_not_run = outcome == RunOutcome::NotRun;
        host.ledger.record_outcome(number, outcome);
        if is_not_run {
            self.tell_not_run(request.ticket);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let request = &self.requests[index];
        let (ticket, host, deadline) = (request.ticket, request.host, request.deadline);
        if request.stage != Stage::Claimed || self.hosts[host].me != request.issuer {
            return;
        }
        if !self.slot(host, deadline) {
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        let number = self.tickets[ticket].ticket.number;
        let allowed = self.hosts[host]
            .ledger
            .hand_over(number, deadline, self.now);
        if allowed.is_err() {
            self.release(host, SlotOutcome::Unused);
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        self.requests[index].stage = Stage::Running;
        self.run(ticket);
    }

    fn relay(&mut self, index: usize, to: usize, copies: usize) {
        let request = &self.requests[index];
        let (ticket, host, deadline) = (request.ticket, request.host, request.deadline);
        let is_here = self.hosts[host].me == request.issuer;
        if request.stage != Stage::Claimed || !is_here || host == to {
            return;
        }
        let number = self.tickets[ticket].ticket.number;
        let allowed = self.hosts[host]
            .ledger
            .hand_over(number, deadline, self.now);
        if allowed.is_err() {
            self.finish(index, RunOutcome::NotRun);
            return;
        }
        self.hosts[host].next_relay += 1;
        let relay = self.hosts[host].next_relay;
        self.requests[index].stage = Stage::Relayed;
        self.requests[index].relay = relay;
        for _ in 0..copies {
            self.messages.push(ModelMessage {
                ticket,
                sender: self.hosts[host].me,
                target: self.hosts[to].me,
                number: relay,
                deadline,
            });
        }
    }

    fn deliver(&mut self, index: usize, lost_answer: bool) {
        let message = self.messages.swap_remove(index);
        let now = self.now;
        let to = self
            .hosts
            .iter()
            .position(|host| host.me.address == message.target.address)
            .unwrap();
        let relays = &mut self.hosts[to].relays;
        let seen = relays.record_relay(message.sender, message.target, message.number, now);
        let outcome = match seen {
            RelayDecision::Repeated => RunOutcome::MayHaveRun,
            RelayDecision::Refused => RunOutcome::NotRun,
            RelayDecision::New if self.slot(to, message.deadline) => {
                self.run(message.ticket);
                self.release(to, SlotOutcome::Completed(Duration::from_millis(20)));
                RunOutcome::Done(Some(reply_of(message.ticket).into()))
            }
            RelayDecision::New => RunOutcome::NotRun,
        };
        let waiting = self.requests.iter().position(|request| {
            request.issuer == message.sender
                && request.relay == message.number
                && request.stage == Stage::Relayed
        });
        let Some(waiting) = waiting else { return };
        // A lost answer leaves the sender without knowledge.
        let outcome = if lost_answer {
            RunOutcome::MayHaveRun
        } else {
            outcome
        };
        if outcome == RunOutcome::NotRun {
            // No other copy of the message can run: its number is seen.
            let number = self.tickets[message.ticket].ticket.number;
            let host = self.requests[waiting].host;
            if self.hosts[host].me == message.sender {
                self.hosts[host].ledger.undo_hand_over(number);
            }
            self.requests[waiting].stage = Stage::Claimed;
            return;
        }
        self.finish(waiting, outcome);
    }

    fn end(&mut self, index: usize, end: WorldEnd) {
        let request = &self.requests[index];
        let (ticket, host) = (request.ticket, request.host);
        let is_here = self.hosts[host].me == request.issuer;
        if request.stage != Stage::Running || !is_here {
            return;
        }
        let (slot, outcome) = match end {
            WorldEnd::Whole => (
                SlotOutcome::Completed(Duration::from_millis(20)),
                RunOutcome::Done(Some(reply_of(ticket).into())),
            ),
            WorldEnd::Cut => (SlotOutcome::Failed, RunOutcome::MayHaveRun),
            WorldEnd::Refused => {
                // The backend server has shed it: nothing ran after all.
                self.tickets[ticket].runs = 0;
                (SlotOutcome::Shed, RunOutcome::NotRun)
            }
        };
        self.release(host, slot);
        self.finish(index, outcome);
    }
}

impl StateMachineTest for HostFleet {
    type SystemUnderTest = Self;
    type Reference = StepSource;

    fn init_test((): &()) -> Self {
        Self {
            now: MonotonicTime::from_millis(1_000),
            hosts: (0..HOSTS).map(|host| ModelHost::new(host, 1)).collect(),
            tickets: Vec::new(),
            requests: Vec::new(),
            messages: Vec::new(),
            incarnation: 1,
        }
    }

    fn apply(mut state: Self, (): &(), step: WorldStep) -> Self {
        let now = state.now;
        match step {
            WorldStep::Issue { host } => {
                let ticket = state.hosts[host].ledger.issue(now);
                let reply = reply_of(state.tickets.len());
                state.tickets.push(TicketRecord {
                    ticket,
                    runs: 0,
                    told_not_run: false,
                    reply,
                });
            }
            WorldStep::Show {
                ticket,
                host,
                other,
            } if !state.tickets.is_empty() => {
                let ticket = ticket % state.tickets.len();
                state.show(ticket, host, other);
            }
            WorldStep::HandOver { request } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.hand_over(index);
            }
            WorldStep::Relay {
                request,
                host,
                copies,
            } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.relay(index, host, copies);
            }
            WorldStep::Deliver {
                message,
                lost_answer,
            } if !state.messages.is_empty() => {
                let index = message % state.messages.len();
                state.deliver(index, lost_answer);
            }
            WorldStep::End { request, end } if !state.requests.is_empty() => {
                let index = request % state.requests.len();
                state.end(index, end);
            }
            WorldStep::Restart { host } => {
                state.incarnation += 1;
                state.hosts[host] = ModelHost::new(host, state.incarnation);
                let me = state.hosts[host].me.address;
                state
                    .requests
                    .retain(|request| request.issuer.address != me);
            }
            WorldStep::Drain { host } => state.hosts[host].ledger.revoke_unused(),
            WorldStep::Wait { millis } => state.now = now + Duration::from_millis(millis),
            _ => {}
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        for host in &state.hosts {
            assert_eq!(
                host.admission.running_count(),
                host.held,
                "a slot has leaked"
            );
            assert!(host.admission.running_count() <= RULES.slots);
            assert!(host.ledger.record_count() <= LIMITS.max_records);
        }
    }
}
