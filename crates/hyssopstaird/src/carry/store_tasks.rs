//! What a process does with the store: balancers watch the configuration and
//! announce themselves; hosts read there only what no peer has told them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use http::StatusCode;
use hyssopstair_adapter::configuration::decode_configuration;
use hyssopstair_adapter::store;
use hyssopstair_adapter::store::StoreItem;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::carry::command::CarryCommand;
use crate::carry::command::ProcessStatus;
use crate::carry::store::StoreConnection;
use crate::carry::store::StoreError;

/// Longest wait of one watch. A connection that has gone silent is noticed after
/// it; meanwhile versions come from peers.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// Pause after a change before the next watch, so that a run of changes costs
/// few calls. A change has three seconds to get into force.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a call that failed; the store comes back within seconds.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time for which an entry outlives a process that does not renew it.
const ENTRY_LEASE: Duration = Duration::from_secs(30);

/// Time between two renewals: a third of the lease, so that two may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Time that a host waits for peers before it asks the store.
const HOST_PATIENCE: Duration = Duration::from_millis(700);

/// How a task reaches the loop and the store.
#[derive(Debug, Clone)]
pub struct StoreTask {
    /// Address of the store.
    pub store: SocketAddrV4,
    /// The address of the process.
    pub address: Ipv4Addr,
    /// The loop.
    pub commands: mpsc::Sender<CarryCommand>,
    /// What the loop knows.
    pub status: ProcessStatus,
}

impl StoreTask {
    /// Keeps the routes as new as the store's.
    pub async fn watch_configuration(self) {
        let mut connection = StoreConnection::new(self.store);
        let mut known: Option<u64> = None;
        let mut is_lost = false;
        loop {
            let result = match known {
                None => self.read_configuration(&mut connection).await,
                Some(revision) => self.wait_for_change(&mut connection, revision).await,
            };
            match result {
                Ok(revision) => {
                    if is_lost {
                        self.report(None).await;
                    }
                    is_lost = false;
                    if known.is_some_and(|known| revision > known) {
                        sleep(WATCH_PAUSE).await;
                    }
                    known = Some(revision);
                }
                Err(StoreError::Refused(StatusCode::GONE)) => {
                    known = None;
                    sleep(WATCH_PAUSE).await;
                }
                Err(StoreError::Refused(StatusCode::NOT_FOUND)) => {
                    // The operators have not written a configuration yet.
                    sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    if !is_lost {
                        self.report(Some(error.to_string())).await;
                    }
                    is_lost = true;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Keeps an entry of the process in the store, and learns those of others.
    pub async fn announce(self) {
        let mut connection = StoreConnection::new(self.store);
        let mut lease: Option<u64> = None;
        loop {
            let result = match lease {
                None => self.register(&mut connection).await.map(Some),
                Some(lease) => renew(&mut connection, lease).await,
            };
            let pause = match result {
                Ok(Some(kept)) => {
                    lease = Some(kept);
                    RENEW_INTERVAL
                }
                Ok(None) => {
                    lease = None;
                    continue;
                }
                Err(_) => RETRY_PAUSE * 2,
            };
            sleep(pause).await;
        }
    }

    /// Reads balancers and routes as long as no peer has told them.
    pub async fn assist_host(self) {
        let mut connection = StoreConnection::new(self.store);
        if self.list_balancers(&mut connection).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
        loop {
            sleep(HOST_PATIENCE).await;
            if self.status.balancers() == 0 {
                // The store's outage is reported by the balancers.
                let _ = self.list_balancers(&mut connection).await;
            }
            if self.status.routes() == 0 {
                let _ = self.read_configuration(&mut connection).await;
            }
        }
    }

    async fn register(&self, connection: &mut StoreConnection) -> Result<u64, StoreError> {
        let _ = self.list_balancers(connection).await;
        let answer = connection
            .call(store::grant(ENTRY_LEASE), Duration::ZERO)
            .await?;
        let (lease, _) = store::read_lease(&answer)?;
        let key = format!("{}{}", store::BALANCER_PREFIX, self.address);
        let value = self.address.to_string();
        connection
            .call(store::put(&key, value.as_bytes(), lease), Duration::ZERO)
            .await?;
        // Those that started in the same moment have written theirs by now.
        let _ = self.list_balancers(connection).await;
        Ok(lease)
    }

    async fn list_balancers(&self, connection: &mut StoreConnection) -> Result<(), StoreError> {
        let answer = connection
            .call(store::list(store::BALANCER_PREFIX, None), Duration::ZERO)
            .await?;
        let items = store::read_items(&answer)?;
        let contacts: Vec<Ipv4Addr> = items.items.iter().filter_map(read_contact).collect();
        self.tell(CarryCommand::Contacts(contacts)).await;
        Ok(())
    }

    async fn read_configuration(
        &self,
        connection: &mut StoreConnection,
    ) -> Result<u64, StoreError> {
        let answer = connection
            .call(store::get(store::CONFIGURATION_KEY), Duration::ZERO)
            .await?;
        let (item, store_revision) = store::read_item(&answer)?;
        self.apply(item).await;
        // The history may begin after the item's own revision.
        Ok(store_revision)
    }

    async fn wait_for_change(
        &self,
        connection: &mut StoreConnection,
        revision: u64,
    ) -> Result<u64, StoreError> {
        let request = store::watch(store::CONFIGURATION_KEY, revision, WATCH_WAIT);
        let answer = connection.call(request, WATCH_WAIT).await?;
        let items = store::read_items(&answer)?;
        if let Some(item) = items.items.into_iter().next_back() {
            self.apply(item).await;
        }
        Ok(items.store_revision.max(revision))
    }

    async fn apply(&self, item: StoreItem) {
        let Some(value) = item.value else {
            return;
        };
        match decode_configuration(&value) {
            Ok((routes, left_out)) => {
                if left_out > 0 {
                    let error = format!("{left_out} routes cannot be read");
                    self.report(Some(error)).await;
                }
                self.tell(CarryCommand::Routes(routes)).await;
            }
            Err(error) => self.report(Some(error.to_string())).await,
        }
    }

    async fn report(&self, error: Option<String>) {
        self.tell(CarryCommand::Dependency {
            name: "store",
            error,
        })
        .await;
    }

    async fn tell(&self, command: CarryCommand) {
        // The loop ends only with the process.
        let _ = self.commands.send(command).await;
    }
}

/// Renews a lease; returns nothing when it has ended.
async fn renew(connection: &mut StoreConnection, lease: u64) -> Result<Option<u64>, StoreError> {
    match connection.call(store::renew(lease), Duration::ZERO).await {
        Ok(_) => Ok(Some(lease)),
        Err(StoreError::Refused(StatusCode::NOT_FOUND)) => Ok(None),
        Err(error) => Err(error),
    }
}

fn read_contact(item: &StoreItem) -> Option<Ipv4Addr> {
    let value = item.value.as_deref()?;
    std::str::from_utf8(value).ok()?.parse().ok()
}
