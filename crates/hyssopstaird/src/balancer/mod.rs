//! The role of a balancer: datagrams between the fabric and the hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::reset::reset_packet;
use hyssopstair_rules::settings::BalancerSettings;
use hyssopstair_telemetry::counts::COUNTS;
use hyssopstair_telemetry::relays::note_returned;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::entry::encode_entry;
use hyssopstair_wire::entry::split_entry;
use hyssopstair_wire::packet::MAX_PACKET_LENGTH;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::ReturnHeader;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::packet::split_kind;
use hyssopstair_wire::packet::split_message;
use tokio::net::UdpSocket;

use crate::control::gossip;
use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::telemetry;

/// Tasks that read each socket.
const READERS: usize = 2;

/// How long a balancer goes on after it has told the fabric that it leaves.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// A balancer at work.
#[derive(Debug)]
pub struct BalancerHandle {
    _private: (),
}

impl BalancerHandle {
    /// Goes on until the fabric has turned to other balancers.
    pub async fn drain(&self) {
        log::info!("balancer: leaving");
        tokio::time::sleep(LEAVE_TIME).await;
    }
}

struct BalancerPaths {
    node: Arc<ControlNode>,
    entry: UdpSocket,
    fabric: SocketAddr,
}

/// Starts to forward.
///
/// # Errors
///
/// Returns an error when the entry address is in use.
pub async fn start(
    settings: &BalancerSettings,
    node: Arc<ControlNode>,
) -> Result<BalancerHandle, Report<DaemonError>> {
    let entry = UdpSocket::bind(settings.entry)
        .await
        .change_context_lazy(|| {
            DaemonError::new(format!(
                "failed to listen on entry address {}",
                settings.entry
            ))
        })?;
    let paths = Arc::new(BalancerPaths {
        node,
        entry,
        fabric: settings.fabric,
    });
    for _ in 0..READERS {
        tokio::spawn(read_entry(paths.clone()));
        tokio::spawn(read_inner(paths.clone()));
    }
    Ok(BalancerHandle { _private: () })
}

async fn read_entry(paths: Arc<BalancerPaths>) {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    loop {
        let Ok((length, _)) = paths.entry.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some((path, datagram)) = split_entry(&buffer[..length]) {
            forward(&paths, &path, datagram).await;
        }
    }
}

async fn forward(paths: &BalancerPaths, path: &EntryPath, datagram: &[u8]) {
    let view = paths.node.view();
    match route_packet(&view, paths.node.me().address, path, datagram) {
        RouteAction::Forward { host, header } => {
            telemetry::count_forwarded(&header);
            if let Ok(packet) = encode_packet(PacketKind::Forward, &header, datagram) {
                let _ = paths.node.socket.send_to(&packet, host.address).await;
            }
        }
        RouteAction::Reset { connection } => {
            let key = paths.node.secret.derive(b"reset");
            if let Some(packet) = reset_packet(&key, connection, datagram.len(), rand::random()) {
                let back = EntryPath {
                    source: path.destination,
                    destination: path.source,
                };
                COUNTS.resets_sent.increment();
                let _ = paths
                    .entry
                    .send_to(&encode_entry(&back, &packet), paths.fabric)
                    .await;
            }
        }
        RouteAction::Drop(reason) => telemetry::count_dropped(reason),
    }
}

async fn read_inner(paths: Arc<BalancerPaths>) {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    loop {
        let Ok((length, _)) = paths.node.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match split_kind(&buffer[..length]) {
            Ok((PacketKind::Return, rest)) => give_back(&paths, rest).await,
            Ok((PacketKind::Control, rest)) => gossip::receive(&paths.node, rest).await,
            Ok((PacketKind::Forward, _)) | Err(_) => {}
        }
    }
}

async fn give_back(paths: &BalancerPaths, rest: &[u8]) {
    let Ok((header, datagram)) = split_message::<ReturnHeader>(rest) else {
        return;
    };
    COUNTS.packets_returned.increment();
    note_returned(header.trace, paths.node.clock.now());
    let path = EntryPath {
        source: header.target,
        destination: header.caller,
    };
    let _ = paths
        .entry
        .send_to(&encode_entry(&path, datagram), paths.fabric)
        .await;
}
