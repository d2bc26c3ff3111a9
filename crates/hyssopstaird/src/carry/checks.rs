//! Checks whether the backend server beside a host can be reached.

use std::net::SocketAddrV4;
use std::time::Duration;

use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::ServerCheck;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a check; the server runs on the same instance.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks the server once, either its health at a path or only whether it accepts
/// connections. Returns [`CheckResult::NoResponse`] if the check fails for any
/// reason other than a refused connection, or times out.
pub async fn check_server(server: SocketAddrV4, check: ServerCheck, path: &str) -> CheckResult {
    match timeout(CHECK_TIMEOUT, run_check(server, check, path)).await {
        Ok(result) => result,
        Err(_) => CheckResult::NoResponse,
    }
}

async fn run_check(server: SocketAddrV4, check: ServerCheck, path: &str) -> CheckResult {
    let stream = match TcpStream::connect(server).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return CheckResult::Refused;
        }
        Err(_) => return CheckResult::NoResponse,
    };
    if check == ServerCheck::Connect {
        return CheckResult::Connected;
    }
    request_health(stream, server, path)
        .await
        .unwrap_or(CheckResult::NoResponse)
}

async fn request_health(
    stream: TcpStream,
    server: SocketAddrV4,
    path: &str,
) -> Option<CheckResult> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = http::Request::builder()
        .uri(path)
        .header(http::header::HOST, server.to_string())
        .body(Empty::<bytes::Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    if response.status().is_success() {
        Some(CheckResult::Healthy)
    } else {
        Some(CheckResult::Unhealthy)
    }
}
