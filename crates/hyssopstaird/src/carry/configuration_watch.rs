//! Keeps a balancer's routes and the emptied zones up to date with what operators write to
//! the store.
//!
//! A balancer reads the emptied zones and the configuration, and then watches for changes after the position of
//! the store at which it has read. If it cannot be sure that the history goes on from
//! there, it reads again: after a failed call, a discarded history, or the return of the
//! store from a copy.

use std::time::Duration;

use http::StatusCode;
use hyssopstair_adapter::configuration::decode_configuration;
use hyssopstair_adapter::store;
use hyssopstair_adapter::store::StoreItem;
use hyssopstair_adapter::store::StoreValue;
use hyssopstair_flows::evacuation::EvacuatedZones;
use hyssopstair_flows::store_position::HistoryVerdict;
use hyssopstair_flows::store_position::StorePosition;
use hyssopstair_flows::watch_schedule::MIN_RETRY_DELAY;
use tokio::time::sleep;

use crate::carry::command::CarryCommand;
use crate::carry::command::ConfigurationObservation;
use crate::carry::command::ConfigurationSource;
use crate::carry::store::StoreConnection;
use crate::carry::store::StoreError;
use crate::carry::store_tasks::StoreTask;

/// Delay between a change and the next watch, so that a burst of changes costs few
/// calls. A change has to be in force within three seconds.
const WATCH_DELAY: Duration = Duration::from_millis(250);

/// What is known of the store, from which the next watch starts.
#[derive(Debug, Clone)]
struct KnownState {
    /// Position of the store.
    position: StorePosition,
    /// The emptied zones, at that position or a later one.
    evacuated: EvacuatedZones,
}

/// The result of a read or a watch of the configuration.
#[derive(Debug)]
struct ConfigurationNews {
    state: KnownState,
    /// Whether a configuration or a change of the emptied zones was received.
    has_changed: bool,
}

impl StoreTask {
    /// Keeps the routes up to date until the process ends.
    pub async fn watch_configuration(self) {
        let mut connection = self.connect();
        let mut known: Option<KnownState> = None;
        let mut is_store_lost = false;
        let mut is_first_watch = true;
        loop {
            let news = self
                .wait_for_news(&mut connection, known.as_ref(), is_first_watch)
                .await;
            match news {
                Ok(news) => {
                    if is_store_lost {
                        self.report_store_status(None).await;
                    }
                    is_store_lost = false;
                    is_first_watch = news.has_changed;
                    if news.has_changed && known.is_some() {
                        sleep(WATCH_DELAY).await;
                    }
                    known = Some(news.state);
                }
                Err(StoreError::Restored) if known.is_some() => {
                    self.give_up_position(&mut known, &StoreError::Restored)
                        .await;
                }
                Err(error @ StoreError::Rejected(StatusCode::GONE)) => {
                    self.give_up_position(&mut known, &error).await;
                    sleep(WATCH_DELAY).await;
                }
                Err(StoreError::Rejected(StatusCode::NOT_FOUND)) => {
                    // The operators have not written a configuration yet.
                    sleep(MIN_RETRY_DELAY).await;
                }
                Err(error) => {
                    if !is_store_lost {
                        self.report_store_status(Some(error.to_string())).await;
                    }
                    is_store_lost = true;
                    // The store may come back from a copy, in which the known revision means
                    // another change.
                    self.give_up_position(&mut known, &error).await;
                    sleep(self.status.retry_delay()).await;
                }
            }
        }
    }

    /// Reads the configuration, or waits for a change if a position is known.
    async fn wait_for_news(
        &self,
        connection: &mut StoreConnection,
        known: Option<&KnownState>,
        is_first_watch: bool,
    ) -> Result<ConfigurationNews, StoreError> {
        let Some(known) = known else {
            let evacuated = self.read_evacuation(connection).await?;
            let position = self.read_configuration(connection).await?;
            return match position.era < self.eras.newest() {
                true => Err(StoreError::Restored),
                false => Ok(ConfigurationNews {
                    state: self.start_watch(position, evacuated),
                    has_changed: true,
                }),
            };
        };
        let timeout = self.status.watch_schedule().next_timeout(is_first_watch);
        let news = tokio::select! {
            biased;
            news = self.wait_for_change(connection, known, timeout) => news?,
            // The watch may wait for long at a revision of the former history.
            () = self.eras.wait_for_newer(known.position.era) => return Err(StoreError::Restored),
        };
        match known.position.judge_response(news.state.position) {
            HistoryVerdict::Continued => {
                if self.reads_evacuations {
                    let evacuated = news.state.evacuated.clone();
                    self.send_command(CarryCommand::SetEvacuation(evacuated))
                        .await;
                }
                Ok(news)
            }
            HistoryVerdict::Restored | HistoryVerdict::Outdated => Err(StoreError::Restored),
        }
    }

