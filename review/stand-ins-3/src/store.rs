//! A stand-in for the platform's store, as far as the daemons use it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_request;
use crate::http::write_response;
use crate::http::Request;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    lease: u64,
    items: BTreeMap<String, Item>,
    /// Leases with their time to live and their end.
    leases: BTreeMap<u64, (u64, Instant)>,
    /// Revision, key and item (none: removed).
    history: Vec<(u64, String, Option<Item>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn serve(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("store address");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let mut stream = stream;
                    let mut buffer = Vec::new();
                    let _ = stream.set_nodelay(true);
                    while let Some(request) = read_request(&mut stream, &mut buffer) {
                        std::thread::sleep(Duration::from_millis(4));
                        let (status, body) = store.answer(&request);
                        if !write_response(&mut stream, status, &body) {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|part| part.split_once('=').filter(|(key, _)| *key == name))
                .map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
        };
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().unwrap();
        state.expire();
        if path == "/kv-key" {
            let key = parameter("key").unwrap_or_default();
            return match state.items.get(&key) {
                Some(item) => {
                    let fields = describe(&key, item);
                    (
                        200,
                        format!("{{{fields},\"storeRevision\":{}}}", state.revision),
                    )
                }
                None => (404, "{}".to_owned()),
            };
        }
        if path == "/kv-range" {
            let prefix = parameter("prefix").unwrap_or_default();
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix))
                .map(|(key, item)| format!("{{{}}}", describe(key, item)))
                .collect();
            let revision = state.revision;
            let items = items.join(",");
            return (
                200,
                format!("{{\"items\":[{items}],\"hasMore\":false,\"storeRevision\":{revision}}}"),
            );
        }
        if path == "/kv-watch" {
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
                    .map(|(revision, key, item)| match item {
                        Some(item) => format!("{{{}}}", describe(key, item)),
                        None => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"
                        ),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, revision) = (events.join(","), state.revision);
                    return (
                        200,
                        format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                    );
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if path == "/kv-lease" {
            let ttl = number_after(&body, "\"ttlMs\":")
                .unwrap_or(1_000)
                .max(1_000);
            state.lease += 1;
            let (id, end) = (state.lease, Instant::now() + Duration::from_millis(ttl));
            state.leases.insert(id, (ttl, end));
            return (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"));
        }
        if let Some(id) = path.strip_prefix("/kv-keep/") {
            let id: u64 = id.parse().unwrap_or(0);
            return match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + Duration::from_millis(*ttl);
                    (200, format!("{{\"ttlMs\":{ttl}}}"))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if path == "/kv-txn" && request.method == "POST" {
            // The daemons write without a condition, and remove nothing.
            let puts: Vec<(String, String, u64)> = body
                .split("{\"key\":\"")
                .skip(1)
                .filter_map(|part| {
                    let (key, rest) = part.split_once('"')?;
                    let lease = number_after(rest, "\"lease\":").unwrap_or(0);
                    let (_, rest) = rest.split_once("\"value\":\"")?;
                    let (value, _) = rest.split_once('"')?;
                    Some((key.to_owned(), value.to_owned(), lease))
                })
                .collect();
            if puts
                .iter()
                .any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease))
            {
                return (404, "{}".to_owned());
            }
            state.revision += 1;
            for (key, value, lease) in puts {
                state.put(&key, value, lease);
            }
            changed.notify_all();
            return (200, format!("{{\"revision\":{}}}", state.revision));
        }
        (404, "{}".to_owned())
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.items.remove(&key);
                self.history.push((self.revision, key, None));
            }
        }
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}",
        item.value, item.revision, item.created, item.lease
    )
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(name)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, at| {
            word << 8 | u32::from(three.get(at).copied().unwrap_or(0))
        });
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= three.len() { digit } else { '=' });
        }
    }
    text
}
