//! The state that all components of a host share.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyssopstair_requests::budget::RetryBudget;
use hyssopstair_requests::ledger::LedgerLimits;
use hyssopstair_requests::ledger::TicketLedger;
use hyssopstair_requests::relay::PeerLoads;
use hyssopstair_requests::relay::RelayLog;
use hyssopstair_requests::ticket::TicketKey;
use hyssopstair_requests::ticket::TicketNumber;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::returns::ReturnTable;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_rules::settings::HostSettings;
use hyssopstair_wire::address::ServiceId;
use tokio::sync::Notify;

use crate::control::node::ControlNode;
use crate::control::node::lock;
use crate::host::slots::SlotScheduler;
use crate::host::socket::PacketQueue;
use crate::peer::client::PeerPool;

/// The state that all components of a host share.
#[derive(Debug)]
pub struct HostState {
    /// The roster and the configuration.
    pub node: Arc<ControlNode>,
    /// The address of the backend server.
    pub backend: SocketAddrV4,
    /// Received datagrams that QUIC has not read yet.
    pub packet_queue: PacketQueue,
    /// The slots of the backend server and the requests that wait for one.
    pub scheduler: Mutex<SlotScheduler>,
    /// The tickets that this process has issued, and the outcomes of their requests.
    pub ledger: Mutex<TicketLedger>,
    /// The key that seals and opens tickets.
    pub ticket_key: TicketKey,
    /// Notified when a request with a ticket ends.
    pub ticket_ended: Notify,
    /// Connections for requests to other hosts.
    pub peer_pool: PeerPool,
    /// The loads that other hosts have reported.
    pub peer_loads: Mutex<PeerLoads>,
    /// The budget for requests that are relayed to another host.
    pub retry_budget: Mutex<RetryBudget>,
    /// The numbers of requests that other hosts have relayed, to detect repeated ones.
    pub relay_log: Mutex<RelayLog>,
    /// The number of the last request that was relayed to another host.
    pub last_relay_number: AtomicU64,
    /// Routes received packets. Created once a configuration names the service.
    pub router: OnceLock<HostRouter>,
    /// The balancers through which packets are returned to callers.
    pub return_table: ReturnTable,
    flow_count: AtomicU32,
    draining: AtomicBool,
}

impl HostState {
    /// Creates the state of a host without flows. The numbers of its tickets start at a
    /// random number.
    pub fn new(settings: &HostSettings, node: Arc<ControlNode>) -> Self {
        let first_number = TicketNumber(u64::from(rand::random::<u32>()));
        let ledger = TicketLedger::new(node.process_id(), LedgerLimits::default(), first_number);
        Self {
            backend: settings.backend,
            packet_queue: PacketQueue::default(),
            scheduler: Mutex::default(),
            ledger: Mutex::new(ledger),
            ticket_key: TicketKey::derive(&node.secret),
            ticket_ended: Notify::new(),
            peer_pool: PeerPool::default(),
            peer_loads: Mutex::new(PeerLoads::new(rand::random())),
            retry_budget: Mutex::default(),
            relay_log: Mutex::new(RelayLog::new(node.process_id())),
            last_relay_number: AtomicU64::new(0),
            router: OnceLock::new(),
            return_table: ReturnTable::default(),
            flow_count: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            node,
        }
    }

    /// Returns the rules of the service, or `None` if no configuration names it.
    pub fn service_rule(&self) -> Option<ServiceRule> {
        let view = self.node.view();
        let own_rule = view.own_rule?;
        view.rules.find_service(own_rule.service).cloned()
    }

    /// Returns the ID of the service, or `None` if no configuration names it.
    pub fn service_id(&self) -> Option<ServiceId> {
        self.node.view().own_rule.map(|own_rule| own_rule.service)
    }

    /// Returns the current load.
    pub fn load(&self) -> HostLoad {
        let own_rule = self.node.view().own_rule;
        HostLoad {
            flows: self.flow_count(),
            pending: self.pending_flow_count(),
            limit: own_rule.map_or(0, |own_rule| own_rule.connections),
            draining: self.is_draining(),
        }
    }

    /// Returns the number of open flows.
    pub fn flow_count(&self) -> u32 {
        self.flow_count.load(Ordering::Relaxed)
    }

    /// Returns the number of flows whose handshake is in progress.
    fn pending_flow_count(&self) -> u32 {
        let now = self.node.clock.now();
        self.router
            .get()
            .map_or(0, |router| router.pending_count(now))
    }

    /// Records that a handshake has succeeded or failed. `connection_id` is the connection
    /// ID that the caller chose for its first packets.
    pub fn end_handshake(&self, connection_id: &[u8]) {
        if let Some(router) = self.router.get() {
            router.end_handshake(connection_id);
        }
    }

    /// Increments the number of open flows.
    pub fn add_flow(&self) {
        self.flow_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Decrements the number of open flows.
    pub fn remove_flow(&self) {
        self.flow_count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether the host accepts no new flows and requests, either because the
    /// process is stopping or because the rules drain the host or withdraw its service.
    pub fn is_draining(&self) -> bool {
        let accepts_new_flows = self
            .node
            .view()
            .own_rule
            .is_none_or(|own_rule| own_rule.accepts_new_flows);
        !accepts_new_flows || self.draining.load(Ordering::Relaxed)
    }

    /// Stops accepting new flows and requests. All unused tickets are revoked, so that other
    /// hosts can settle them while this process still answers.
    pub fn start_draining(&self) {
        lock(&self.ledger).revoke_unused();
        self.draining.store(true, Ordering::Relaxed);
    }
}
