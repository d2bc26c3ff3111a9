//! What one incarnation remembers of the tickets that it issued.
//!
//! A ticket that was issued and not yet shown takes no memory: its number lies
//! in the window of issued numbers and has no record. A record is kept from the
//! first sight of a ticket until the ticket expires, and always while its
//! request runs. When there is no space for another record, all tickets without
//! one become void, so that no outcome is ever forgotten.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;

use crate::ticket::RequestFingerprint;
use crate::ticket::RequestTicket;
use crate::ticket::TicketNumber;

/// Time from the issue of a ticket to its expiry.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(120);

/// Time between two searches for records that have expired.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the memory of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Most records.
    pub records: usize,
    /// Most bytes of all stored replies together.
    pub reply_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            records: 32_768,
            reply_bytes: 16 << 20,
        }
    }
}

/// A whole answer, in the form in which hosts exchange it.
pub type StoredReply = Arc<[u8]>;

/// How the run of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran, with this answer; none when the answer is too long to be kept.
    Done(Option<StoredReply>),
    /// It did not run, and never will under its ticket.
    NotRun,
    /// Nobody knows whether it ran.
    MayHaveRun,
}

/// What is to be done with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision {
    /// The request may run; the ticket is claimed by it.
    Run,
    /// Another copy of the request is at work.
    Wait,
    /// The request ran before; none when its answer was too long to be kept.
    Replay(Option<StoredReply>),
    /// It did not run and never will under this ticket.
    NotRun,
    /// Nobody knows whether it ran.
    MayHaveRun,
    /// The ticket was used for another request.
    OtherRequest,
    /// Another process issued the ticket and has to be asked.
    AskIssuer,
}

/// What an issuer says of a ticket that was shown to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleDecision {
    /// The request ran; none when its answer was too long to be kept.
    Done(Option<StoredReply>),
    /// The request is at work.
    Running,
    /// It did not run and never will under this ticket.
    NotRun,
    /// Nobody knows whether it ran.
    MayHaveRun,
    /// The ticket was used for another request.
    OtherRequest,
}

/// Why a claimed request must not be handed to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandOverError {
    /// The ticket has expired.
    #[error("the ticket has expired")]
    Expired,
    /// The caller no longer waits.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// No request holds the ticket.
    #[error("the ticket is not claimed")]
    NotClaimed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum RecordState {
    Claimed,
    Running,
    Ended(RunOutcome),
}

#[derive(Debug)]
struct TicketRecord {
    number: TicketNumber,
    expiry: MonotonicTime,
    fingerprint: RequestFingerprint,
    state: RecordState,
}

/// The tickets of one incarnation of a host.
#[derive(Debug)]
pub struct TicketLedger {
    me: ProcessId,
    limits: LedgerLimits,
    first: TicketNumber,
    next: TicketNumber,
    /// Tickets below this number that have no record are void.
    floor: TicketNumber,
    /// The latest expiry of a record that was dropped.
    forgotten: MonotonicTime,
    latest_expiry: MonotonicTime,
    next_purge: MonotonicTime,
    records: Vec<TicketRecord>,
    reply_bytes: usize,
}

impl TicketLedger {
    /// Creates the ledger of the process `me`. A random `first` number tells
    /// its tickets from those of a process that had the same name by a fault of
    /// the clock.
    pub fn new(me: ProcessId, limits: LedgerLimits, first: TicketNumber) -> Self {
        Self {
            me,
            limits,
            first,
            next: first,
            floor: first,
            forgotten: MonotonicTime::default(),
            latest_expiry: MonotonicTime::default(),
            next_purge: MonotonicTime::default(),
            records: Vec::new(),
            reply_bytes: 0,
        }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: MonotonicTime) -> RequestTicket {
        let number = self.next;
        self.next = TicketNumber(number.0 + 1);
        // Expiries never decrease with the number, which `forgotten` relies on.
        self.latest_expiry = self.latest_expiry.max(now + TICKET_LIFETIME);
        RequestTicket {
            issuer: self.me,
            number,
            expiry: self.latest_expiry,
        }
    }

