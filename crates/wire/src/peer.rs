//! Request and response messages between two processes, transported by nng.

use serde::Deserialize;
use serde::Serialize;

use crate::address::ProcessId;
use crate::address::ServiceId;

/// A header field of an HTTP request or response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// The field name.
    pub name: String,
    /// The field value.
    pub value: Vec<u8>,
}

/// An HTTP request to a backend server, with its body fully buffered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The authority from the caller's request, which names the service.
    pub authority: String,
    /// The header fields.
    pub headers: Vec<HeaderField>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// An HTTP response of a backend server, with its body fully buffered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReply {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<HeaderField>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Asks the issuer of a ticket for the outcome of the request that used it.
///
/// This request revokes the ticket if it is unused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The ticket in its text form.
    pub ticket: String,
    /// The hash of the request that was sent with the ticket.
    pub fingerprint: u128,
}

/// The outcome of the request that used a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// The request completed. Holds the encoded [`BackendReply`], or `None` if it
    /// was too long to be stored.
    Done(Option<Vec<u8>>),
    /// The request is still running.
    Running,
    /// The request did not run and will never run with this ticket.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The ticket was used for a different request.
    OtherRequest,
}

/// A request that a host relays to another host of the same service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The host that relays the request.
    pub sender: ProcessId,
    /// The host that runs the request. Another incarnation at the same address
    /// must not run it.
    pub target: ProcessId,
    /// Sequence number of the relay within the sender's incarnation, from 1.
    pub number: u64,
    /// The service of both hosts.
    pub service: ServiceId,
    /// Whether the request may be run more than once.
    pub is_idempotent: bool,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_millis: u32,
    /// The request to the backend server.
    pub call: BackendCall,
}

/// The outcome of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayOutcome {
    /// The request completed with this reply.
    Done(BackendReply),
    /// The request did not run and will never run.
    NotRun {
        /// Delay before the host may be asked again, in milliseconds.
        retry_after_millis: u32,
    },
    /// It is unknown whether the request ran.
    MayHaveRun,
}

/// The answer to a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// The outcome of the request.
    pub outcome: RelayOutcome,
    /// Load of the answering host, in percent of the requests that it can run
    /// concurrently.
    pub load_percent: u16,
}

/// The difference between a version of the configuration and a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStep {
    /// The version to which the edits apply.
    pub from: u64,
    /// The version that results from the edits.
    pub to: u64,
    /// Checksum over the number and the text of the resulting version.
    pub checksum: u64,
    /// The encoded line edits.
    pub edits: Vec<u8>,
}

/// A request to another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration if its version is higher than `above`. The
    /// answer contains either the steps from that version or the complete text.
    Configuration {
        /// The version that the sender has.
        above: u64,
    },
    /// Asks for the outcome of the request that used a ticket.
    Settle(SettleRequest),
    /// Relays a caller's request.
    Relay(Box<RelayRequest>),
    /// Asks for the current configuration version.
    Version,
    /// Asks for the complete configuration if its version is higher than `above`.
    /// Sent if the edits could not be applied to the sender's text.
    WholeConfiguration {
        /// The version that the sender has.
        above: u64,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The complete configuration.
    Configuration {
        /// The version of the configuration.
        version: u64,
        /// The text of the rule file, compressed with DEFLATE.
        deflated_text: Vec<u8>,
    },
    /// The receiver has no newer configuration than the sender of the request.
    UpToDate,
    /// The outcome of the request that used a ticket.
    Settled(SettleAnswer),
    /// The outcome of a relayed request.
    Relayed(RelayAnswer),
    /// The receiver does not serve this kind of request; nothing was done.
    Refused,
    /// The current configuration version.
    Version(u64),
    /// The steps from the requested version to the current one, in order.
    ConfigurationSteps(Vec<ConfigurationStep>),
}

/// Returns the encoded request, or an empty vector if encoding fails.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    postcard::to_stdvec(request).unwrap_or_default()
}

/// Decodes a request, or returns `None` if it is malformed.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    postcard::from_bytes(bytes).ok()
}

/// Returns the encoded answer, or an empty vector if encoding fails.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    postcard::to_stdvec(answer).unwrap_or_default()
}

/// Decodes an answer, or returns `None` if it is malformed.
pub fn decode_answer(bytes: &[u8]) -> Option<PeerAnswer> {
    postcard::from_bytes(bytes).ok()
}

/// Returns the encoded reply of a backend server, or an empty vector if encoding
/// fails.
pub fn encode_reply(reply: &BackendReply) -> Vec<u8> {
    postcard::to_stdvec(reply).unwrap_or_default()
}

/// Decodes the reply of a backend server, or returns `None` if it is malformed.
pub fn decode_reply(bytes: &[u8]) -> Option<BackendReply> {
    postcard::from_bytes(bytes).ok()
}
