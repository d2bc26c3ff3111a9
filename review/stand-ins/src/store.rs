//! A store as PROTOCOL.md describes it: items, leases, watches and transactions.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    /// Value in base64, revision of the last change, lease.
    items: BTreeMap<String, (String, u64, u64)>,
    leases: BTreeMap<u64, (Instant, u64)>,
    /// Revision, key, value; no value if the key was removed.
    history: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(&self, address: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                store.expire();
            }
        });
        Ok(())
    }

    /// Writes a value, as the operator does.
    pub fn write(&self, key: &str, text: &str) -> u64 {
        let Ok(mut state) = self.shared.0.lock() else {
            return 0;
        };
        let revision = put(&mut state, key, &encode_base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
        revision
    }

    fn expire(&self) {
        let Ok(mut state) = self.shared.0.lock() else {
            return;
        };
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.leases.remove(&id);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.2 == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                state.items.remove(&key);
                state.revision += 1;
                let revision = state.revision;
                state.history.push((revision, key, None));
            }
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let header = header.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = line.split(' ');
            let method = words.next().unwrap_or_default();
            let target = words.next().unwrap_or_default();
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(method, target, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| value.replace("%2F", "/").replace("%2f", "/"))
            })
        };
        let Ok(mut state) = self.shared.0.lock() else {
            return (503, String::new());
        };
        match (method, path) {
            ("GET", "/kv-key") => {
                let key = parameter("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some((value, revision, lease)) => (
                        200,
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                             \"createRev\":{revision},\"lease\":{lease},\"storeRevision\":{}}}",
                            state.revision
                        ),
                    ),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, (value, revision, lease))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                             \"createRev\":{revision},\"lease\":{lease}}}"
                        )
                    })
                    .collect();
                let items = items.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let after: u64 = parameter("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = parameter("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, value)| match value {
                            Some(value) => format!(
                                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision}}}"
                            ),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let events = events.join(",");
                        let revision = state.revision;
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                        );
                    }
                    state = match self.shared.1.wait_timeout(state, end - now) {
                        Ok((state, _)) => state,
                        Err(_) => return (503, String::new()),
                    };
                }
            }
            ("POST", "/kv-lease") => {
                let ttl = number(body, "ttlMs").unwrap_or(1_000).max(1_000);
                state.next_lease += 1;
                let id = state.next_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(id, (end, ttl));
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", "/kv-txn") => {
                // The project writes without conditions, and removes nothing.
                let mut puts = Vec::new();
                for part in body.split('{').skip(1) {
                    if let (Some(key), Some(value)) = (text(part, "key"), text(part, "value")) {
                        puts.push((key, value, number(part, "lease").unwrap_or(0)));
                    }
                }
                if puts
                    .iter()
                    .any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease))
                {
                    return (404, "{}".to_owned());
                }
                for (key, value, lease) in &puts {
                    put(&mut state, key, value, *lease);
                }
                self.shared.1.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn put(state: &mut State, key: &str, value: &str, lease: u64) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    state
        .items
        .insert(key.to_owned(), (value.to_owned(), revision, lease));
    state
        .history
        .push((revision, key.to_owned(), Some(value.to_owned())));
    revision
}

fn text(json: &str, field: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{field}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

fn number(json: &str, field: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{field}\":"))?.1;
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let sextet = bits >> (18 - 6 * index) & 63;
                text.push(ALPHABET[sextet as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