    /// Decides about a request that carries a ticket, and claims the ticket
    /// when the request may run.
    pub fn claim(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> TicketDecision {
        if ticket.issuer.address != self.me.address {
            return TicketDecision::AskIssuer;
        }
        match self.look_up(ticket, fingerprint, now) {
            LookUp::Free => {
                self.insert(ticket, fingerprint, RecordState::Claimed);
                TicketDecision::Run
            }
            LookUp::Held => TicketDecision::Wait,
            LookUp::Ended(RunOutcome::Done(reply)) => TicketDecision::Replay(reply),
            LookUp::Ended(RunOutcome::NotRun) => TicketDecision::NotRun,
            LookUp::Ended(RunOutcome::MayHaveRun) => TicketDecision::MayHaveRun,
            LookUp::OtherRequest => TicketDecision::OtherRequest,
        }
    }

    /// Tells another host what became of a ticket; a ticket that was not used
    /// becomes void.
    pub fn settle(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> SettleDecision {
        match self.look_up(ticket, fingerprint, now) {
            LookUp::Free => {
                let state = RecordState::Ended(RunOutcome::NotRun);
                self.insert(ticket, fingerprint, state);
                SettleDecision::NotRun
            }
            LookUp::Held => SettleDecision::Running,
            LookUp::Ended(RunOutcome::Done(reply)) => SettleDecision::Done(reply),
            LookUp::Ended(RunOutcome::NotRun) => SettleDecision::NotRun,
            LookUp::Ended(RunOutcome::MayHaveRun) => SettleDecision::MayHaveRun,
            LookUp::OtherRequest => SettleDecision::OtherRequest,
        }
    }

    /// Allows the hand-over of a claimed request to a backend server. To be
    /// asked right before the hand-over, after any wait: a process that was
    /// paused finds here that its ticket has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`HandOverError`] when the request must not run; its ticket is
    /// void then.
    pub fn hand_over(
        &mut self,
        number: TicketNumber,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> Result<(), HandOverError> {
        let Some(record) = self.record_mut(number) else {
            return Err(HandOverError::NotClaimed);
        };
        if record.state != RecordState::Claimed {
            return Err(HandOverError::NotClaimed);
        }
        let refusal = if now >= record.expiry {
            Some(HandOverError::Expired)
        } else if now >= deadline {
            Some(HandOverError::DeadlinePassed)
        } else {
            None
        };
        if let Some(error) = refusal {
            record.state = RecordState::Ended(RunOutcome::NotRun);
            return Err(error);
        }
        record.state = RecordState::Running;
        Ok(())
    }

    /// Takes back a hand-over that provably sent nothing, so that the request
    /// may be handed over elsewhere.
    pub fn undo_hand_over(&mut self, number: TicketNumber) {
        if let Some(record) = self.record_mut(number)
            && record.state == RecordState::Running
        {
            record.state = RecordState::Claimed;
        }
    }

    /// Records how a claimed request ended.
    pub fn record_outcome(&mut self, number: TicketNumber, outcome: RunOutcome) {
        let free = self.limits.reply_bytes - self.reply_bytes;
        let outcome = match outcome {
            RunOutcome::Done(Some(reply)) if reply.len() > free => RunOutcome::Done(None),
            outcome => outcome,
        };
        let length = reply_length(&outcome);
        let Some(record) = self.record_mut(number) else {
            return;
        };
        if matches!(record.state, RecordState::Ended(_)) {
            return;
        }
        record.state = RecordState::Ended(outcome);
        self.reply_bytes += length;
    }

    /// Makes all tickets void that were issued and not yet shown.
    pub fn revoke_unused(&mut self) {
        self.floor = self.next;
    }

    /// Returns the number of records.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of requests that hold a ticket and have not ended.
    pub fn unfinished_count(&self) -> usize {
        self.records
            .iter()
            .filter(|record| !matches!(record.state, RecordState::Ended(_)))
            .count()
    }

    fn look_up(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> LookUp {
        let is_mine = ticket.issuer == self.me;
        if !is_mine || ticket.number < self.first || ticket.number >= self.next {
            return LookUp::Ended(RunOutcome::MayHaveRun);
        }
        if let Ok(index) = self.find(ticket.number) {
            return self.records[index].look_up(fingerprint);
        }
        if ticket.expiry <= self.forgotten {
            return LookUp::Ended(RunOutcome::MayHaveRun);
        }
        if now >= ticket.expiry || ticket.number < self.floor {
            return LookUp::Ended(RunOutcome::NotRun);
        }
        self.purge(now);
        if self.records.len() >= self.limits.records {
            self.revoke_unused();
            return LookUp::Ended(RunOutcome::NotRun);
        }
        LookUp::Free
    }

    fn insert(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        state: RecordState,
    ) {
        if let Err(index) = self.find(ticket.number) {
            let record = TicketRecord {
                number: ticket.number,
                expiry: ticket.expiry,
                fingerprint,
                state,
            };
            self.records.insert(index, record);
        }
    }

    fn purge(&mut self, now: MonotonicTime) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now + PURGE_INTERVAL;
        let mut forgotten = self.forgotten;
        let mut freed = 0;
        self.records.retain(|record| {
            let RecordState::Ended(outcome) = &record.state else {
                return true;
            };
            if now < record.expiry {
                return true;
            }
            forgotten = forgotten.max(record.expiry);
            freed += reply_length(outcome);
            false
        });
        self.forgotten = forgotten;
        self.reply_bytes -= freed;
    }

    fn find(&self, number: TicketNumber) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&number, |record| record.number)
    }

    fn record_mut(&mut self, number: TicketNumber) -> Option<&mut TicketRecord> {
        let index = self.find(number).ok()?;
        Some(&mut self.records[index])
    }
}

/// What a ledger knows of a ticket.
enum LookUp {
    Free,
    Held,
    Ended(RunOutcome),
    OtherRequest,
}

impl TicketRecord {
    fn look_up(&self, fingerprint: RequestFingerprint) -> LookUp {
        if self.fingerprint != fingerprint {
            return LookUp::OtherRequest;
        }
        match &self.state {
            RecordState::Claimed | RecordState::Running => LookUp::Held,
            RecordState::Ended(outcome) => LookUp::Ended(outcome.clone()),
        }
    }
}

fn reply_length(outcome: &RunOutcome) -> usize {
    match outcome {
        RunOutcome::Done(Some(reply)) => reply.len(),
        RunOutcome::Done(None) | RunOutcome::NotRun | RunOutcome::MayHaveRun => 0,
    }
}
