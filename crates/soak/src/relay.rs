//! A relay between the processes, and between each process and the store, that injects
//! faults.
//!
//! Processes send datagrams to the relay's port at the address of their peer. The relay
//! forwards a datagram from the address of its sender, delays it, or drops it. For
//! connections to the store, each process has an address of its own at the relay.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::network::INNER_BIND_PORT;
use crate::network::INNER_PORT;

/// Share of the datagrams that a lossy process loses in each direction, in thousandths.
const LOSS_PERMILLE: u32 = 150;

/// Maximum delay of a datagram of a delayed process, in milliseconds.
const MAX_DELAY_MILLIS: u64 = 120;

/// Faults of the datagrams of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkFaults {
    /// Some datagrams are lost, in both directions.
    pub is_lossy: bool,
    /// All datagrams are delayed, in both directions.
    pub is_delayed: bool,
    /// Datagrams that the process sends are dropped.
    pub drops_outgoing: bool,
    /// Datagrams that others send to the process are dropped.
    pub drops_incoming: bool,
}

/// Fault of the connections of a process to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectionFault {
    /// Connections are forwarded.
    #[default]
    None,
    /// Connections stay open, but nothing that the store sends arrives.
    Silent,
    /// Connections are closed, and so are new ones.
    Reset,
}

/// The relay's socket and faults for one process.
#[derive(Debug)]
struct RelayPort {
    address: Ipv4Addr,
    socket: UdpSocket,
    link_faults: LinkFaults,
    store_fault: watch::Sender<ConnectionFault>,
}

/// The relay for all processes of a run.
#[derive(Debug, Clone)]
pub struct SoakRelay {
    /// Sorted by address.
    ports: Rc<RefCell<Vec<Rc<RefCell<RelayPort>>>>>,
    random: Rc<RefCell<SmallRng>>,
    store_address: SocketAddrV4,
}

impl SoakRelay {
    /// Creates a relay without processes that forwards connections to the store at
    /// `store_address`.
    pub fn new(seed: u64, store_address: SocketAddrV4) -> Self {
        Self {
            ports: Rc::default(),
            random: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
            store_address,
        }
    }

    /// Adds a process whose connections to the store arrive at `store_listen_address`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use.
    pub async fn add_process(
        &self,
        address: Ipv4Addr,
        store_listen_address: SocketAddrV4,
    ) -> std::io::Result<()> {
        let socket = UdpSocket::bind((address, INNER_PORT)).await?;
        let listener = TcpListener::bind(store_listen_address).await?;
        let (store_fault, fault_receiver) = watch::channel(ConnectionFault::None);
        let port = Rc::new(RefCell::new(RelayPort {
            address,
            socket,
            link_faults: LinkFaults::default(),
            store_fault,
        }));
        let mut ports = self.ports.borrow_mut();
        let index = ports.partition_point(|other| other.borrow().address < address);
        ports.insert(index, Rc::clone(&port));
        drop(ports);
        tokio::task::spawn_local(self.clone().relay_datagrams(port));
        tokio::task::spawn_local(relay_connections(
            listener,
            self.store_address,
            fault_receiver,
        ));
        Ok(())
    }

    /// Changes the faults of the datagrams of a process.
    pub fn update_link_faults(&self, address: Ipv4Addr, change: impl FnOnce(&mut LinkFaults)) {
        if let Some(port) = self.find_port(address) {
            change(&mut port.borrow_mut().link_faults);
        }
    }

    /// Sets the fault of the connections of a process to the store.
    pub fn set_store_fault(&self, address: Ipv4Addr, fault: ConnectionFault) {
        if let Some(port) = self.find_port(address) {
            port.borrow().store_fault.send_replace(fault);
        }
    }

    fn find_port(&self, address: Ipv4Addr) -> Option<Rc<RefCell<RelayPort>>> {
        let ports = self.ports.borrow();
        let index = ports
            .binary_search_by_key(&address, |port| port.borrow().address)
            .ok()?;
        Some(Rc::clone(&ports[index]))
    }

