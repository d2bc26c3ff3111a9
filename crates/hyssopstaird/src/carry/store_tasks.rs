//! Background tasks that use the platform's store.
//!
//! Balancers watch the configuration (see
//! [`configuration_watch`](crate::carry::configuration_watch)), register themselves and save
//! the open flows of hosts. Hosts read from the store only what they have not received from
//! a peer.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_adapter::store;
use hyssopstair_adapter::store::StoreItem;
use hyssopstair_adapter::store::StoreItems;
use hyssopstair_flows::balancer::SaveRequest;
use hyssopstair_flows::saved_flows::SavedFlowList;
use hyssopstair_flows::saved_flows::combine_parts;
use hyssopstair_flows::watch_schedule::MIN_RETRY_DELAY;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::carry::command::CarryCommand;
use crate::carry::command::ProcessStatus;
use crate::carry::store::StoreConnection;
use crate::carry::store::StoreError;
use crate::carry::store_eras::StoreEras;
use crate::carry::store_lease::StoreLease;

/// Time to live of a balancer's registration that is not renewed.
const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// Interval between renewals: a third of the time to live, so that two renewals may
/// fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which lists of open flows are written under the same lease.
const SAVED_FLOWS_LEASE_PERIOD: Duration = Duration::from_secs(60);

/// Time to live of the lists of open flows: no flow of the users is older than 60 s, and the
/// last list is written at the end of [`SAVED_FLOWS_LEASE_PERIOD`].
const SAVED_FLOWS_TTL: Duration = Duration::from_secs(120);

/// Time after the start of a host for which it tries to read the flows that its former
/// process has saved. Later, callers have found out by themselves.
const FORMER_FLOWS_PERIOD: Duration = Duration::from_secs(20);

/// Interval at which a host checks for state that its peers have not sent, and reads it
/// from the store.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// A background task, with its access to the event loop and the store.
#[derive(Debug, Clone)]
pub struct StoreTask {
    /// Address of the store.
    pub store_address: SocketAddrV4,
    /// IP address of the process.
    pub address: Ipv4Addr,
    /// Queue of commands for the event loop.
    pub command_sender: mpsc::Sender<CarryCommand>,
    /// Status published by the event loop.
    pub status: ProcessStatus,
    /// Eras of the store, shared by all tasks.
    pub eras: StoreEras,
    /// Whether operators may empty availability zones.
    pub reads_evacuations: bool,
}

impl StoreTask {
    pub(super) fn connect(&self) -> StoreConnection {
        StoreConnection::new(self.store_address, self.eras.clone())
    }

    /// Keeps a balancer registered in the store, and discovers the other balancers
    /// whenever it registers anew.
    pub async fn maintain_registration(self) {
        let mut connection = self.connect();
        let mut lease: Option<StoreLease> = None;
        loop {
            let result = match lease {
                None => self.register(&mut connection).await,
                Some(lease) => lease.renew(&mut connection).await.map(|()| lease),
            };
            match result {
                Ok(current_lease) => {
                    lease = Some(current_lease);
                    let new_era = self.eras.wait_for_newer(current_lease.era());
                    if timeout(RENEW_INTERVAL, new_era).await.is_ok() {
                        lease = None;
                    }
                }
                Err(error) if error.ends_lease() && lease.is_some() => lease = None,
                Err(_) => sleep(self.status.retry_delay() * 2).await,
            }
        }
    }

    /// Reads the balancers from the store as long as none is reachable, and the routes as long
    /// as no peer has sent them to the host. Balancers that were lost stay known for a while
    /// after others have taken their places.
    pub async fn poll_missing_state(self) {
        let mut connection = self.connect();
        if self.list_balancers(&mut connection).await.is_err() {
            sleep(MIN_RETRY_DELAY).await;
        }
        loop {
            sleep(HOST_POLL_INTERVAL).await;
            if self.status.reachable_balancer_count() == 0 {
                // Errors are ignored, because the balancers report an outage of the store.
                let _ = self.list_balancers(&mut connection).await;
            }
            if self.status.routes_version() == 0 {
                // The emptied zones come first, so that they are known before the routes.
                if self.read_evacuation(&mut connection).await.is_ok() {
                    let _ = self.read_configuration(&mut connection).await;
                }
            }
        }
    }

    /// Saves the lists of open flows that hosts have sent to a balancer, and confirms them.
    pub async fn save_flow_lists(self, mut save_receiver: mpsc::Receiver<Vec<SaveRequest>>) {
        let mut connection = self.connect();
        let mut lease = None;
        while let Some(requests) = save_receiver.recv().await {
            let mut saved = self
                .put_flow_lists(&mut connection, &mut lease, &requests)
                .await;
            if matches!(saved, Err(StoreError::Restored)) {
                saved = self
                    .put_flow_lists(&mut connection, &mut lease, &requests)
                    .await;
            }
            match saved {
                Ok(()) => {
                    self.send_command(CarryCommand::ConfirmSaves(requests))
                        .await
                }
                Err(error) => {
                    // The hosts send their lists again, to another balancer.
                    lease = None;
                    self.report_saved_flows(&error.to_string()).await;
                }
            }
        }
    }

