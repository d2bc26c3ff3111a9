//! The event loop of a process.
//!
//! The loop waits for datagrams, commands, signals and timers, passes each to the
//! decisions in [`CarryPart`], and then sends and logs what they put in the outbox.

mod commands;
mod stopping;

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_adapter::packet::clear_bounced_flag;
use hyssopstair_adapter::packet::decode_header;
use hyssopstair_adapter::packet::encode_reset;
use hyssopstair_flows::balancer::SaveRequest;
use hyssopstair_flows::detour::read_datagram;
use hyssopstair_flows::event::DropReason;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_rules::carry_settings::CarryRole;
use hyssopstair_rules::carry_settings::CarrySettings;
use hyssopstair_rules::carry_settings::ServerSettings;
use hyssopstair_wire::time::MonotonicTime;
use serde_json::json;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::carry::checks::check_server;
use crate::carry::command::COMMAND_QUEUE_CAPACITY;
use crate::carry::command::CarryCommand;
use crate::carry::command::ProcessStatus;
use crate::carry::http::CallServer;
use crate::carry::journal::EventJournal;
use crate::carry::metrics::CarryMetrics;
use crate::carry::part::CarryPart;
use crate::carry::settings_watch::SettingsWatch;
use crate::carry::sockets::DatagramSocket;
use crate::carry::sockets::RECEIVE_BUFFER_BYTES;
use crate::carry::store_eras::StoreEras;
use crate::carry::store_tasks::StoreTask;
use crate::clock::ProcessClock;
use crate::clock::unix_millis;
use crate::error::DaemonError;

