//! A stand-in for the network fabric. It receives the datagrams of callers at the addresses
//! of services, and sends each to a random balancer among those that are ready.
//!
//! Packets can be lost, duplicated and reordered at random.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::entry::encode_entry;
use hyssopstair_wire::entry::split_entry;
use hyssopstair_wire::entry::to_ipv4;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::SockRef;
use tokio::net::UdpSocket;

/// Time between two readiness probes of a balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Maximum delay of a packet that is reordered.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(5);

/// Addresses of a balancer to which the fabric may send packets.
#[derive(Debug, Clone, Copy)]
pub struct FabricBalancer {
    /// Address for packets of the fabric.
    pub entry: SocketAddrV4,
    /// Address of the readiness endpoint.
    pub admin: SocketAddrV4,
}

/// Faults of the fabric, as shares of the packets from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct FabricFaults {
    /// Share of the packets that are lost.
    pub loss: f64,
    /// Share of the packets that are sent twice.
    pub duplicate: f64,
    /// Share of the packets that are delayed by up to 5 ms, which reorders them.
    pub reorder: f64,
}

/// Configuration of the fabric.
#[derive(Debug, Clone)]
pub struct FabricPlan {
    /// Address of the fabric for packets from and to balancers.
    pub tunnel: SocketAddrV4,
    /// Addresses of services, at which the fabric receives datagrams of callers.
    pub services: Vec<SocketAddrV4>,
    /// All balancers, whether they are running or not.
    pub balancers: Vec<FabricBalancer>,
    /// Faults of the fabric.
    pub faults: FabricFaults,
    /// Seed of the random choices.
    pub seed: u64,
}

struct FabricState {
    tunnel: UdpSocket,
    services: Vec<(SocketAddrV4, UdpSocket)>,
    /// Packet addresses of the balancers that are ready, sorted.
    ready: Mutex<Vec<SocketAddrV4>>,
    random: Mutex<StdRng>,
    faults: FabricFaults,
}

/// Runs the fabric until the process exits.
///
/// # Errors
///
/// Returns an error if an address is in use.
pub async fn run_fabric(plan: FabricPlan) -> std::io::Result<()> {
    let mut services = Vec::new();
    for address in &plan.services {
        services.push((*address, open_socket(*address).await?));
    }
    let state = Arc::new(FabricState {
        tunnel: open_socket(plan.tunnel).await?,
        services,
        ready: Mutex::default(),
        random: Mutex::new(StdRng::seed_from_u64(plan.seed)),
        faults: plan.faults,
    });
    for balancer in plan.balancers {
        tokio::spawn(probe_balancer(state.clone(), balancer));
    }
    for index in 0..state.services.len() {
        tokio::spawn(forward_from_callers(state.clone(), index));
    }
    forward_from_balancers(&state).await;
    Ok(())
}

/// Opens a socket with a receive buffer that is large enough for bursts of datagrams.
async fn open_socket(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    const BUFFER_BYTES: usize = 4 << 20;
    let socket = UdpSocket::bind(address).await?;
    let _ = SockRef::from(&socket).set_recv_buffer_size(BUFFER_BYTES);
    Ok(socket)
}

/// Probes the readiness of a balancer until the process exits.
async fn probe_balancer(state: Arc<FabricState>, balancer: FabricBalancer) {
    let client = reqwest::Client::builder()
        .timeout(PROBE_TIMEOUT)
        .build()
        .unwrap_or_default();
    let url = format!("http://{}/ready", balancer.admin);
    loop {
        let response = client.get(&url).send().await;
        let is_ready = response.is_ok_and(|response| response.status().is_success());
        set_ready(&state, balancer.entry, is_ready);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

fn set_ready(state: &FabricState, entry: SocketAddrV4, is_ready: bool) {
    let mut ready = state.ready.lock();
    match (ready.binary_search(&entry), is_ready) {
        (Ok(index), false) => {
            ready.remove(index);
        }
        (Err(index), true) => ready.insert(index, entry),
        (Ok(_), true) | (Err(_), false) => {}
    }
}

/// Forwards the datagrams that callers send to the service with an index.
async fn forward_from_callers(state: Arc<FabricState>, index: usize) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (address, socket) = &state.services[index];
        let Ok((length, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(caller) = to_ipv4(caller) else {
            continue;
        };
        let path = EntryPath {
            source: caller,
            destination: *address,
        };
        let packet = encode_entry(&path, &buffer[..length]);
        for _ in 0..choose_copy_count(&state) {
            send_to_balancer(&state, packet.clone()).await;
        }
    }
}

/// Returns how many times a packet is sent: 0 if it is lost, 2 if it is duplicated.
fn choose_copy_count(state: &FabricState) -> usize {
    let mut random = state.random.lock();
    if random.random_bool(state.faults.loss) {
        return 0;
    }
    1 + usize::from(random.random_bool(state.faults.duplicate))
}

/// Sends a packet to a balancer that is ready, possibly after a delay. Drops it if no
/// balancer is ready.
async fn send_to_balancer(state: &Arc<FabricState>, packet: Vec<u8>) {
    let Some(balancer) = choose_balancer(state) else {
        return;
    };
    let delay = {
        let mut random = state.random.lock();
        let is_reordered = random.random_bool(state.faults.reorder);
        is_reordered.then(|| MAX_REORDER_DELAY.mul_f64(random.random_range(0.0..1.0)))
    };
    let Some(delay) = delay else {
        let _ = state.tunnel.send_to(&packet, balancer).await;
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let _ = state.tunnel.send_to(&packet, balancer).await;
    });
}

fn choose_balancer(state: &FabricState) -> Option<SocketAddrV4> {
    let ready = state.ready.lock();
    if ready.is_empty() {
        return None;
    }
    let index = state.random.lock().random_range(0..ready.len());
    Some(ready[index])
}

/// Forwards the packets that balancers return to callers, from the address of the service.
async fn forward_from_balancers(state: &FabricState) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = state.tunnel.recv_from(&mut buffer).await else {
            continue;
        };
        let Some((path, datagram)) = split_entry(&buffer[..length]) else {
            continue;
        };
        let service = state
            .services
            .iter()
            .find(|(address, _)| *address == path.source);
        if let Some((_, socket)) = service {
            let _ = socket
                .send_to(datagram, SocketAddr::V4(path.destination))
                .await;
        }
    }
}
