//! Checks whether the backend server beside a host can be reached.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_flows::host::CheckResult;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a check; the server runs on the same instance.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks once whether the server accepts connections. Returns [`CheckResult::NoResponse`] if the
/// check fails for any reason other than a refused connection, or times out.
pub async fn check_server(server: SocketAddrV4) -> CheckResult {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(server)).await {
        Ok(Ok(_)) => CheckResult::Connected,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CheckResult::Refused,
        Ok(Err(_)) | Err(_) => CheckResult::NoResponse,
    }
}
