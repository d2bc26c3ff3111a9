//! A stand-in for the platform's key-value service. It implements the etcd v3 API in JSON
//! and keeps the data in memory. Faults can be set by HTTP.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::middleware::map_response_with_state;
use axum::response::Response;
use axum::routing::post;
use hyssopstair_platform::protocol::Compare;
use hyssopstair_platform::protocol::ERA_HEADER;
use hyssopstair_platform::protocol::KeyValue;
use hyssopstair_platform::protocol::PutRequest;
use hyssopstair_platform::protocol::RangeRequest;
use hyssopstair_platform::protocol::RangeResponse;
use hyssopstair_platform::protocol::ResponseHeader;
use hyssopstair_platform::protocol::TxnRequest;
use hyssopstair_platform::protocol::TxnResponse;
use hyssopstair_platform::protocol::decode_bytes;
use hyssopstair_platform::protocol::encode_bytes;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Faults of the key-value service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether every call is rejected.
    pub stopped: bool,
    /// Delay of each response, in milliseconds.
    pub delay_millis: u64,
    /// Number of upcoming writes that take effect but whose response has status 504.
    pub lost_answers: u32,
}

/// Numbers of calls that were executed since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Number of calls that read.
    pub reads: u64,
    /// Number of calls that write.
    pub writes: u64,
}

#[derive(Debug, Clone)]
struct StoredItem {
    key: Vec<u8>,
    value: Vec<u8>,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    /// Sorted by key.
    items: Vec<StoredItem>,
    revision: u64,
    /// The items and the revision of the last copy.
    copy: Option<(Vec<StoredItem>, u64)>,
    /// Number of times that the service has come back from a copy.
    era: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

/// A key-value service in memory.
#[derive(Debug, Clone, Default)]
pub struct PlatformStore {
    state: Arc<Mutex<StoreState>>,
}

impl PlatformStore {
    /// Returns the router that serves the key-value API, the faults and the counts.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/v3/kv/range", post(read_range))
            .route("/v3/kv/txn", post(execute_transaction))
            .route("/faults", post(set_faults))
            .route("/copy", post(copy_items))
            .route("/restore", post(restore_copy))
            .route("/counts", axum::routing::get(get_counts))
            .with_state(self.clone())
            .layer(map_response_with_state(self.clone(), add_era))
    }

    /// Delays a call, and rejects it if the service is stopped.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let faults = self.state.lock().faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_millis)).await;
        if faults.stopped {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl StoreState {
    fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision.to_string(),
        }
    }

    fn find_item(&self, key: &[u8]) -> Result<usize, usize> {
        self.items
            .binary_search_by(|item| item.key.as_slice().cmp(key))
    }

    /// Returns whether the condition of a transaction is met.
    fn is_met(&self, compare: &Compare) -> bool {
        let found = self.find_item(&decode_bytes(&compare.key)).ok();
        let item = found.map(|index| &self.items[index]);
        match compare.target.as_str() {
            "MOD" => {
                let revision = item.map_or(0, |item| item.revision);
                compare.mod_revision == revision.to_string()
            }
            "VALUE" => match (item, &compare.value) {
                (Some(item), Some(expected)) => item.value == decode_bytes(expected),
                _ => false,
            },
            _ => false,
        }
    }

    fn put_item(&mut self, request: &PutRequest) {
        let key = decode_bytes(&request.key);
        let item = StoredItem {
            value: decode_bytes(&request.value),
            revision: self.revision,
            key,
        };
        match self.find_item(&item.key) {
            Ok(index) => self.items[index] = item,
            Err(index) => self.items.insert(index, item),
        }
    }

    /// Returns whether the response to a write must be lost, and decrements the number of
    /// responses to lose.
    fn take_lost_response(&mut self) -> bool {
        if self.faults.lost_answers == 0 {
            return false;
        }
        self.faults.lost_answers -= 1;
        true
    }
}

async fn read_range(
    State(store): State<PlatformStore>,
    Json(request): Json<RangeRequest>,
) -> Result<Json<RangeResponse>, StatusCode> {
    store.apply_faults().await?;
    let mut state = store.state.lock();
    state.counts.reads += 1;
    let start = decode_bytes(&request.key);
    let end = request.range_end.as_deref().map(decode_bytes);
    let kvs = state
        .items
        .iter()
        .filter(|item| match &end {
            Some(end) => item.key >= start && item.key < *end,
            None => item.key == start,
        })
        .map(|item| KeyValue {
            key: encode_bytes(&item.key),
            value: encode_bytes(&item.value),
            mod_revision: item.revision.to_string(),
            lease: String::new(),
        })
        .collect();
    Ok(Json(RangeResponse {
        header: state.header(),
        kvs,
    }))
}

async fn execute_transaction(
    State(store): State<PlatformStore>,
    Json(request): Json<TxnRequest>,
) -> Result<Json<TxnResponse>, StatusCode> {
    store.apply_faults().await?;
    let mut state = store.state.lock();
    state.counts.writes += 1;
    let succeeded = request.compare.iter().all(|compare| state.is_met(compare));
    let operations = if succeeded {
        &request.success
    } else {
        &request.failure
    };
    if operations.iter().any(|item| item.request_put.is_some()) {
        state.revision += 1;
    }
    for put in operations
        .iter()
        .filter_map(|item| item.request_put.as_ref())
    {
        state.put_item(put);
    }
    if succeeded && state.take_lost_response() {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(TxnResponse {
        header: state.header(),
        succeeded,
    }))
}

async fn set_faults(State(store): State<PlatformStore>, Json(faults): Json<PlatformFaults>) {
    store.state.lock().faults = faults;
}

/// Copies the items, so that the service can come back from the copy.
async fn copy_items(State(store): State<PlatformStore>) {
    let mut state = store.state.lock();
    let copy = (state.items.clone(), state.revision);
    state.copy = Some(copy);
}

/// Brings the service back from the last copy, in the next era. What was written since is
/// gone, and its revisions are given out again.
async fn restore_copy(State(store): State<PlatformStore>) -> StatusCode {
    let mut state = store.state.lock();
    let Some((items, revision)) = state.copy.clone() else {
        return StatusCode::CONFLICT;
    };
    state.items = items;
    state.revision = revision;
    state.era += 1;
    StatusCode::OK
}

/// Adds the header that names the era.
async fn add_era(State(store): State<PlatformStore>, mut response: Response) -> Response {
    let era = HeaderValue::from(store.state.lock().era);
    response.headers_mut().insert(ERA_HEADER, era);
    response
}

async fn get_counts(State(store): State<PlatformStore>) -> Json<PlatformCounts> {
    Json(store.state.lock().counts)
}