/// Maximum number of datagrams that are read from one socket before the other socket is
/// read.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Interval at which a stopping process checks whether it may end.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a process until it receives the signal to stop and has drained. `path` is the settings
/// file, which had the content `text` and is reloaded when it changes or a hangup signal arrives.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, for example because it is in use.
pub async fn run(
    settings: CarrySettings,
    path: &Path,
    text: &str,
) -> Result<(), Report<DaemonError>> {
    let (command_sender, command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let clock = ProcessClock::start();
    let settings_watch = SettingsWatch::new(path, text, clock.now());
    let mut process = CarryProcess::start(
        settings,
        settings_watch,
        clock,
        command_sender,
        command_receiver,
    )
    .await?;
    process.run().await;
    Ok(())
}

/// The state of the event loop.
struct CarryProcess {
    settings: CarrySettings,
    settings_watch: SettingsWatch,
    clock: ProcessClock,
    forwarder: CarryPart,
    outbox: FlowOutbox,
    /// Exchanges messages with peers.
    peer_socket: DatagramSocket,
    /// Receives packets of flows, from callers at a balancer and from the server at a
    /// host, and sends packets to callers and the server.
    packet_socket: DatagramSocket,
    status: ProcessStatus,
    eras: StoreEras,
    command_sender: mpsc::Sender<CarryCommand>,
    command_receiver: mpsc::Receiver<CarryCommand>,
    /// Passes the lists of open flows that a balancer has collected to the task that saves
    /// them.
    save_sender: mpsc::Sender<Vec<SaveRequest>>,
    journal: EventJournal,
    metrics: CarryMetrics,
    /// Time at which the signal to stop arrived.
    stop_requested_at: Option<MonotonicTime>,
    /// Number of readiness probes that had been answered in the negative by then.
    refused_probes_before_stop: u32,
}

impl CarryProcess {
    async fn start(
        settings: CarrySettings,
        settings_watch: SettingsWatch,
        clock: ProcessClock,
        command_sender: mpsc::Sender<CarryCommand>,
        command_receiver: mpsc::Receiver<CarryCommand>,
    ) -> Result<Self, Report<DaemonError>> {
        let status = ProcessStatus::default();
        let peer_socket = DatagramSocket::bind(settings.inner_address())?;
        let packet_socket = DatagramSocket::bind(packet_socket_address(&settings))?;
        let metrics = CarryMetrics::new()
            .change_context_lazy(|| DaemonError::new("failed to register the metrics"))?;
        let call_server = CallServer::new(command_sender.clone(), status.clone(), metrics.clone());
        call_server.clone().start(settings.readiness).await?;
        if let Some(address) = settings.metrics {
            call_server.clone().start(address).await?;
        }
        if let Some(server) = &settings.server {
            call_server.start(server.heartbeats).await?;
        }
        let forwarder = CarryPart::from_settings(&settings, clock.now());
        let (save_sender, save_receiver) = mpsc::channel(1);
        let mut process = Self {
            settings_watch,
            clock,
            forwarder,
            outbox: FlowOutbox::default(),
            peer_socket,
            packet_socket,
            status,
            eras: StoreEras::default(),
            command_sender,
            command_receiver,
            save_sender,
            journal: EventJournal::start(),
            metrics,
            stop_requested_at: None,
            refused_probes_before_stop: 0,
            settings,
        };
        process.start_store_tasks(save_receiver);
        let fields = json!({
            "name": process.settings.name, "role": format!("{:?}", process.settings.role),
            "zone": process.settings.zone, "address": process.settings.packets.ip(),
            "unix_ms": unix_millis(),
        });
        let now = process.clock.now();
        process.journal.write_process("started", fields, now);
        Ok(process)
    }

    fn start_store_tasks(&self, save_receiver: mpsc::Receiver<Vec<SaveRequest>>) {
        let task = StoreTask {
            store_address: self.settings.store,
            address: *self.settings.packets.ip(),
            command_sender: self.command_sender.clone(),
            status: self.status.clone(),
            eras: self.eras.clone(),
            reads_evacuations: self.settings.evacuation,
        };
        match self.settings.role {
            CarryRole::Balancer => {
                tokio::spawn(task.clone().watch_configuration());
                tokio::spawn(task.clone().maintain_registration());
                tokio::spawn(task.save_flow_lists(save_receiver));
            }
            CarryRole::Host => {
                tokio::spawn(task.clone().read_former_flows());
                tokio::spawn(task.poll_missing_state());
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
        while !self.may_exit() {
            self.wait_for_event(&mut terminate, &mut reload).await;
            self.read_peer_messages();
            self.read_packets();
            self.reload_changed_settings();
            self.tick();
        }
        let now = self.clock.now();
        self.forwarder.stop(now, &mut self.outbox);
        if let CarryPart::Balancer(balancer) = &mut self.forwarder {
            balancer.refuse_waiting_flows(&mut self.outbox);
        }
        self.flush_outbox(now);
        let fields = json!({ "lost_datagrams": self.metrics.unsent_datagrams.get() });
        self.journal.write_process("stopped", fields, now);
        self.journal.flush(now, true);
    }

    /// Waits for a datagram, a command, a signal or the next tick, and handles commands
    /// and signals.
    async fn wait_for_event(&mut self, terminate: &mut Signal, reload: &mut Signal) {
        let now = self.clock.now();
        let mut delay = self.forwarder.next_tick_at().since(now);
        if self.stop_requested_at.is_some() {
            delay = delay.min(EXIT_CHECK_INTERVAL);
        }
        tokio::select! {
            () = self.peer_socket.wait_readable() => {}
            () = self.packet_socket.wait_readable() => {}
            Some(command) = self.command_receiver.recv() => self.handle_command(command),
            _ = terminate.recv() => self.begin_stop(),
            _ = reload.recv() => self.reload_settings(),
            () = sleep(delay) => {}
        }
    }

    fn read_peer_messages(&mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((length, from)) = self.peer_socket.try_receive(&mut buffer) else {
                break;
            };
            let now = self.clock.now();
            let own_address = *self.settings.packets.ip();
            let received = match read_datagram(&buffer[..length], from, own_address) {
                Ok(received) => received,
                Err(reason) => {
                    self.record_dropped_datagram(reason, now);
                    continue;
                }
            };
            let packet = decode_header(received.payload).map(|header| RawPacket {
                header,
                bytes: received.payload,
            });
            self.forwarder
                .receive_peer_message(&received, packet.as_ref(), now, &mut self.outbox);
            self.flush_outbox(now);
        }
    }

    fn read_packets(&mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((length, _)) = self.packet_socket.try_receive(&mut buffer) else {
                break;
            };
            let now = self.clock.now();
            let Some(header) = decode_header(&buffer[..length]) else {
                self.record_dropped_datagram(DropReason::Malformed, now);
                continue;
            };
            if header.is_bounced {
                clear_bounced_flag(&mut buffer);
            }
            let packet = RawPacket {
                header,
                bytes: &buffer[..length],
            };
            self.forwarder
                .receive_packet(&packet, now, &mut self.outbox);
            self.flush_outbox(now);
        }
    }

    fn record_dropped_datagram(&mut self, reason: DropReason, now: MonotonicTime) {
        self.outbox.record_event(FlowEvent::Dropped { reason });
        self.flush_outbox(now);
    }

    /// Runs the timers and the server check that are due, updates the metrics, publishes
    /// the status, and writes logs.
    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.forwarder.next_tick_at() {
            self.forwarder.tick(now, &mut self.outbox);
        }
        self.start_due_check(now);
        self.save_collected_flows(now);
        self.metrics
            .flow_count
            .set(self.forwarder.flow_count() as i64);
        if let CarryPart::Host(host) = &self.forwarder {
            self.metrics
                .request_limit
                .set(i64::from(host.request_limit()));
        }
        self.metrics
            .peer_count
            .set(self.forwarder.peer_count() as i64);
        self.metrics
            .routes_version
            .set(self.forwarder.routes_version() as i64);
        self.metrics
            .evacuated_zones
            .set(self.forwarder.evacuated_zones().len() as i64);
        let era = self.eras.reported();
        self.forwarder.record_store_era(era, &mut self.outbox);
        self.metrics.store_era.set(era.unwrap_or(0) as i64);
        self.status.publish(
            self.forwarder.is_ready(now) && self.stop_requested_at.is_none(),
            self.forwarder.routes_version(),
            self.forwarder.balancers(),
            self.forwarder.reachable_balancer_count(now),
            *self.settings.packets.ip(),
        );
        self.flush_outbox(now);
        self.journal.flush(now, false);
    }

    /// Starts the check of the server that is due, if any, in the background.
    fn start_due_check(&mut self, now: MonotonicTime) {
        let (CarryPart::Host(host), Some(server)) = (&mut self.forwarder, &self.settings.server)
        else {
            return;
        };
        if !host.take_due_check(now) {
            return;
        }
        let address = server.address;
        let command_sender = self.command_sender.clone();
        tokio::spawn(async move {
            let result = check_server(address).await;
            // Sending fails only when the event loop has ended, and with it the process.
            let _ = command_sender.send(CarryCommand::CheckDone(result)).await;
        });
    }

    /// Passes on the lists of open flows that a balancer is to save now. While an earlier
    /// call of the store is pending, they keep waiting.
    fn save_collected_flows(&mut self, now: MonotonicTime) {
        let CarryPart::Balancer(balancer) = &mut self.forwarder else {
            return;
        };
        let Ok(permit) = self.save_sender.try_reserve() else {
            return;
        };
        let requests = balancer.take_due_saves(now);
        if !requests.is_empty() {
            permit.send(requests);
        }
    }

    /// Sends the datagrams in the outbox, counts and logs its events, and clears it.
    fn flush_outbox(&mut self, now: MonotonicTime) {
        let caller_port = self.settings.packets.port();
        let peer_port = self.settings.inner_ports.0;
        let server = self.settings.server.as_ref();
        for (destination, bytes) in self.outbox.datagrams() {
            let result = match destination {
                Destination::Server => match server {
                    Some(server) => self.packet_socket.try_send(bytes, server.address),
                    None => Ok(()),
                },
                Destination::Caller(address) => self
                    .packet_socket
                    .try_send(bytes, SocketAddrV4::new(address, caller_port)),
                Destination::Peer(address) => self
                    .peer_socket
                    .try_send(bytes, SocketAddrV4::new(address, peer_port)),
            };
            if result.is_err() {
                self.metrics.unsent_datagrams.inc();
            }
        }
        for reset in self.outbox.resets() {
            let to = SocketAddrV4::new(*reset.flow.caller.ip(), caller_port);
            if self
                .packet_socket
                .try_send(&encode_reset(reset), to)
                .is_err()
            {
                self.metrics.unsent_datagrams.inc();
            }
        }
        for event in self.outbox.events() {
            self.metrics.count_event(event);
            self.journal.write_event(event, now);
        }
        self.outbox.clear();
    }
}

/// Returns the address at which the process receives packets of flows.
fn packet_socket_address(settings: &CarrySettings) -> SocketAddrV4 {
    match (settings.role, &settings.server) {
        (CarryRole::Host, Some(ServerSettings { outbound, .. })) => *outbound,
        _ => settings.packets,
    }
}
