//! Attempts to reach the server beside a host.

use std::net::SocketAddrV4;
use std::time::Duration;

use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::ServerCheck;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for the server, which runs on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Makes one attempt.
pub async fn check_server(server: SocketAddrV4, check: ServerCheck, path: &str) -> CheckResult {
    match timeout(CHECK_TIMEOUT, attempt(server, check, path)).await {
        Ok(result) => result,
        Err(_) => CheckResult::NoResponse,
    }
}

async fn attempt(server: SocketAddrV4, check: ServerCheck, path: &str) -> CheckResult {
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
    ask_health(stream, server, path)
        .await
        .unwrap_or(CheckResult::NoResponse)
}

async fn ask_health(stream: TcpStream, server: SocketAddrV4, path: &str) -> Option<CheckResult> {
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
