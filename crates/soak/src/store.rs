//! A stand-in for the store, with the configuration, leased items, watches and faults.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

/// Key of the configuration.
const CONFIGURATION_KEY: &str = "op/config";

/// Delay of each response.
const RESPONSE_DELAY: Duration = Duration::from_millis(2);

/// Delay of each response while the store is slow.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(400);

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// The store rejects all calls.
    Down,
    /// The store responds late.
    Slow,
    /// The store executes calls but does not respond.
    LosesResponses,
}

#[derive(Debug)]
struct StoreItem {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// Revision up to which the history is compacted.
    compacted_revision: u64,
    items: BTreeMap<String, StoreItem>,
    /// Expiry times of the leases.
    leases: BTreeMap<u64, Instant>,
    fault: StoreFault,
}

/// A store in memory.
#[derive(Debug, Clone, Default)]
pub struct SoakStore {
    state: Rc<RefCell<StoreState>>,
    change_notify: Rc<Notify>,
}

impl SoakStore {
    /// Starts to serve calls at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn start(&self, address: SocketAddrV4) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let store = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| store.clone().handle_request(request));
                    // The caller notices an error of the connection.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(())
    }

    /// Sets the fault and wakes all watches.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.borrow_mut().fault = fault;
        self.change_notify.notify_waiters();
    }

    /// Compacts the history, so that watches from earlier revisions fail.
    pub fn compact_history(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted_revision = state.revision;
    }

    /// Writes a configuration, as operators do.
    pub fn write_configuration(&self, configuration: &Value) {
        self.write_item(
            CONFIGURATION_KEY,
            STANDARD.encode(configuration.to_string()),
            0,
        );
    }

    /// Writes an item and returns its revision. A lease of 0 means that the item does not
    /// expire.
    fn write_item(&self, key: &str, value: String, lease: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let item = StoreItem {
            value,
            revision: state.revision,
            lease,
        };
        state.items.insert(key.to_owned(), item);
        self.change_notify.notify_waiters();
        state.revision
    }

    async fn handle_request(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let fault = self.state.borrow().fault;
        match fault {
            StoreFault::Down => return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
            StoreFault::Slow => sleep(SLOW_RESPONSE_DELAY).await,
            StoreFault::None | StoreFault::LosesResponses => sleep(RESPONSE_DELAY).await,
        }
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let (status, response_body) = self.execute_call(&path, &query, &body).await;
        if self.state.borrow().fault == StoreFault::LosesResponses {
            std::future::pending::<()>().await;
        }
        Ok(respond(status, &response_body))
    }

    async fn execute_call(&self, path: &str, query: &str, body: &Value) -> (StatusCode, Value) {
        self.remove_expired_items();
        match path {
            "/kv-key" => self.get_item(query_parameter(query, "key")),
            "/kv-range" => (
                StatusCode::OK,
                self.list_items(query_parameter(query, "prefix"), 0, "items"),
            ),
            "/kv-watch" => self.watch_items(query).await,
            "/kv-txn" => self.put_items(body),
            "/kv-lease" => {
                let mut state = self.state.borrow_mut();
                let lease = state.leases.len() as u64 + 1;
                let ttl_millis = body["ttlMs"].as_u64().unwrap_or(1_000);
                let expires_at = Instant::now() + Duration::from_millis(ttl_millis);
                state.leases.insert(lease, expires_at);
                (
                    StatusCode::OK,
                    json!({ "lease": lease, "ttlMs": ttl_millis }),
                )
            }
            _ => match path.strip_prefix("/kv-keep/").map(str::parse::<u64>) {
                Some(Ok(lease)) => self.renew_lease(lease),
                _ => (StatusCode::NOT_FOUND, json!({})),
            },
        }
    }

    fn get_item(&self, key: &str) -> (StatusCode, Value) {
        let state = self.state.borrow();
        match state.items.get(key) {
            Some(item) => {
                let mut found = item_json(key, item);
                found["storeRevision"] = json!(state.revision);
                (StatusCode::OK, found)
            }
            None => (StatusCode::NOT_FOUND, json!({})),
        }
    }

    /// Returns the items below a prefix that were written after `after_revision`, as the
    /// list `list_name` of a response.
    fn list_items(&self, prefix: &str, after_revision: u64, list_name: &str) -> Value {
        let state = self.state.borrow();
        let items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.revision > after_revision)
            .map(|(key, item)| item_json(key, item))
            .collect();
        json!({ list_name: items, "hasMore": false, "storeRevision": state.revision })
    }

    /// Returns the items that were written after the revision in the query. If there are
    /// none, waits for one up to the time in the query. Fails if the history after that
    /// revision is compacted.
    async fn watch_items(&self, query: &str) -> (StatusCode, Value) {
        let after_revision: u64 = query_parameter(query, "after").parse().unwrap_or(0);
        let wait_millis: u64 = query_parameter(query, "waitMs").parse().unwrap_or(0);
        let prefix = query_parameter(query, "prefix");
        let deadline = Instant::now() + Duration::from_millis(wait_millis);
        loop {
            if after_revision < self.state.borrow().compacted_revision {
                return (StatusCode::GONE, json!({}));
            }
            let found = self.list_items(prefix, after_revision, "events");
            let remaining = deadline.saturating_duration_since(Instant::now());
            let has_events = found["events"]
                .as_array()
                .is_some_and(|list| !list.is_empty());
            if has_events || remaining.is_zero() {
                return (StatusCode::OK, found);
            }
            // The loop checks whether the wait has timed out or items have changed.
            let _ = timeout(remaining, self.change_notify.notified()).await;
            if self.state.borrow().fault == StoreFault::Down {
                return (StatusCode::SERVICE_UNAVAILABLE, json!({}));
            }
        }
    }

    fn put_items(&self, body: &Value) -> (StatusCode, Value) {
        for item in body["puts"].as_array().into_iter().flatten() {
            let lease = item["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.state.borrow().leases.contains_key(&lease) {
                return (StatusCode::NOT_FOUND, json!({}));
            }
            let key = item["key"].as_str().unwrap_or_default();
            let value = item["value"].as_str().unwrap_or_default();
            self.write_item(key, value.to_owned(), lease);
        }
        let revision = self.state.borrow().revision;
        (StatusCode::OK, json!({ "revision": revision }))
    }

    fn renew_lease(&self, lease: u64) -> (StatusCode, Value) {
        match self.state.borrow_mut().leases.get_mut(&lease) {
            Some(expires_at) => {
                *expires_at = Instant::now() + Duration::from_secs(30);
                (StatusCode::OK, json!({ "lease": lease, "ttlMs": 30_000 }))
            }
            None => (StatusCode::NOT_FOUND, json!({})),
        }
    }

    /// Removes the items whose leases have expired.
    fn remove_expired_items(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let StoreState { leases, items, .. } = &mut *state;
        items.retain(|_, item| {
            item.lease == 0
                || leases
                    .get(&item.lease)
                    .is_some_and(|expires_at| *expires_at > now)
        });
    }
}

fn item_json(key: &str, item: &StoreItem) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "createRev": item.revision, "lease": item.lease,
    })
}

/// Returns the value of a parameter of a query; empty if it is missing.
fn query_parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

fn respond(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response
}
