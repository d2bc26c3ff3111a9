//! Handles the commands of other tasks, and the signal to reload the settings.

use std::net::Ipv4Addr;

use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::heartbeat::HeartbeatVerdict;
use hyssopstair_flows::heartbeat::IgnoreReason;
use hyssopstair_rules::carry_settings::CarrySettings;
use hyssopstair_wire::time::MonotonicTime;
use serde_json::json;

use crate::carry::command::CarryCommand;
use crate::carry::command::ConfigurationObservation;
use crate::carry::part::CarryPart;
use crate::carry::process::CarryProcess;

impl CarryProcess {
    pub(super) fn handle_command(&mut self, command: CarryCommand) {
        let now = self.clock.now();
        match command {
            CarryCommand::SetRoutes(routes) => self.forwarder.set_routes(routes, &mut self.outbox),
            CarryCommand::SetEvacuation(evacuated) => {
                self.forwarder.set_evacuation(evacuated, &mut self.outbox);
            }
            CarryCommand::AddContacts(contacts) => self.forwarder.add_contacts(&contacts),
            CarryCommand::Heartbeat {
                heartbeat,
                applied_sender,
            } => {
                // Only a heartbeat that has been applied is confirmed. No server is beside a
                // balancer.
                let is_applied = match &mut self.forwarder {
                    CarryPart::Host(host) => {
                        host.receive_heartbeat(&heartbeat, now, &mut self.outbox)
                            == HeartbeatVerdict::Accepted
                    }
                    CarryPart::Balancer(_) => false,
                };
                if is_applied {
                    // A server that no longer waits for the response sends another heartbeat.
                    let _ = applied_sender.send(());
                }
            }
            CarryCommand::IgnoreMalformedHeartbeat { server_id } => {
                self.outbox.record_event(FlowEvent::HeartbeatIgnored {
                    server_id,
                    reason: IgnoreReason::Malformed,
                });
            }
            CarryCommand::Deregistration { id, applied_sender } => {
                if let CarryPart::Host(host) = &mut self.forwarder {
                    host.receive_deregistration(&id, &mut self.outbox);
                }
                let _ = applied_sender.send(());
            }
            CarryCommand::CheckDone(result) => {
                if let CarryPart::Host(host) = &mut self.forwarder {
                    host.receive_check_result(result, now, &mut self.outbox);
                }
            }
            CarryCommand::FormerFlows(list) => {
                if let CarryPart::Host(host) = &mut self.forwarder {
                    host.receive_former_flows(list, now, &mut self.outbox);
                }
            }
            CarryCommand::ConfirmSaves(requests) => {
                if let CarryPart::Balancer(balancer) = &self.forwarder {
                    for request in &requests {
                        balancer.confirm_save(request.host, request.number, &mut self.outbox);
                    }
                }
            }
            CarryCommand::ConfigurationObserved(observation) => {
                self.record_configuration(&observation, now);
            }
            CarryCommand::DependencyChanged { name, error } => {
                let message = if error.is_some() {
                    "dependency failed"
                } else {
                    "dependency recovered"
                };
                let fields = json!({ "dependency": name, "error": error });
                self.journal.write_process(message, fields, now);
            }
        }
        self.flush_outbox(now);
    }

    /// Logs what a task has learned about the configuration in the store.
    pub(super) fn record_configuration(
        &mut self,
        observation: &ConfigurationObservation,
        now: MonotonicTime,
    ) {
        let (message, position, mut fields) = match observation {
            ConfigurationObservation::Received {
                source,
                version,
                revision,
                position,
            } => (
                "received the configuration",
                position,
                json!({ "source": format!("{source:?}"), "version": version, "revision": revision }),
            ),
            ConfigurationObservation::PositionLost { position, reason } => (
                "reading the configuration again",
                position,
                json!({ "reason": reason }),
            ),
        };
        fields["store_era"] = json!(position.era);
        fields["store_revision"] = json!(position.revision);
        self.metrics.store_revision.set(position.revision as i64);
        self.journal.write_process(message, fields, now);
    }

    /// Applies the settings file if it has changed without a signal.
    pub(super) fn reload_changed_settings(&mut self) {
        if self.settings_watch.has_changed(self.clock.now()) {
            self.reload_settings();
        }
    }

    /// Reads the settings file again and applies its contacts and the service that it names
    /// for the server. Other settings change only with a restart.
    pub(super) fn reload_settings(&mut self) {
        let now = self.clock.now();
        let file_text = self.settings_watch.read();
        match file_text.and_then(CarrySettings::parse) {
            Ok(settings) => {
                let contacts: Vec<Ipv4Addr> = settings
                    .contacts
                    .iter()
                    .map(|contact| *contact.ip())
                    .collect();
                self.forwarder.add_contacts(&contacts);
                if let (CarryPart::Host(host), Some(server)) =
                    (&mut self.forwarder, &settings.server)
                {
                    host.assign_service(&server.service);
                }
                self.journal
                    .write_process("reloaded the settings", json!({}), now);
            }
            Err(error) => {
                self.journal.write_process(
                    "failed to reload the settings; kept the current ones",
                    json!({ "error": error }),
                    now,
                );
            }
        }
        self.flush_outbox(now);
    }
}
