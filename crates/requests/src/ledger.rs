//! The state of the tickets that one incarnation of a host has issued.
//!
//! A ticket that has not been presented yet takes no memory: its number is in
//! the range of issued numbers and has no record. A record is created when a
//! ticket is first presented and kept until the ticket expires, or until its
//! request ends if that is later. When the maximum number of records is reached,
//! all tickets without a record are revoked, so that no recorded outcome has to be
//! evicted before its ticket expires.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;

use crate::ticket::RequestFingerprint;
use crate::ticket::RequestTicket;
use crate::ticket::TicketNumber;

/// Lifetime of a ticket, from its issue to its expiry.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(120);

/// Minimum interval between two purges of expired records.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the memory that a ledger uses.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum total size of the stored replies, in bytes.
    pub max_reply_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_records: 32_768,
            max_reply_bytes: 16 << 20,
        }
    }
}

/// The complete reply of a backend server, in the encoding that hosts exchange.
pub type StoredReply = Arc<[u8]>;

/// How a request with a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request ran and got this reply; `None` if the reply is too long to be
    /// stored.
    Done(Option<StoredReply>),
    /// The request did not run and never will under its ticket.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
}

/// How a request that presents a ticket is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision {
    /// The request may run, and has claimed the ticket.
    Run,
    /// Another copy of the request holds the ticket and has not ended.
    Wait,
    /// The request has already run and got this reply; `None` if the reply was too
    /// long to be stored.
    Replay(Option<StoredReply>),
    /// The request did not run and never will under this ticket.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The ticket was used for another request.
    OtherRequest,
    /// Another process issued the ticket and must be asked for its state.
    AskIssuer,
}

/// What the issuer reports about a ticket that was presented to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleDecision {
    /// The request ran and got this reply; `None` if the reply was too long to be
    /// stored.
    Done(Option<StoredReply>),
    /// A request holds the ticket and has not ended.
    Running,
    /// The request did not run and never will under this ticket.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The ticket was used for another request.
    OtherRequest,
}

/// Why a request must not be handed over to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandOverError {
    /// The ticket has expired.
    #[error("ticket has expired")]
    Expired,
    /// The deadline of the request has passed.
    #[error("request deadline has passed")]
    DeadlinePassed,
    /// No claimed request holds the ticket.
    #[error("ticket is not claimed")]
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

/// The state of the tickets of one incarnation of a host.
#[derive(Debug)]
pub struct TicketLedger {
    self_id: ProcessId,
    limits: LedgerLimits,
    first_number: TicketNumber,
    next_number: TicketNumber,
    /// Tickets below this number that have no record are revoked.
    revoked_below: TicketNumber,
    /// The latest expiry among the purged records. A ticket that has no record and
    /// does not expire later may have run.
    latest_purged_expiry: MonotonicTime,
    latest_expiry: MonotonicTime,
    next_purge_at: MonotonicTime,
    records: Vec<TicketRecord>,
    stored_reply_bytes: usize,
}

impl TicketLedger {
    /// Creates the ledger of the process `self_id`.
    ///
    /// `first_number` should be random. If a clock fault gives two processes the
    /// same address and incarnation, it distinguishes their tickets.
    pub fn new(self_id: ProcessId, limits: LedgerLimits, first_number: TicketNumber) -> Self {
        Self {
            self_id,
            limits,
            first_number,
            next_number: first_number,
            revoked_below: first_number,
            latest_purged_expiry: MonotonicTime::default(),
            latest_expiry: MonotonicTime::default(),
            next_purge_at: MonotonicTime::default(),
            records: Vec::new(),
            stored_reply_bytes: 0,
        }
    }

    /// Issues a ticket that expires [`TICKET_LIFETIME`] after `now`, and not before
    /// any ticket that was issued earlier.
    pub fn issue(&mut self, now: MonotonicTime) -> RequestTicket {
        let number = self.next_number;
        self.next_number = TicketNumber(number.0 + 1);
        // Expiries must not decrease with the number: `latest_purged_expiry`
        // relies on it.
        self.latest_expiry = self.latest_expiry.max(now + TICKET_LIFETIME);
        RequestTicket {
            issuer: self.self_id,
            number,
            expiry: self.latest_expiry,
        }
    }

