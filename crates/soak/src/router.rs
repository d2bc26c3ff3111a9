//! A stand-in for the routers that send the packets of callers to balancers.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use hyssopstair_flows::ranking::hash_flow;
use hyssopstair_flows::ranking::rank_hosts;
use hyssopstair_wire::carried::FlowKey;
use tokio::time::sleep;

use crate::http_call::send_http_request;
use crate::network::READINESS_PORT;

/// Time between two readiness probes of a balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Consecutive failed probes after which a balancer gets no more packets.
const MAX_FAILED_PROBES: u8 = 2;

/// The routers in front of the balancers.
#[derive(Debug, Clone)]
pub struct SoakRouter {
    /// Balancers with their numbers of consecutive failed probes.
    balancers: Rc<RefCell<Vec<(Ipv4Addr, u8)>>>,
    /// Whether flows are assigned by their hash modulo the number of ready balancers,
    /// instead of by rendezvous hashing.
    uses_modulo_hashing: bool,
}

impl SoakRouter {
    /// Creates routers that consider no balancer ready yet.
    pub fn new(balancers: &[Ipv4Addr], uses_modulo_hashing: bool) -> Self {
        let balancers = balancers
            .iter()
            .map(|address| (*address, MAX_FAILED_PROBES))
            .collect();
        Self {
            balancers: Rc::new(RefCell::new(balancers)),
            uses_modulo_hashing,
        }
    }

    /// Starts to probe the balancers.
    pub fn start_probes(&self) {
        let count = self.balancers.borrow().len();
        for index in 0..count {
            tokio::task::spawn_local(self.clone().probe_balancer(index));
        }
    }

    /// Returns the balancer to which the packets of a flow are sent now, or `None` if
    /// there are no balancers. If less than half of the balancers are ready, readiness is
    /// ignored.
    pub fn select_balancer(&self, flow: &FlowKey) -> Option<Ipv4Addr> {
        let balancers = self.balancers.borrow();
        let mut ready: Vec<Ipv4Addr> = balancers
            .iter()
            .filter(|(_, failed_probes)| *failed_probes < MAX_FAILED_PROBES)
            .map(|(address, _)| *address)
            .collect();
        if ready.len() * 2 < balancers.len() {
            ready = balancers.iter().map(|(address, _)| *address).collect();
        }
        let hash = hash_flow(flow);
        if self.uses_modulo_hashing {
            return ready.get(hash as usize % ready.len().max(1)).copied();
        }
        rank_hosts(hash, &mut ready);
        ready.first().copied()
    }

    /// Probes a balancer until the task is aborted.
    async fn probe_balancer(self, index: usize) {
        loop {
            let address = self.balancers.borrow()[index].0;
            let endpoint = SocketAddrV4::new(address, READINESS_PORT);
            let response = send_http_request(
                endpoint,
                Method::GET,
                "/readyz",
                String::new(),
                PROBE_TIMEOUT,
            )
            .await;
            let is_ready = response.is_some_and(|(status, _)| status == 200);
            self.record_probe(index, is_ready);
            sleep(PROBE_INTERVAL).await;
        }
    }

    fn record_probe(&self, index: usize, is_ready: bool) {
        let failed_probes = &mut self.balancers.borrow_mut()[index].1;
        *failed_probes = if is_ready {
            0
        } else {
            failed_probes.saturating_add(1)
        };
    }
}
