//! An HTTP client for the platform's key-value store.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use hyssopstair_adapter::store::ERA_HEADER;
use hyssopstair_adapter::store::StoreRequest;
use hyssopstair_adapter::store::decode_era;
use hyssopstair_wire::carried::StoreEra;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::carry::store_eras::StoreEras;

/// Timeout for opening a connection; the store usually responds in 4 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a response, in addition to the time for which the request allows the
/// store to hold it back. A slow store takes up to a hundred times as long as usual.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call of the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The connection could not be opened; the call was not executed.
    #[error("failed to connect: {0}")]
    Connect(String),
    /// No response arrived; the call may or may not have been executed.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The store rejected the call.
    #[error("store returned status {0}")]
    Rejected(StatusCode),
    /// The store has come back from a copy since the known state was read.
    #[error("the store came back from a copy")]
    Restored,
    /// The response could not be decoded.
    #[error("{0}")]
    Decode(#[from] hyssopstair_adapter::store::StoreDecodeError),
}

impl StoreError {
    /// Returns whether the error of a call that used a lease means that the lease is gone.
    pub fn ends_lease(&self) -> bool {
        matches!(self, Self::Restored | Self::Rejected(StatusCode::NOT_FOUND))
    }
}

/// A successful response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// The body.
    pub body: Bytes,
    /// Era of the store that sent it. A response that names none belongs to the newest
    /// known one.
    pub era: StoreEra,
}

/// A connection to the store, opened by the first call that needs it. A call that gets
/// no response closes the connection, which cannot be used for another call; the next
/// call opens a new one.
#[derive(Debug)]
pub struct StoreConnection {
    address: SocketAddrV4,
    eras: StoreEras,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl StoreConnection {
    /// Creates a connection without opening it.
    pub fn new(address: SocketAddrV4, eras: StoreEras) -> Self {
        Self {
            address,
            eras,
            sender: None,
        }
    }

    /// Sends a request and returns the response. `hold_time` is the time
    /// for which the request allows the store to hold back the response; the call
    /// times out [`RESPONSE_TIMEOUT`] later.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the call times out, or the status of
    /// the response is not a success.
    pub async fn call(
        &mut self,
        request: StoreRequest,
        hold_time: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect().await?,
        };
        let exchange = send_request(&mut sender, self.build_request(request));
        let (status, era, body) = match timeout(hold_time + RESPONSE_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(|error| StoreError::NoResponse(error.to_string()))?,
            Err(_) => return Err(StoreError::NoResponse("timed out".to_owned())),
        };
        self.sender = Some(sender);
        if let Some(era) = era {
            self.eras.record(era);
        }
        let era = era.unwrap_or_else(|| self.eras.newest());
        if status.is_success() {
            Ok(StoreResponse { body, era })
        } else {
            Err(StoreError::Rejected(status))
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| StoreError::Connect("timed out".to_owned()))?
            .map_err(|error| StoreError::Connect(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| StoreError::Connect(error.to_string()))?;
        // An error is ignored here, because the next call finds the connection closed.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn build_request(&self, request: StoreRequest) -> Request<Full<Bytes>> {
        let mut http_request = Request::new(Full::from(request.body));
        *http_request.method_mut() = match request.method {
            "POST" => http::Method::POST,
            "DELETE" => http::Method::DELETE,
            _ => http::Method::GET,
        };
        if let Ok(uri) = request.target.parse() {
            *http_request.uri_mut() = uri;
        }
        let headers = http_request.headers_mut();
        if let Ok(host) = self.address.to_string().parse() {
            headers.insert(http::header::HOST, host);
        }
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        http_request
    }
}

async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Option<StoreEra>, Bytes), hyper::Error> {
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let era = response
        .headers()
        .get(ERA_HEADER)
        .and_then(|value| decode_era(value.as_bytes()));
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, era, body))
}
