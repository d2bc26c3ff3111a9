//! Connection IDs and reset tokens for QUIC.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_routing::reset::RESET_TOKEN_LENGTH;
use hyssopstair_routing::reset::reset_token;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::ROUTE_TOKEN_LENGTH;
use hyssopstair_wire::token::RouteToken;
use hyssopstair_wire::token::SECRET_LENGTH;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn::crypto::CryptoError;
use quinn::crypto::HmacKey;

use crate::host::state::HostState;

/// Issues route tokens as connection IDs.
pub struct TokenIssuer {
    state: Arc<HostState>,
    nonce: Arc<AtomicU32>,
}

impl TokenIssuer {
    /// Creates an issuer; all issuers of a host share `nonce`.
    pub fn new(state: Arc<HostState>, nonce: Arc<AtomicU32>) -> Self {
        Self { state, nonce }
    }
}

impl ConnectionIdGenerator for TokenIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        let view = self.state.node.view();
        // Flows are accepted only with a configuration that names the service.
        let number = view.rules.sealing_key().unwrap_or(KeyNumber(0));
        let token = RouteToken {
            key: number,
            service: self.state.service_id().unwrap_or(ServiceId(0)),
            host: self.state.node.process_id(),
            nonce: self.nonce.fetch_add(1, Ordering::Relaxed),
        };
        let bytes = match view.ring.find(number) {
            Some(key) => token.seal(key),
            None => token.seal(&self.state.node.secret.route_key(number)),
        };
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        ROUTE_TOKEN_LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// The key of reset tokens, which all processes of a fleet share.
pub struct ResetKey {
    secret: [u8; SECRET_LENGTH],
}

impl ResetKey {
    /// Wraps the secret.
    pub fn new(secret: [u8; SECRET_LENGTH]) -> Self {
        Self { secret }
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        signature_out.copy_from_slice(&reset_token(&self.secret, data));
    }

    fn signature_len(&self) -> usize {
        RESET_TOKEN_LENGTH
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        if reset_token(&self.secret, data) == signature {
            return Ok(());
        }
        Err(CryptoError)
    }
}
