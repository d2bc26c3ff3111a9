//! Keeps a balancer's routes up to date with the configuration in the store.
//!
//! A balancer reads the configuration, and then watches for changes after the position of
//! the store at which it has read. If it cannot be sure that the history goes on from
//! there, it reads again: after a failed call, a discarded history, or the return of the
//! store from a copy.

use std::time::Duration;

use http::StatusCode;
use hyssopstair_adapter::configuration::decode_configuration;
use hyssopstair_adapter::store;
use hyssopstair_adapter::store::StoreItem;
use hyssopstair_flows::store_position::HistoryVerdict;
use hyssopstair_flows::store_position::StorePosition;
use tokio::time::sleep;

use crate::carry::command::CarryCommand;
use crate::carry::command::ConfigurationObservation;
use crate::carry::command::ConfigurationSource;
use crate::carry::store::StoreConnection;
use crate::carry::store::StoreError;
use crate::carry::store_tasks::RETRY_DELAY;
use crate::carry::store_tasks::StoreTask;

/// Delay between a change and the next watch, so that a burst of changes costs few
/// calls. A change has to be in force within three seconds.
const WATCH_DELAY: Duration = Duration::from_millis(250);

/// The result of a read or a watch of the configuration.
#[derive(Debug)]
struct ConfigurationNews {
    /// Position of the store from which the next watch starts.
    position: StorePosition,
    /// Whether a configuration was received.
    has_changed: bool,
}

impl StoreTask {
    /// Keeps the routes up to date until the process ends.
    pub async fn watch_configuration(self) {
        let mut connection = self.connect();
        let mut known_position: Option<StorePosition> = None;
        let mut is_store_lost = false;
        let mut is_first_watch = true;
        loop {
            let news = self
                .wait_for_news(&mut connection, known_position, is_first_watch)
                .await;
            match news {
                Ok(news) => {
                    if is_store_lost {
                        self.report_store_status(None).await;
                    }
                    is_store_lost = false;
                    is_first_watch = news.has_changed;
                    if news.has_changed && known_position.is_some() {
                        sleep(WATCH_DELAY).await;
                    }
                    known_position = Some(news.position);
                }
                Err(StoreError::Restored) if known_position.is_some() => {
                    self.give_up_position(&mut known_position, &StoreError::Restored)
                        .await;
                }
                Err(error @ StoreError::Rejected(StatusCode::GONE)) => {
                    self.give_up_position(&mut known_position, &error).await;
                    sleep(WATCH_DELAY).await;
                }
                Err(StoreError::Rejected(StatusCode::NOT_FOUND)) => {
                    // The operators have not written a configuration yet.
                    sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    if !is_store_lost {
                        self.report_store_status(Some(error.to_string())).await;
                    }
                    is_store_lost = true;
                    // The store may come back from a copy, in which the known revision means
                    // another change.
                    self.give_up_position(&mut known_position, &error).await;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the configuration, or waits for a change if a position is known.
    async fn wait_for_news(
        &self,
        connection: &mut StoreConnection,
        known: Option<StorePosition>,
        is_first_watch: bool,
    ) -> Result<ConfigurationNews, StoreError> {
        let Some(known) = known else {
            let position = self.read_configuration(connection).await?;
            return match position.era < self.eras.newest() {
                true => Err(StoreError::Restored),
                false => Ok(ConfigurationNews {
                    position,
                    has_changed: true,
                }),
            };
        };
        let timeout = self.status.watch_schedule().next_timeout(is_first_watch);
        let news = tokio::select! {
            biased;
            news = self.wait_for_change(connection, known, timeout) => news?,
            // The watch may wait for long at a revision of the former history.
            () = self.eras.wait_for_newer(known.era) => return Err(StoreError::Restored),
        };
        match known.judge_response(news.position) {
            HistoryVerdict::Continued => Ok(news),
            HistoryVerdict::Restored | HistoryVerdict::Outdated => Err(StoreError::Restored),
        }
    }

    /// Gives up the known position, so that the configuration is read again.
    async fn give_up_position(
        &self,
        known_position: &mut Option<StorePosition>,
        error: &StoreError,
    ) {
        if let Some(position) = known_position.take() {
            let reason = error.to_string();
            self.report_configuration(ConfigurationObservation::PositionLost { position, reason })
                .await;
        }
    }

    /// Reads the configuration and applies it. Returns the position of the store, at
    /// which the next watch starts.
    pub(super) async fn read_configuration(
        &self,
        connection: &mut StoreConnection,
    ) -> Result<StorePosition, StoreError> {
        let response = connection
            .call(store::get_key(store::CONFIGURATION_KEY), Duration::ZERO)
            .await?;
        let (item, store_revision) = store::decode_item(&response.body)?;
        // The store's history may no longer contain the item's own revision.
        let position = StorePosition {
            era: response.era,
            revision: store_revision,
        };
        self.apply_configuration(item, ConfigurationSource::Read, position)
            .await;
        Ok(position)
    }

    /// Waits for a change after a position, and applies the newest configuration.
    /// Changes that were made before the position in another history are missing.
    async fn wait_for_change(
        &self,
        connection: &mut StoreConnection,
        known: StorePosition,
        timeout: Duration,
    ) -> Result<ConfigurationNews, StoreError> {
        let request = store::watch_prefix(store::CONFIGURATION_KEY, known.revision, timeout);
        let response = connection.call(request, timeout).await?;
        let items = store::decode_items(&response.body)?;
        let position = StorePosition {
            era: response.era,
            revision: items.store_revision,
        };
        // The prefix of a watch also matches keys that are longer.
        let newest_item = items
            .items
            .into_iter()
            .rfind(|item| item.key == store::CONFIGURATION_KEY);
        let has_changed = newest_item.is_some();
        if let Some(item) = newest_item {
            self.apply_configuration(item, ConfigurationSource::Watch, position)
                .await;
        }
        Ok(ConfigurationNews {
            position,
            has_changed,
        })
    }

    async fn apply_configuration(
        &self,
        item: StoreItem,
        source: ConfigurationSource,
        position: StorePosition,
    ) {
        let Some(value) = item.value else {
            return;
        };
        match decode_configuration(&value) {
            Ok((routes, skipped_route_count)) => {
                self.report_configuration(ConfigurationObservation::Received {
                    source,
                    version: routes.version(),
                    revision: item.revision,
                    position,
                })
                .await;
                if skipped_route_count > 0 {
                    let error =
                        format!("failed to decode {skipped_route_count} routes; skipped them");
                    self.report_store_status(Some(error)).await;
                }
                self.send_command(CarryCommand::SetRoutes(routes)).await;
            }
            Err(error) => self.report_store_status(Some(error.to_string())).await,
        }
    }

    async fn report_configuration(&self, observation: ConfigurationObservation) {
        self.send_command(CarryCommand::ConfigurationObserved(observation))
            .await;
    }

    /// Reports an error of the store or of the configuration in it; `None` reports
    /// that the store is available again.
    async fn report_store_status(&self, error: Option<String>) {
        self.send_command(CarryCommand::DependencyChanged {
            name: "store",
            error,
        })
        .await;
    }
}
