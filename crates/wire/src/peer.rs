//! Requests between two processes, carried by nng.

use serde::Deserialize;
use serde::Serialize;

use crate::address::ProcessId;
use crate::address::ServiceId;

/// A header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// The name.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// What a backend server is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCall {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The name of the service, as the caller gave it.
    pub authority: String,
    /// The headers.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Asks the issuer of a ticket what became of it. A ticket that was not used is
/// void afterwards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The text form of the ticket.
    pub ticket: String,
    /// The hash of the request that came with it.
    pub fingerprint: u128,
}

/// What became of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// The request ran; the encoded [`BackendReply`], unless it was too long to
    /// be kept.
    Done(Option<Vec<u8>>),
    /// The request is at work.
    Running,
    /// It did not run and never will under this ticket.
    NotRun,
    /// Nobody knows whether it ran.
    MayHaveRun,
    /// The ticket was used for another request.
    OtherRequest,
}

/// A request that one host hands to another of the same service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The host that hands the request over.
    pub sender: ProcessId,
    /// The host that is to run it; no other incarnation may.
    pub target: ProcessId,
    /// Counts the relays of the sender's incarnation, from one.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// Whether the request may be run more than once.
    pub is_idempotent: bool,
    /// How long the caller still waits, in milliseconds.
    pub remaining_millis: u32,
    /// What to ask.
    pub call: BackendCall,
}

/// What became of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// It ran, with this answer.
    Done(BackendReply),
    /// It did not run and never will.
    NotRun {
        /// When the host may be asked again, in milliseconds.
        retry_after_millis: u32,
    },
    /// Nobody knows whether it ran.
    MayHaveRun,
}

/// Answers a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// What became of the request.
    pub outcome: RelayOutcome,
    /// The load of the answering host, in percent of what can run at once.
    pub load_percent: u16,
}

/// What leads from one version of the configuration to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStep {
    /// The version that the edits are made to.
    pub from: u64,
    /// The version that they make.
    pub to: u64,
    /// The checksum of the later version and its text.
    pub checksum: u64,
    /// The encoded line edits.
    pub edits: Vec<u8>,
}

/// A question to another process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration if its version is higher than `above`. The
    /// answer is the steps from there, or the whole text.
    Configuration {
        /// The version that the asking process has.
        above: u64,
    },
    /// Asks what became of a ticket.
    Settle(SettleRequest),
    /// Hands a request over.
    Relay(Box<RelayRequest>),
    /// Asks for the version of the configuration in force.
    Version,
    /// Asks for the whole configuration if its version is higher than `above`;
    /// sent when the edits did not fit.
    WholeConfiguration {
        /// The version that the asking process has.
        above: u64,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The whole configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// The text of the rule file, deflated.
        deflated_text: Vec<u8>,
    },
    /// There is nothing newer.
    UpToDate,
    /// What became of a ticket.
    Settled(SettleAnswer),
    /// What became of a relayed request.
    Relayed(RelayAnswer),
    /// The process does not answer such questions; nothing was done.
    Refused,
    /// The version of the configuration in force.
    Version(u64),
    /// What leads from the asked version to the one in force, in order.
    ConfigurationSteps(Vec<ConfigurationStep>),
}

/// Writes a question.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    postcard::to_stdvec(request).unwrap_or_default()
}

/// Reads a question, or nothing when it is malformed.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    postcard::from_bytes(bytes).ok()
}

/// Writes an answer.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    postcard::to_stdvec(answer).unwrap_or_default()
}

/// Reads an answer, or nothing when it is malformed.
pub fn decode_answer(bytes: &[u8]) -> Option<PeerAnswer> {
    postcard::from_bytes(bytes).ok()
}

/// Writes a whole answer.
pub fn encode_reply(reply: &BackendReply) -> Vec<u8> {
    postcard::to_stdvec(reply).unwrap_or_default()
}

/// Reads a whole answer, or nothing when it is malformed.
pub fn decode_reply(bytes: &[u8]) -> Option<BackendReply> {
    postcard::from_bytes(bytes).ok()
}
