//! The loop of a process: datagrams, commands and time go in, datagrams come out.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_adapter::packet::clear_bounced;
use hyssopstair_adapter::packet::decode_packet;
use hyssopstair_adapter::packet::encode_reset;
use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::event::DropReason;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::heartbeat::HeartbeatVerdict;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::host::HostIdentity;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_rules::carry_settings::CarryRole;
use hyssopstair_rules::carry_settings::CarrySettings;
use hyssopstair_rules::carry_settings::ServerSettings;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;
use serde_json::json;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::carry::checks::check_server;
use crate::carry::command::COMMAND_QUEUE;
use crate::carry::command::CarryCommand;
use crate::carry::command::ProcessStatus;
use crate::carry::http::CallServer;
use crate::carry::journal::EventJournal;
use crate::carry::metrics::CarryMetrics;
use crate::carry::part::CarryPart;
use crate::carry::sockets::DATAGRAM_BYTES;
use crate::carry::sockets::DatagramSocket;
use crate::carry::store_tasks::StoreTask;
use crate::clock::ProcessClock;
use crate::clock::unix_millis;
use crate::error::DaemonError;

/// Datagrams that are read from one socket before the other has its turn.
const READ_BATCH: usize = 64;

/// Time for which a balancer goes on after the signal to stop: routers need two
/// probes, half a second apart, to see that it is not ready.
const BALANCER_LINGER: Duration = Duration::from_millis(1_600);

/// Time for which a host goes on at least, so that balancers stop choosing it.
const HOST_LINGER: Duration = Duration::from_millis(150);

/// Time for which a host waits for answers that are under way.
const HOST_PATIENCE: Duration = Duration::from_millis(1_500);

/// Part of the time to stop that is left for the end itself.
const GRACE_RESERVE: Duration = Duration::from_millis(1_000);

/// Runs a process until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address is in use.
pub async fn run(settings: CarrySettings, path: &Path) -> Result<(), Report<DaemonError>> {
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
    let mut process = CarryProcess::start(settings, path, sender, commands).await?;
    process.run().await;
    Ok(())
}

/// One process.
struct CarryProcess {
    settings: CarrySettings,
    path: std::path::PathBuf,
    clock: ProcessClock,
    part: CarryPart,
    outbox: FlowOutbox,
    /// Messages between processes.
    inner: DatagramSocket,
    /// Callers' packets at a balancer, the server's at a host.
    outer: DatagramSocket,
    status: ProcessStatus,
    sender: mpsc::Sender<CarryCommand>,
    commands: mpsc::Receiver<CarryCommand>,
    journal: EventJournal,
    metrics: CarryMetrics,
    stop_asked: Option<MonotonicTime>,
}

impl CarryProcess {
    async fn start(
        settings: CarrySettings,
        path: &Path,
        sender: mpsc::Sender<CarryCommand>,
        commands: mpsc::Receiver<CarryCommand>,
    ) -> Result<Self, Report<DaemonError>> {
        let clock = ProcessClock::start();
        let status = ProcessStatus::default();
        let inner = DatagramSocket::bind(settings.inner_address())?;
        let outer = DatagramSocket::bind(outer_address(&settings))?;
        let metrics = CarryMetrics::new()
            .change_context_lazy(|| DaemonError::new("failed to create the metrics"))?;
        let server = CallServer::new(sender.clone(), status.clone(), metrics.clone());
        server.clone().start(settings.readiness).await?;
        if let Some(address) = settings.metrics {
            server.clone().start(address).await?;
        }
        if let Some(beside) = &settings.server {
            server.start(beside.heartbeats).await?;
        }
        let part = create_part(&settings, clock.now());
        let mut process = Self {
            path: path.to_owned(),
            clock,
            part,
            outbox: FlowOutbox::default(),
            inner,
            outer,
            status,
            sender,
            commands,
            journal: EventJournal::start(),
            metrics,
            stop_asked: None,
            settings,
        };
        process.start_store_tasks();
        let fields = json!({
            "name": process.settings.name, "role": format!("{:?}", process.settings.role),
            "zone": process.settings.zone, "address": process.settings.packets.ip(),
            "unix_ms": unix_millis(),
        });
        let now = process.clock.now();
        process.journal.write_process("started", fields, now);
        Ok(process)
    }

    fn start_store_tasks(&self) {
        let task = StoreTask {
            store: self.settings.store,
            address: *self.settings.packets.ip(),
            commands: self.sender.clone(),
            status: self.status.clone(),
        };
        match self.settings.role {
            CarryRole::Balancer => {
                tokio::spawn(task.clone().watch_configuration());
                tokio::spawn(task.announce());
            }
            CarryRole::Host => {
                tokio::spawn(task.assist_host());
            }
        }
    }