    /// Writes lists of open flows under a lease that was granted a short time ago, so that
    /// the lists of hosts that are gone expire.
    async fn put_flow_lists(
        &self,
        connection: &mut StoreConnection,
        lease: &mut Option<StoreLease>,
        requests: &[SaveRequest],
    ) -> Result<(), StoreError> {
        let now = Instant::now();
        let usable_lease = lease.filter(|lease| {
            lease.era() == self.eras.newest() && lease.age(now) < SAVED_FLOWS_LEASE_PERIOD
        });
        let current_lease = match usable_lease {
            Some(lease) => lease,
            None => StoreLease::grant(connection, SAVED_FLOWS_TTL, now).await?,
        };
        *lease = Some(current_lease);
        let keys: Vec<String> = requests
            .iter()
            .map(|request| store::saved_flows_key(request.host, request.part))
            .collect();
        let entries: Vec<(&str, &[u8])> = keys
            .iter()
            .zip(requests)
            .map(|(key, request)| (key.as_str(), request.encoded_part.as_slice()))
            .collect();
        current_lease.put(connection, &entries).await
    }

    /// Reads the flows that the former process of the host has saved, and passes them to
    /// the event loop. Tries for [`FORMER_FLOWS_PERIOD`] until the store responds.
    pub async fn read_former_flows(self) {
        let mut connection = self.connect();
        let prefix = store::saved_flows_prefix(self.address);
        let read = async {
            loop {
                let request = store::list_prefix(&prefix, None);
                match connection.call(request, Duration::ZERO).await {
                    Ok(response) => break store::decode_items(&response.body),
                    Err(_) => sleep(MIN_RETRY_DELAY).await,
                }
            }
        };
        let items = match timeout(FORMER_FLOWS_PERIOD, read).await {
            Ok(Ok(items)) => items,
            Ok(Err(error)) => return self.report_saved_flows(&error.to_string()).await,
            Err(_) => {
                let error = "gave up reading the former flows";
                return self.report_saved_flows(error).await;
            }
        };
        self.report_skipped_items(&items).await;
        let mut parts = Vec::new();
        for item in items
            .items
            .iter()
            .filter(|item| item.key.starts_with(&prefix))
        {
            match SavedFlowList::decode(item.bytes().unwrap_or_default()) {
                Ok(part) => parts.push(part),
                Err(error) => {
                    let error = format!("rejected the former flows at {}: {error:?}", item.key);
                    self.report_saved_flows(&error).await;
                }
            }
        }
        if let Some(list) = combine_parts(parts) {
            self.send_command(CarryCommand::FormerFlows(list)).await;
        }
    }

    /// Reports that saved flows could not be read or written. Serving goes on without them.
    async fn report_saved_flows(&self, error: &str) {
        self.send_command(CarryCommand::DependencyChanged {
            name: "saved flows",
            error: Some(error.to_owned()),
        })
        .await;
    }

    /// Registers a balancer under a new lease, and returns the lease.
    async fn register(&self, connection: &mut StoreConnection) -> Result<StoreLease, StoreError> {
        let _ = self.list_balancers(connection).await;
        let lease = StoreLease::grant(connection, REGISTRATION_TTL, Instant::now()).await?;
        let key = format!("{}{}", store::BALANCER_PREFIX, self.address);
        let value = self.address.to_string();
        lease.put(connection, &[(&key, value.as_bytes())]).await?;
        // Balancers that started at the same time have registered by now.
        if let Ok(items) = self.list_balancers(connection).await {
            self.report_skipped_items(&items).await;
        }
        Ok(lease)
    }

    /// Reads the registered balancers and adds them as contacts. Returns what was read.
    async fn list_balancers(
        &self,
        connection: &mut StoreConnection,
    ) -> Result<StoreItems, StoreError> {
        let response = connection
            .call(
                store::list_prefix(store::BALANCER_PREFIX, None),
                Duration::ZERO,
            )
            .await?;
        let items = store::decode_items(&response.body)?;
        let contacts: Vec<Ipv4Addr> = items.items.iter().filter_map(decode_contact).collect();
        self.send_command(CarryCommand::AddContacts(contacts)).await;
        Ok(items)
    }

    /// Reports items of the store that were left out because they cannot be decoded.
    pub(super) async fn report_skipped_items(&self, items: &StoreItems) {
        let skipped_count = items.skipped_count;
        if skipped_count > 0 {
            self.send_command(CarryCommand::DependencyChanged {
                name: "store",
                error: Some(format!(
                    "failed to decode {skipped_count} items; skipped them"
                )),
            })
            .await;
        }
    }

    /// Sends a command to the event loop.
    pub(super) async fn send_command(&self, command: CarryCommand) {
        // Sending fails only when the event loop has ended, and with it the process.
        let _ = self.command_sender.send(command).await;
    }
}

/// Returns the address of the balancer that has registered with an item, or `None` if the item
/// is of another writer: a balancer names the same address in key and value.
fn decode_contact(item: &StoreItem) -> Option<Ipv4Addr> {
    let address = std::str::from_utf8(item.bytes()?).ok()?;
    let is_own = item.key.strip_prefix(store::BALANCER_PREFIX) == Some(address);
    is_own.then(|| address.parse().ok()).flatten()
}
