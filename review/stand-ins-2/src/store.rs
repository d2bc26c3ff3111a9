//! A stand-in for the platform's store: items, revisions, leases and watches, as PROTOCOL.md
//! describes them. Values are kept as the base64 text in which they travel.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::util::{encode_base64, read_request, write_response, HttpRequest, Json};

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
    last_lease: u64,
    items: BTreeMap<String, Item>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Changes, oldest first; `None` for a removed key.
    history: Vec<(u64, String, Option<Item>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    cell: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
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

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
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
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.remove(&key);
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

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

impl Store {
    /// Serves the store at an address.
    pub fn start(&self, address: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_request(&mut reader) {
                        std::thread::sleep(Duration::from_millis(4));
                        let (status, body) = store.answer(&request);
                        if !write_response(&mut writer, status, "Store-Era: 1\r\n", &body) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Writes a key, as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.cell.0.lock().unwrap();
        state.revision += 1;
        state.put(key, encode_base64(value.as_bytes()), 0);
        self.cell.1.notify_all();
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if path == "/kv-watch" {
            return self.watch(query);
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.cell.0.lock().unwrap();
        state.expire();
        let reply = match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = parameter(query, "key");
                match state.items.get(key) {
                    Some(item) => (
                        200,
                        format!("{{{},\"storeRevision\":{}}}", describe(key, item), state.revision),
                    ),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| format!("{{{}}}", describe(key, item)))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("POST", "/kv-txn") => transact(&mut state, &body),
            ("POST", "/kv-lease") => {
                state.last_lease += 1;
                let ttl = body.get("ttlMs").number().max(1_000);
                let id = state.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            _ => match path.strip_prefix("/kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
                Some(id) if state.leases.contains_key(&id) => {
                    let ttl = state.leases[&id].0;
                    state.leases.insert(id, (ttl, Instant::now() + ttl));
                    (200, format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()))
                }
                _ => (404, "{}".to_owned()),
            },
        };
        drop(state);
        self.cell.1.notify_all();
        reply
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.cell.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", describe(key, item)),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self
                .cell
                .1
                .wait_timeout(state, left.min(Duration::from_millis(200)))
                .unwrap()
                .0;
        }
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let conditions = body.get("expectedRev").list();
    let is_met = |row: &Json| revision_of(state, row.get("key").text()) == row.get("revision").number();
    if !conditions.iter().all(is_met) {
        return (412, "{\"items\":[]}".to_owned());
    }
    let puts = body.get("puts").list();
    let has_lease = |put: &Json| {
        let lease = put.get("lease").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    state.revision += 1;
    for put in puts {
        let key = put.get("key").text().to_owned();
        state.put(&key, put.get("value").text().to_owned(), put.get("lease").number());
    }
    for key in body.get("remove").list() {
        state.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}