    async fn run(&mut self) {
        let (Ok(mut terminate), Ok(mut reload)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::hangup()),
        ) else {
            return;
        };
        self.tick();
        while !self.is_done() {
            self.wait(&mut terminate, &mut reload).await;
            self.read_inner();
            self.read_outer();
            self.tick();
        }
        let now = self.clock.now();
        self.part.stop(now, &mut self.outbox);
        self.flush(now);
        let fields = json!({ "lost_datagrams": self.metrics.lost_datagrams.get() });
        self.journal.write_process("stopped", fields, now);
        self.journal.flush(now, true);
    }

    async fn wait(&mut self, terminate: &mut Signal, reload: &mut Signal) {
        let now = self.clock.now();
        let pause = self.part.next_tick().since(now);
        tokio::select! {
            () = self.inner.readable() => {}
            () = self.outer.readable() => {}
            Some(command) = self.commands.recv() => self.obey(command),
            _ = terminate.recv() => self.begin_stop(),
            _ = reload.recv() => self.reload(),
            () = sleep(pause) => {}
        }
    }

    fn read_inner(&mut self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        for _ in 0..READ_BATCH {
            let Some((length, from)) = self.inner.read(&mut buffer) else {
                break;
            };
            let now = self.clock.now();
            let Some((message, behind)) = CarryMessage::decode(&buffer[..length]) else {
                self.note_malformed(now);
                continue;
            };
            let packet = decode_packet(behind).map(|header| RawPacket {
                header,
                bytes: behind,
            });
            self.part.receive_peer(
                from,
                &message,
                packet.as_ref(),
                behind,
                now,
                &mut self.outbox,
            );
            self.flush(now);
        }
    }

    fn read_outer(&mut self) {
        let mut buffer = [0; DATAGRAM_BYTES];
        for _ in 0..READ_BATCH {
            let Some((length, _)) = self.outer.read(&mut buffer) else {
                break;
            };
            let now = self.clock.now();
            let Some(header) = decode_packet(&buffer[..length]) else {
                self.note_malformed(now);
                continue;
            };
            if header.is_bounced {
                clear_bounced(&mut buffer);
            }
            let packet = RawPacket {
                header,
                bytes: &buffer[..length],
            };
            self.part.receive_packet(&packet, now, &mut self.outbox);
            self.flush(now);
        }
    }

    fn note_malformed(&mut self, now: MonotonicTime) {
        self.outbox.record_event(FlowEvent::Dropped {
            reason: DropReason::Malformed,
        });
        self.flush(now);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.part.next_tick() {
            self.part.tick(now, &mut self.outbox);
        }
        self.check_server(now);
        self.metrics.flows.set(self.part.flows() as i64);
        self.metrics.peers.set(self.part.peers() as i64);
        self.metrics.routes.set(self.part.routes_version() as i64);
        self.status.set(
            self.part.is_ready(now) && self.stop_asked.is_none(),
            self.part.routes_version(),
            self.part.balancers() as u64,
        );
        self.flush(now);
        self.journal.flush(now, false);
    }

    fn check_server(&mut self, now: MonotonicTime) {
        let (CarryPart::Host(gate), Some(server)) = (&mut self.part, &self.settings.server) else {
            return;
        };
        let Some(check) = gate.take_due_check(now) else {
            return;
        };
        let path = gate.health_path().unwrap_or("/").to_owned();
        let address = server.address;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let result = check_server(address, check, &path).await;
            // The loop ends only with the process.
            let _ = sender.send(CarryCommand::Checked(result)).await;
        });
    }

    fn obey(&mut self, command: CarryCommand) {
        let now = self.clock.now();
        match command {
            CarryCommand::Routes(routes) => self.part.set_routes(routes, &mut self.outbox),
            CarryCommand::Contacts(contacts) => self.part.add_contacts(&contacts),
            CarryCommand::Heartbeat { beat, done } => {
                let verdict = match &mut self.part {
                    CarryPart::Host(gate) => gate.receive_heartbeat(&beat, now, &mut self.outbox),
                    CarryPart::Balancer(_) => HeartbeatVerdict::Outdated,
                };
                // What is not in force is not confirmed.
                if verdict == HeartbeatVerdict::Accepted {
                    // A server that has stopped waiting asks again.
                    let _ = done.send(());
                }
            }
            CarryCommand::Deregistration { id, done } => {
                if let CarryPart::Host(gate) = &mut self.part {
                    gate.receive_deregistration(&id, &mut self.outbox);
                }
                let _ = done.send(());
            }
            CarryCommand::Checked(result) => {
                if let CarryPart::Host(gate) = &mut self.part {
                    gate.receive_check_result(result, now, &mut self.outbox);
                }
            }
            CarryCommand::Dependency { name, error } => {
                let text = if error.is_some() {
                    "lost a dependency"
                } else {
                    "regained a dependency"
                };
                let fields = json!({ "dependency": name, "error": error });
                self.journal.write_process(text, fields, now);
            }
        }
        self.flush(now);
    }

    fn begin_stop(&mut self) {
        if self.stop_asked.is_some() {
            return;
        }
        let now = self.clock.now();
        self.stop_asked = Some(now);
        self.journal
            .write_process("stopping", json!({ "cause": "signal" }), now);
        self.part.stop(now, &mut self.outbox);
        self.flush(now);
    }

    fn reload(&mut self) {
        let now = self.clock.now();
        let read = std::fs::read_to_string(&self.path).map_err(|error| error.to_string());
        match read.and_then(|text| CarrySettings::parse(&text)) {
            Ok(settings) => {
                let contacts: Vec<Ipv4Addr> = settings
                    .contacts
                    .iter()
                    .map(|contact| *contact.ip())
                    .collect();
                self.part.add_contacts(&contacts);
                if let (CarryPart::Host(gate), Some(server)) = (&mut self.part, &settings.server) {
                    gate.set_service(&server.service, now, &mut self.outbox);
                }
                self.journal
                    .write_process("reloaded the settings", json!({}), now);
            }
            Err(error) => {
                self.journal.write_process(
                    "kept the settings, as the new ones are wrong",
                    json!({ "error": error }),
                    now,
                );
            }
        }
        self.flush(now);
    }

    /// Returns whether the process may end.
    fn is_done(&self) -> bool {
        let Some(asked) = self.stop_asked else {
            return false;
        };
        let now = self.clock.now();
        let age = now.since(asked);
        let grace = Duration::from_secs_f64(self.settings.grace_seconds);
        if age >= grace.saturating_sub(GRACE_RESERVE) {
            return true;
        }
        match &self.part {
            CarryPart::Balancer(_) => age >= BALANCER_LINGER,
            CarryPart::Host(gate) => {
                let is_idle =
                    gate.in_progress(now) == 0 || gate.server_state() == ServerState::Down;
                age >= HOST_PATIENCE || (is_idle && age >= HOST_LINGER)
            }
        }
    }

    /// Sends and logs what the decisions want.
    fn flush(&mut self, now: MonotonicTime) {
        let caller_port = self.settings.packets.port();
        let inner_port = self.settings.inner_ports.0;
        let server = self.settings.server.as_ref();
        for (destination, bytes) in self.outbox.datagrams() {
            let result = match destination {
                Destination::Server => match server {
                    Some(server) => self.outer.write(bytes, server.address),
                    None => Ok(()),
                },
                Destination::Caller(address) => self
                    .outer
                    .write(bytes, SocketAddrV4::new(address, caller_port)),
                Destination::Peer(address) => self
                    .inner
                    .write(bytes, SocketAddrV4::new(address, inner_port)),
            };
            if result.is_err() {
                self.metrics.lost_datagrams.inc();
            }
        }
        for reset in self.outbox.resets() {
            let to = SocketAddrV4::new(*reset.flow.caller.ip(), caller_port);
            if self.outer.write(&encode_reset(reset), to).is_err() {
                self.metrics.lost_datagrams.inc();
            }
        }
        for event in self.outbox.events() {
            self.metrics.count(event);
            self.journal.write_event(event, now);
        }
        self.outbox.clear();
    }
}

fn outer_address(settings: &CarrySettings) -> SocketAddrV4 {
    match (settings.role, &settings.server) {
        (CarryRole::Host, Some(ServerSettings { outbound, .. })) => *outbound,
        _ => settings.packets,
    }
}

fn create_part(settings: &CarrySettings, now: MonotonicTime) -> CarryPart {
    let address = *settings.packets.ip();
    let contacts: Vec<Ipv4Addr> = settings
        .contacts
        .iter()
        .map(|contact| *contact.ip())
        .collect();
    let max_flow_age = settings.max_flow_age();
    match &settings.server {
        Some(server) if settings.role == CarryRole::Host => {
            let identity = HostIdentity {
                address,
                zone: settings.zone.clone(),
                service: server.service.clone(),
                started: unix_millis(),
                max_flow_age,
            };
            CarryPart::Host(Box::new(FlowHost::new(identity, contacts, now)))
        }
        _ => {
            let identity = BalancerIdentity {
                address,
                zone: settings.zone.clone(),
                started: unix_millis(),
                max_flow_age,
            };
            CarryPart::Balancer(Box::new(FlowBalancer::new(identity, contacts, now)))
        }
    }
}