    /// Receives the datagrams for a process and forwards them.
    async fn relay_datagrams(self, port: Rc<RefCell<RelayPort>>) {
        let mut buffer = [0; 2_048];
        loop {
            // The port is borrowed only while polling, because its faults change meanwhile.
            let received = std::future::poll_fn(|context| {
                let mut read_buffer = tokio::io::ReadBuf::new(&mut buffer);
                let port = port.borrow();
                port.socket
                    .poll_recv_from(context, &mut read_buffer)
                    .map_ok(|sender_address| (read_buffer.filled().len(), sender_address))
            });
            // An error means that an earlier datagram was sent to a port that is not bound.
            let Ok((length, sender_address)) = received.await else {
                continue;
            };
            let IpAddr::V4(sender_address) = sender_address.ip() else {
                continue;
            };
            self.forward_datagram(sender_address, &port, &buffer[..length]);
        }
    }

    /// Forwards a datagram, unless a fault of its sender or receiver drops it.
    fn forward_datagram(
        &self,
        sender_address: Ipv4Addr,
        receiver: &Rc<RefCell<RelayPort>>,
        bytes: &[u8],
    ) {
        let Some(sender) = self.find_port(sender_address) else {
            return;
        };
        let (sender_faults, receiver_faults) =
            (sender.borrow().link_faults, receiver.borrow().link_faults);
        if sender_faults.drops_outgoing || receiver_faults.drops_incoming {
            return;
        }
        let mut random = self.random.borrow_mut();
        let is_lossy = sender_faults.is_lossy || receiver_faults.is_lossy;
        if is_lossy && random.random_range(0..1_000) < LOSS_PERMILLE {
            return;
        }
        let target = (receiver.borrow().address, INNER_BIND_PORT);
        if !(sender_faults.is_delayed || receiver_faults.is_delayed) {
            // A datagram that cannot be sent counts as lost.
            let _ = sender.borrow().socket.try_send_to(bytes, target.into());
            return;
        }
        let delay = Duration::from_millis(random.random_range(0..=MAX_DELAY_MILLIS));
        let bytes = bytes.to_vec();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            let _ = sender.borrow().socket.try_send_to(&bytes, target.into());
        });
    }
}

/// Accepts the connections of a process to the store and relays each of them.
async fn relay_connections(
    listener: TcpListener,
    store_address: SocketAddrV4,
    fault_receiver: watch::Receiver<ConnectionFault>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *fault_receiver.borrow() == ConnectionFault::Reset {
            continue;
        }
        tokio::task::spawn_local(relay_connection(
            stream,
            store_address,
            fault_receiver.clone(),
        ));
    }
}

/// Relays a connection to the store until it is closed or a fault resets it.
async fn relay_connection(
    mut process_stream: TcpStream,
    store_address: SocketAddrV4,
    fault_receiver: watch::Receiver<ConnectionFault>,
) {
    let Ok(mut store_stream) = TcpStream::connect(store_address).await else {
        return;
    };
    let (mut process_reader, mut process_writer) = process_stream.split();
    let (mut store_reader, mut store_writer) = store_stream.split();
    let upstream = copy(&mut process_reader, &mut store_writer);
    let downstream = async {
        let mut buffer = [0; 4_096];
        loop {
            let length = store_reader.read(&mut buffer).await.unwrap_or(0);
            if length == 0 {
                return;
            }
            if *fault_receiver.borrow() == ConnectionFault::Silent {
                // A connection that has lost data stays silent after the fault ends.
                std::future::pending::<()>().await;
            }
            if process_writer.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    };
    let mut reset_receiver = fault_receiver.clone();
    let reset = reset_receiver.wait_for(|fault| *fault == ConnectionFault::Reset);
    tokio::select! {
        _ = upstream => {}
        () = downstream => {}
        _ = reset => {}
    }
}
