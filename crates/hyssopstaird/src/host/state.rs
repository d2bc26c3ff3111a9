//! The state that the parts of a host share.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use hyssopstair_requests::admission::AdmissionState;
use hyssopstair_routing::host::HostGate;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::ReturnTable;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_rules::settings::HostSettings;
use hyssopstair_wire::address::ServiceId;

use crate::control::node::ControlNode;
use crate::host::socket::PacketQueue;

/// Locks that callers' return paths are spread over.
const RETURN_SHARDS: usize = 16;

/// The state that the parts of a host share.
#[derive(Debug)]
pub struct HostState {
    /// Members and configuration.
    pub node: Arc<ControlNode>,
    /// The address of the backend server.
    pub backend: SocketAddrV4,
    /// Packets on their way to QUIC.
    pub queue: PacketQueue,
    /// Requests that run.
    pub admission: Mutex<AdmissionState>,
    /// The decisions about packets, from the time that the service is known.
    pub gate: Mutex<Option<HostGate>>,
    name: String,
    returns: Vec<Mutex<ReturnTable>>,
    flows: AtomicU32,
    draining: AtomicBool,
}

impl HostState {
    /// Creates the state.
    pub fn new(settings: &HostSettings, node: Arc<ControlNode>) -> Self {
        Self {
            node,
            backend: settings.backend,
            queue: PacketQueue::default(),
            admission: Mutex::default(),
            gate: Mutex::default(),
            name: settings.service.clone(),
            returns: (0..RETURN_SHARDS).map(|_| Mutex::default()).collect(),
            flows: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Returns the rules of the service, when a configuration names it.
    pub fn service(&self) -> Option<ServiceRule> {
        self.node.view().rules.service_named(&self.name).cloned()
    }

    /// Returns the number of the service, when a configuration names it.
    pub fn service_id(&self) -> Option<ServiceId> {
        let view = self.node.view();
        view.rules
            .service_named(&self.name)
            .map(|service| service.id)
    }

    /// Returns the return paths that a caller's belongs to.
    pub fn returns(&self, caller: SocketAddrV4) -> &Mutex<ReturnTable> {
        let shard = usize::from(caller.port()) % RETURN_SHARDS;
        &self.returns[shard]
    }

    /// Notes that a balancer does not answer.
    pub fn lose_balancer(&self, address: SocketAddrV4) {
        for table in &self.returns {
            crate::control::node::lock(table).lose_balancer(address);
        }
    }

    /// Returns the present load.
    pub fn load(&self) -> HostLoad {
        let limit = self.service().map_or(0, |service| service.connections);
        HostLoad {
            flows: self.flows(),
            limit,
            draining: self.is_draining(),
        }
    }

    /// Returns the number of open flows.
    pub fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Counts a flow that opens.
    pub fn open_flow(&self) {
        self.flows.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a flow that ends.
    pub fn close_flow(&self) {
        self.flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether the host takes nothing new.
    pub fn is_draining(&self) -> bool {
        let rules = self.node.view().rules.clone();
        let takes_new = rules
            .service_named(&self.name)
            .is_none_or(|service| rules.takes_new(service.id, self.node.me().address));
        !takes_new || self.draining.load(Ordering::Relaxed)
    }

    /// Takes nothing new from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }
}