    /// Gives up the known position, so that the configuration is read again.
    async fn give_up_position(&self, known: &mut Option<KnownState>, error: &StoreError) {
        if let Some(KnownState { position, .. }) = known.take() {
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

    /// Reads the emptied zones and applies them. Returns them with the position of the store
    /// at which they are complete, or `None` if operators cannot empty zones here.
    pub(super) async fn read_evacuation(
        &self,
        connection: &mut StoreConnection,
    ) -> Result<Option<EvacuatedZones>, StoreError> {
        if !self.reads_evacuations {
            return Ok(None);
        }
        let request = store::list_current_prefix(store::EVACUATION_PREFIX);
        let response = connection.call(request, Duration::ZERO).await?;
        let items = store::decode_items(&response.body)?;
        self.report_skipped_items(&items).await;
        let mut evacuated = EvacuatedZones::new(StorePosition {
            era: response.era,
            revision: items.store_revision,
        });
        for item in &items.items {
            self.apply_evacuation(item, true, &mut evacuated).await;
        }
        self.send_command(CarryCommand::SetEvacuation(evacuated.clone()))
            .await;
        Ok(Some(evacuated))
    }

    /// Returns the state from which the first watch starts: the earlier one of the positions
    /// at which the emptied zones and the configuration were read. The later changes of the
    /// other are then received once more.
    fn start_watch(&self, read: StorePosition, evacuated: Option<EvacuatedZones>) -> KnownState {
        let position = match &evacuated {
            Some(zones) if read.is_after(zones.position()) => zones.position(),
            _ => read,
        };
        KnownState {
            position,
            evacuated: evacuated.unwrap_or_else(|| EvacuatedZones::new(position)),
        }
    }

    /// Adds the zone that an item names to the emptied ones, or removes it if the item was
    /// removed. Returns whether the item names a zone.
    async fn apply_evacuation(
        &self,
        item: &StoreItem,
        is_present: bool,
        evacuated: &mut EvacuatedZones,
    ) -> bool {
        let Some(zone) = store::evacuated_zone(&item.key) else {
            return false;
        };
        if !is_present {
            evacuated.remove(zone);
        } else if !evacuated.add(zone) {
            let error = format!("ignored the evacuation of zone {zone:?}: invalid, or too many");
            self.report_store_status(Some(error)).await;
        }
        true
    }

    /// Waits for a change after a position, and applies the newest configuration. Returns the
    /// emptied zones after the changes, which are complete only if the history has gone on:
    /// changes that were made before the position in another history are missing.
    async fn wait_for_change(
        &self,
        connection: &mut StoreConnection,
        known: &KnownState,
        timeout: Duration,
    ) -> Result<ConfigurationNews, StoreError> {
        let prefix = match self.reads_evacuations {
            true => store::OPERATOR_PREFIX,
            false => store::CONFIGURATION_KEY,
        };
        let request = store::watch_prefix(prefix, known.position.revision, timeout);
        let response = connection.call(request, timeout).await?;
        let items = store::decode_items(&response.body)?;
        self.report_skipped_items(&items).await;
        let position = StorePosition {
            era: response.era,
            revision: items.store_revision,
        };
        let mut evacuated = known.evacuated.clone();
        let mut has_changed = false;
        for item in &items.items {
            let is_present = item.value != StoreValue::Removed;
            has_changed |= self
                .apply_evacuation(item, is_present, &mut evacuated)
                .await;
        }
        evacuated.advance(position);
        // The prefix of a watch also matches keys that are longer.
        let newest_item = items
            .items
            .into_iter()
            .rfind(|item| item.key == store::CONFIGURATION_KEY);
        has_changed |= newest_item.is_some();
        if let Some(item) = newest_item {
            self.apply_configuration(item, ConfigurationSource::Watch, position)
                .await;
        }
        Ok(ConfigurationNews {
            state: KnownState {
                position,
                evacuated,
            },
            has_changed,
        })
    }

    async fn apply_configuration(
        &self,
        item: StoreItem,
        source: ConfigurationSource,
        position: StorePosition,
    ) {
        let Some(value) = item.bytes() else {
            return;
        };
        match decode_configuration(value) {
            Ok((routes, skipped_count)) => {
                self.report_configuration(ConfigurationObservation::Received {
                    source,
                    version: routes.version(),
                    revision: item.revision,
                    position,
                })
                .await;
                if skipped_count > 0 {
                    let error = format!(
                        "failed to decode {skipped_count} routes or services; skipped them"
                    );
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
