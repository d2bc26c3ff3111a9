//! A stand-in for the network fabric: takes datagrams of callers at the
//! addresses of services and sprays them over the balancers that are ready,
//! each packet on its own.

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

/// Time between two looks at the readiness of a balancer.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the answer of a balancer.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest datagram in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// Longest delay of a packet that is reordered.
const MAX_REORDER: Duration = Duration::from_millis(5);

/// A balancer that the fabric may send to.
#[derive(Debug, Clone, Copy)]
pub struct FabricBalancer {
    /// Where it takes packets.
    pub entry: SocketAddrV4,
    /// Where it reports readiness.
    pub admin: SocketAddrV4,
}

/// How the fabric treats packets; shares from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct FabricFaults {
    /// Share that is lost.
    pub loss: f64,
    /// Share that is sent twice.
    pub duplicate: f64,
    /// Share that is delayed by up to 5 ms.
    pub reorder: f64,
}

/// What the fabric is started with.
#[derive(Debug, Clone)]
pub struct FabricPlan {
    /// Where the fabric talks to balancers.
    pub tunnel: SocketAddrV4,
    /// The addresses of services.
    pub services: Vec<SocketAddrV4>,
    /// All balancers that there may be.
    pub balancers: Vec<FabricBalancer>,
    /// How packets are treated.
    pub faults: FabricFaults,
    /// Seed of the random choices.
    pub seed: u64,
}

struct FabricState {
    tunnel: UdpSocket,
    services: Vec<(SocketAddrV4, UdpSocket)>,
    ready: Mutex<Vec<SocketAddrV4>>,
    random: Mutex<StdRng>,
    faults: FabricFaults,
}

/// Runs the fabric until the process ends.
///
/// # Errors
///
/// Returns an error when an address is in use.
pub async fn run(plan: FabricPlan) -> std::io::Result<()> {
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
        tokio::spawn(watch_balancer(state.clone(), balancer));
    }
    for index in 0..state.services.len() {
        tokio::spawn(read_callers(state.clone(), index));
    }
    read_balancers(&state).await;
    Ok(())
}

/// Opens a socket that holds a burst of datagrams, as a fabric does.
async fn open_socket(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    const BUFFER_LENGTH: usize = 4 << 20;
    let socket = UdpSocket::bind(address).await?;
    let _ = SockRef::from(&socket).set_recv_buffer_size(BUFFER_LENGTH);
    Ok(socket)
}

async fn watch_balancer(state: Arc<FabricState>, balancer: FabricBalancer) {
    let client = reqwest::Client::builder()
        .timeout(READY_TIMEOUT)
        .build()
        .unwrap_or_default();
    let url = format!("http://{}/ready", balancer.admin);
    loop {
        let answer = client.get(&url).send().await;
        let is_ready = answer.is_ok_and(|answer| answer.status().is_success());
        set_ready(&state, balancer.entry, is_ready);
        tokio::time::sleep(READY_INTERVAL).await;
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

async fn read_callers(state: Arc<FabricState>, index: usize) {
    let mut buffer = vec![0; MAX_DATAGRAM];
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
        for _ in 0..copies(&state) {
            spray(&state, packet.clone()).await;
        }
    }
}

fn copies(state: &FabricState) -> usize {
    let mut random = state.random.lock();
    if random.random_bool(state.faults.loss) {
        return 0;
    }
    1 + usize::from(random.random_bool(state.faults.duplicate))
}

async fn spray(state: &Arc<FabricState>, packet: Vec<u8>) {
    let Some(balancer) = pick_balancer(state) else {
        return;
    };
    let delay = {
        let mut random = state.random.lock();
        let late = random.random_bool(state.faults.reorder);
        late.then(|| MAX_REORDER.mul_f64(random.random_range(0.0..1.0)))
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

fn pick_balancer(state: &FabricState) -> Option<SocketAddrV4> {
    let ready = state.ready.lock();
    if ready.is_empty() {
        return None;
    }
    let index = state.random.lock().random_range(0..ready.len());
    Some(ready[index])
}

async fn read_balancers(state: &FabricState) {
    let mut buffer = vec![0; MAX_DATAGRAM];
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
