//! The balancer role, which forwards datagrams between the network fabric and hosts.
//!
//! Datagrams from callers are received on the entry address and forwarded to a host;
//! datagrams that hosts return are received on the inner address and sent to the caller
//! through the fabric. A datagram that cannot be sent is lost, as on any network.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::DropReason;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::reset::reset_packet;
use hyssopstair_rules::settings::BalancerSettings;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::relays::record_returned_packet;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::entry::encode_entry;
use hyssopstair_wire::entry::split_entry;
use hyssopstair_wire::packet::MAX_PACKET_LENGTH;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::ReturnHeader;
use hyssopstair_wire::packet::split_kind;
use hyssopstair_wire::packet::split_message;
use hyssopstair_wire::packet::write_packet;
use tokio::net::UdpSocket;

use crate::control::gossip;
use crate::control::node::ControlNode;
use crate::datagram;
use crate::error::DaemonError;
use crate::telemetry;

/// Number of tasks that read each socket.
const READER_TASKS: usize = 2;

/// Time for which a balancer keeps forwarding after it has announced that it is draining,
/// so that the fabric can switch to other balancers.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Waits for [`DRAIN_TIME`], in which the fabric switches to other balancers.
pub async fn wait_for_drain() {
    log::info!("balancer: draining");
    tokio::time::sleep(DRAIN_TIME).await;
}

/// The sockets and tables of a balancer.
struct BalancerState {
    node: Arc<ControlNode>,
    entry: UdpSocket,
    /// The address to which datagrams for callers are sent.
    fabric: SocketAddr,
    loads: LoadTable,
}

/// Opens the entry address and starts the tasks that forward datagrams.
///
/// # Errors
///
/// Returns an error if the entry address cannot be bound.
pub async fn start(
    settings: &BalancerSettings,
    node: Arc<ControlNode>,
) -> Result<(), Report<DaemonError>> {
    let entry = datagram::open_socket(settings.entry)
        .await
        .change_context_lazy(|| {
            DaemonError::new(format!(
                "failed to listen on the address of the field \"entry\", {}",
                settings.entry
            ))
        })?;
    let state = Arc::new(BalancerState {
        node,
        entry,
        fabric: settings.fabric,
        loads: LoadTable::default(),
    });
    for _ in 0..READER_TASKS {
        tokio::spawn(read_entry(state.clone()));
        tokio::spawn(read_inner(state.clone()));
    }
    Ok(())
}

/// Forwards the datagrams that are received on the entry address.
async fn read_entry(state: Arc<BalancerState>) {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    let mut outgoing = vec![0; MAX_PACKET_LENGTH];
    loop {
        let Ok((length, _)) = state.entry.recv_from(&mut buffer).await else {
            continue;
        };
        match split_entry(&buffer[..length]) {
            Some((path, datagram)) => {
                forward_datagram(&state, &path, datagram, &mut outgoing).await
            }
            None => telemetry::count_dropped_packet(DropReason::Malformed),
        }
    }
}

/// Forwards a caller's datagram to its host, or answers it with a stateless reset if its
/// flow no longer exists.
async fn forward_datagram(
    state: &BalancerState,
    path: &EntryPath,
    datagram: &[u8],
    outgoing: &mut [u8],
) {
    let view = state.node.view();
    let context = BalancerContext {
        address: state.node.process_id().address,
        view: &view,
        loads: &state.loads,
    };
    match route_packet(&context, path, datagram, state.node.clock.now()) {
        RouteAction::Forward { host, header } => {
            telemetry::count_forwarded_packet(&header);
            if let Ok(length) = write_packet(outgoing, PacketKind::Forward, &header, datagram) {
                let packet = &outgoing[..length];
                let _ = state.node.socket.send_to(packet, host.address).await;
            }
        }
        RouteAction::Reset { connection_id } => {
            let key = view.reset_secret();
            if let Some(packet) = reset_packet(key, connection_id, datagram.len(), rand::random()) {
                COUNTERS.resets_sent.increment();
                let return_path = EntryPath {
                    source: path.destination,
                    destination: path.source,
                };
                state.send_to_caller(&return_path, &packet).await;
            }
        }
        RouteAction::Drop(reason) => telemetry::count_dropped_packet(reason),
    }
}

/// Processes the packets that are received on the inner address.
async fn read_inner(state: Arc<BalancerState>) {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    loop {
        let Ok((length, _)) = state.node.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match split_kind(&buffer[..length]) {
            Ok((PacketKind::Return, payload)) => return_datagram(&state, payload).await,
            Ok((PacketKind::Control, payload)) => {
                gossip::receive_packet(&state.node, payload).await
            }
            Ok((PacketKind::Forward, _)) | Err(_) => {
                telemetry::count_dropped_packet(DropReason::Malformed)
            }
        }
    }
}

/// Sends a datagram that a host returned to its caller, and records the load report of
/// the host.
async fn return_datagram(state: &BalancerState, payload: &[u8]) {
    let Ok((header, datagram)) = split_message::<ReturnHeader>(payload) else {
        telemetry::count_dropped_packet(DropReason::Malformed);
        return;
    };
    let now = state.node.clock.now();
    state.loads.record(header.host, header.load, now);
    COUNTERS.packets_returned.increment();
    record_returned_packet(header.trace, now);
    let path = EntryPath {
        source: header.target,
        destination: header.caller,
    };
    state.send_to_caller(&path, datagram).await;
}

impl BalancerState {
    /// Sends a datagram to a caller. A datagram that cannot be sent is lost.
    async fn send_to_caller(&self, path: &EntryPath, datagram: &[u8]) {
        let packet = encode_entry(path, datagram);
        let _ = self.entry.send_to(&packet, self.fabric).await;
    }
}
