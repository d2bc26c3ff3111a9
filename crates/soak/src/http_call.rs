//! A minimal HTTP client that sends single requests with a timeout.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends a request and returns the status and the body of the response, or `None` if the
/// request fails or takes longer than `time_limit`.
pub async fn send_http_request(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: String,
    time_limit: Duration,
) -> Option<(u16, Bytes)> {
    timeout(time_limit, exchange_messages(address, method, path, body))
        .await
        .ok()?
}

async fn exchange_messages(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: String,
) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection_task = tokio::task::spawn_local(async move {
        // An error of the connection also fails the request.
        let _ = connection.await;
    });
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = sender.send_request(request).await.ok();
    let status_and_body = match response {
        Some(response) => {
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok();
            body.map(|body| (status, body.to_bytes()))
        }
        None => None,
    };
    connection_task.abort();
    status_and_body
}
