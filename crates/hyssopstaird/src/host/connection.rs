//! Generation of QUIC connection IDs and stateless reset tokens.
//!
//! A connection ID is a sealed route token, from which any balancer can determine the host
//! of a flow. A reset token depends only on the connection ID and the fleet secret, so that
//! any process can send a stateless reset.

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

/// Generates route tokens as connection IDs.
pub struct TokenIssuer {
    state: Arc<HostState>,
    nonce: Arc<AtomicU32>,
}

impl TokenIssuer {
    /// Creates an issuer. All issuers of a host must share the counter `nonce`.
    pub fn new(state: Arc<HostState>, nonce: Arc<AtomicU32>) -> Self {
        Self { state, nonce }
    }
}

impl ConnectionIdGenerator for TokenIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        let view = self.state.node.view();
        // Flows are accepted only if a configuration names the service, so the service is
        // known here.
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

/// The key of stateless reset tokens, which is the same in all processes of a fleet.
pub struct ResetKey {
    secret: [u8; SECRET_LENGTH],
}

impl ResetKey {
    /// Creates the key from a secret that is derived from the fleet secret.
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