    /// Returns how to handle a request that presents a ticket, and claims the
    /// ticket if the request may run.
    pub fn claim(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> TicketDecision {
        if ticket.issuer.address != self.self_id.address {
            return TicketDecision::AskIssuer;
        }
        match self.look_up_ticket(ticket, fingerprint, now) {
            TicketStatus::Unclaimed => {
                self.insert_record(ticket, fingerprint, RecordState::Claimed);
                TicketDecision::Run
            }
            TicketStatus::Active => TicketDecision::Wait,
            TicketStatus::Ended(RunOutcome::Done(reply)) => TicketDecision::Replay(reply),
            TicketStatus::Ended(RunOutcome::NotRun) => TicketDecision::NotRun,
            TicketStatus::Ended(RunOutcome::MayHaveRun) => TicketDecision::MayHaveRun,
            TicketStatus::OtherRequest => TicketDecision::OtherRequest,
        }
    }

    /// Returns the state of a ticket that was presented to another host. A ticket
    /// that was not claimed before is revoked.
    pub fn settle(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> SettleDecision {
        match self.look_up_ticket(ticket, fingerprint, now) {
            TicketStatus::Unclaimed => {
                let state = RecordState::Ended(RunOutcome::NotRun);
                self.insert_record(ticket, fingerprint, state);
                SettleDecision::NotRun
            }
            TicketStatus::Active => SettleDecision::Running,
            TicketStatus::Ended(RunOutcome::Done(reply)) => SettleDecision::Done(reply),
            TicketStatus::Ended(RunOutcome::NotRun) => SettleDecision::NotRun,
            TicketStatus::Ended(RunOutcome::MayHaveRun) => SettleDecision::MayHaveRun,
            TicketStatus::OtherRequest => SettleDecision::OtherRequest,
        }
    }

    /// Marks a claimed request as running, before it is handed over to a backend
    /// server.
    ///
    /// Must be called immediately before the hand-over, after any wait, so that a
    /// process that was suspended detects that the ticket has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`HandOverError`] if the request must not run. If the ticket has
    /// expired or the deadline has passed, the outcome [`RunOutcome::NotRun`] is
    /// recorded.
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

    /// Marks a running request as claimed again, so that it may be handed over
    /// elsewhere. Must be called only if it is certain that the request did not run.
    pub fn undo_hand_over(&mut self, number: TicketNumber) {
        if let Some(record) = self.record_mut(number)
            && record.state == RecordState::Running
        {
            record.state = RecordState::Claimed;
        }
    }

    /// Records how a request that holds a ticket ended. A reply that exceeds the
    /// remaining space for replies is not stored. Does nothing if an outcome is
    /// already recorded.
    pub fn record_outcome(&mut self, number: TicketNumber, outcome: RunOutcome) {
        let free_bytes = self.limits.max_reply_bytes - self.stored_reply_bytes;
        let outcome = match outcome {
            RunOutcome::Done(Some(reply)) if reply.len() > free_bytes => RunOutcome::Done(None),
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
        self.stored_reply_bytes += length;
    }

    /// Revokes all tickets that were issued and not yet presented.
    pub fn revoke_unused(&mut self) {
        self.revoked_below = self.next_number;
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of requests that hold a ticket and have not ended.
    pub fn unfinished_count(&self) -> usize {
        self.records
            .iter()
            .filter(|record| !matches!(record.state, RecordState::Ended(_)))
            .count()
    }

    /// Returns the state of a ticket. Revokes all unused tickets if there is no
    /// space for a record of this one.
    fn look_up_ticket(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        now: MonotonicTime,
    ) -> TicketStatus {
        let is_own = ticket.issuer == self.self_id;
        if !is_own || ticket.number < self.first_number || ticket.number >= self.next_number {
            return TicketStatus::Ended(RunOutcome::MayHaveRun);
        }
        if let Ok(index) = self.find_record(ticket.number) {
            return self.records[index].status_for(fingerprint);
        }
        if ticket.expiry <= self.latest_purged_expiry {
            return TicketStatus::Ended(RunOutcome::MayHaveRun);
        }
        if now >= ticket.expiry || ticket.number < self.revoked_below {
            return TicketStatus::Ended(RunOutcome::NotRun);
        }
        self.purge_expired(now);
        if self.records.len() >= self.limits.max_records {
            self.revoke_unused();
            return TicketStatus::Ended(RunOutcome::NotRun);
        }
        TicketStatus::Unclaimed
    }

    fn insert_record(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: RequestFingerprint,
        state: RecordState,
    ) {
        if let Err(index) = self.find_record(ticket.number) {
            let record = TicketRecord {
                number: ticket.number,
                expiry: ticket.expiry,
                fingerprint,
                state,
            };
            self.records.insert(index, record);
        }
    }

    /// Removes the records of ended requests whose tickets have expired, at most
    /// once per [`PURGE_INTERVAL`].
    fn purge_expired(&mut self, now: MonotonicTime) {
        if now < self.next_purge_at {
            return;
        }
        self.next_purge_at = now + PURGE_INTERVAL;
        let mut latest_purged_expiry = self.latest_purged_expiry;
        let mut freed_bytes = 0;
        self.records.retain(|record| {
            let RecordState::Ended(outcome) = &record.state else {
                return true;
            };
            if now < record.expiry {
                return true;
            }
            latest_purged_expiry = latest_purged_expiry.max(record.expiry);
            freed_bytes += reply_length(outcome);
            false
        });
        self.latest_purged_expiry = latest_purged_expiry;
        self.stored_reply_bytes -= freed_bytes;
    }

    fn find_record(&self, number: TicketNumber) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&number, |record| record.number)
    }

    fn record_mut(&mut self, number: TicketNumber) -> Option<&mut TicketRecord> {
        let index = self.find_record(number).ok()?;
        Some(&mut self.records[index])
    }
}

/// The state of a ticket, as seen by one request.
enum TicketStatus {
    Unclaimed,
    /// Claimed or running.
    Active,
    Ended(RunOutcome),
    OtherRequest,
}

impl TicketRecord {
    fn status_for(&self, fingerprint: RequestFingerprint) -> TicketStatus {
        if self.fingerprint != fingerprint {
            return TicketStatus::OtherRequest;
        }
        match &self.state {
            RecordState::Claimed | RecordState::Running => TicketStatus::Active,
            RecordState::Ended(outcome) => TicketStatus::Ended(outcome.clone()),
        }
    }
}

fn reply_length(outcome: &RunOutcome) -> usize {
    match outcome {
        RunOutcome::Done(Some(reply)) => reply.len(),
        RunOutcome::Done(None) | RunOutcome::NotRun | RunOutcome::MayHaveRun => 0,
    }
}
