//! A connection to the platform's key-value store.

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
use hyssopstair_adapter::store::StoreRequest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a connection; the store answers in 4 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer beyond the time that the call itself waits. A slow
/// store takes up to a hundred times as long as usual.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No connection; nothing was done.
    #[error("failed to connect: {0}")]
    Connect(String),
    /// The call may or may not have been executed.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The store refused the call.
    #[error("status {0}")]
    Refused(StatusCode),
    /// The answer is not in the form of one.
    #[error("{0}")]
    Format(#[from] hyssopstair_adapter::store::StoreFormatError),
}

/// A connection that is opened when it is needed. After a call without an answer
/// nothing more comes on it, so the next call opens another.
#[derive(Debug)]
pub struct StoreConnection {
    address: SocketAddrV4,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl StoreConnection {
    /// Creates a connection that is not open yet.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Makes a call that is answered within `wait` and [`ANSWER_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer, or one that refuses the call.
    pub async fn call(
        &mut self,
        request: StoreRequest,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect().await?,
        };
        let exchange = exchange(&mut sender, self.request(request));
        let (status, body) = match timeout(wait + ANSWER_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(|error| StoreError::NoAnswer(error.to_string()))?,
            Err(_) => return Err(StoreError::NoAnswer("timed out".to_owned())),
        };
        self.sender = Some(sender);
        if status.is_success() {
            Ok(body)
        } else {
            Err(StoreError::Refused(status))
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
        // How it ended shows at the next call.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn request(&self, request: StoreRequest) -> Request<Full<Bytes>> {
        let mut built = Request::new(Full::from(request.body));
        *built.method_mut() = match request.method {
            "POST" => http::Method::POST,
            "DELETE" => http::Method::DELETE,
            _ => http::Method::GET,
        };
        if let Ok(uri) = request.target.parse() {
            *built.uri_mut() = uri;
        }
        let headers = built.headers_mut();
        if let Ok(host) = self.address.to_string().parse() {
            headers.insert(http::header::HOST, host);
        }
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        built
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), hyper::Error> {
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, body))
}
