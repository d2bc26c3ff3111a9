//! Minimal HTTP/1.1, for the store, the readiness probes and the heartbeats.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn content_length(head: &str) -> usize {
    head.lines()
        .find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse().ok())?
        })
        .unwrap_or(0)
}

/// Reads a message: its head as text and its body. `buffer` holds what was read beyond it.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        if let Some(head_end) = find_head_end(buffer) {
            let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
            let end = head_end + content_length(&head);
            if buffer.len() >= end {
                let body = buffer[head_end..end].to_vec();
                buffer.drain(..end);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer)?;
    let mut words = head.split_whitespace();
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        body,
    })
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Sends one request on a connection of its own, and returns the status.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = read_message(&mut stream, &mut Vec::new())?;
    head.split_whitespace().nth(1)?.parse().ok()
}
