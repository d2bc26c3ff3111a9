//! Model test of address reuse while balancers route by stale rosters.
//!
//! Another process, possibly of another service, may start at an address that a
//! balancer still associates with the previous one. A packet must then reach neither
//! a host of another service nor another incarnation than the one that holds its flow.

mod fixture;

use fixture::DIPLOMAKLUIS;
use fixture::LEERPLEIN;
use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::host::HostAction;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::time::MonotonicTime;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const ADDRESSES: u8 = 3;
const BALANCERS: usize = 2;

#[derive(Debug, Clone)]
enum FleetStep {
    /// Replaces the process at an address.
    Restart {
        address: u8,
        is_second_service: bool,
    },
    /// Updates the view of a balancer to the current roster.
    UpdateView { balancer: usize },
    /// Opens a flow through a balancer.
    Open {
        balancer: usize,
        is_second_service: bool,
    },
    /// Sends a packet of an open flow to the address of either service.
    Send {
        balancer: usize,
        flow: usize,
        is_second_service: bool,
    },
}

fn step() -> impl Strategy<Value = FleetStep> {
    use proptest::bool::ANY;
    prop_oneof![
        (1..=ADDRESSES, ANY).prop_map(|(address, is_second_service)| FleetStep::Restart {
            address,
            is_second_service
        }),
        (0..BALANCERS).prop_map(|balancer| FleetStep::UpdateView { balancer }),
        (0..BALANCERS, ANY).prop_map(|(balancer, is_second_service)| FleetStep::Open {
            balancer,
            is_second_service
        }),
        (0..BALANCERS, 0_usize..64, ANY).prop_map(|(balancer, flow, is_second_service)| {
            FleetStep::Send {
                balancer,
                flow,
                is_second_service,
            }
        }),
    ]
}

struct FleetHost {
    process: ProcessId,
    service: ServiceId,
    router: HostRouter,
}

impl FleetHost {
    fn start(address: u8, incarnation: u32, service: ServiceId) -> Self {
        let process = fixture::process(address, incarnation);
        Self {
            process,
            service,
            router: HostRouter::new(service),
        }
    }
}

/// A flow with the host that accepted it and the service that it was opened to.
struct OpenFlow {
    host: ProcessId,
    service: ServiceId,
    token: Vec<u8>,
}

struct FleetModel {
    hosts: Vec<FleetHost>,
    views: Vec<RoutingView>,
    flows: Vec<OpenFlow>,
    last_incarnation: u32,
    accepted_packets: u32,
}

fn service(is_second_service: bool) -> ServiceId {
    if is_second_service {
        DIPLOMAKLUIS
    } else {
        LEERPLEIN
    }
}

impl FleetModel {
    fn new() -> Self {
        let hosts = (1..=ADDRESSES)
            .map(|address| FleetHost::start(address, 1, service(address == ADDRESSES)))
            .collect();
        let mut model = Self {
            hosts,
            views: Vec::new(),
            flows: Vec::new(),
            last_incarnation: 1,
            accepted_packets: 0,
        };
        model.views = vec![model.current_view(); BALANCERS];
        model
    }

    fn current_view(&self) -> RoutingView {
        let member =
            |host: &FleetHost| fixture::member(host.process, host.service, MemberState::Alive);
        let members: Vec<_> = self.hosts.iter().map(member).collect();
        fixture::view(&[1], &members)
    }

    fn apply_step(&mut self, step: &FleetStep) {
        match *step {
            FleetStep::Restart {
                address,
                is_second_service,
            } => {
                self.last_incarnation += 1;
                let host =
                    FleetHost::start(address, self.last_incarnation, service(is_second_service));
                self.hosts[usize::from(address) - 1] = host;
            }
            FleetStep::UpdateView { balancer } => self.views[balancer] = self.current_view(),
            FleetStep::Open {
                balancer,
                is_second_service,
            } => {
                let name = format!("caller-{}", self.flows.len());
                let packet = fixture::initial_packet(name.as_bytes());
                if let Some(host) = self.deliver(balancer, service(is_second_service), &packet) {
                    self.record_flow(host, service(is_second_service));
                }
            }
            FleetStep::Send {
                balancer,
                flow,
                is_second_service,
            } => self.send_packet(balancer, flow, service(is_second_service)),
        }
    }

    fn record_flow(&mut self, host: ProcessId, service: ServiceId) {
        self.flows.push(OpenFlow {
            host,
            service,
            token: fixture::seal(1, service, host, self.flows.len() as u32),
        });
    }

    fn send_packet(&mut self, balancer: usize, flow: usize, target: ServiceId) {
        if self.flows.is_empty() {
            return;
        }
        let flow = &self.flows[flow % self.flows.len()];
        let (host, service) = (flow.host, flow.service);
        let packet = fixture::short_packet(&flow.token);
        let receiver = self.deliver(balancer, target, &packet);
        let is_running = self.hosts.iter().any(|other| other.process == host);
        let expected = (is_running && service == target).then_some(host);
        assert_eq!(
            receiver, expected,
            "a packet of an open flow reached the wrong host"
        );
    }

    /// Routes a packet through a balancer and returns the host that accepts it, if
    /// any. Asserts that the host belongs to the service that the packet was sent to.
    fn deliver(&mut self, balancer: usize, target: ServiceId, packet: &[u8]) -> Option<ProcessId> {
        let loads = LoadTable::default();
        let context = BalancerContext {
            address: fixture::address("10.2.0.1:7000"),
            view: &self.views[balancer],
            loads: &loads,
        };
        let now = MonotonicTime::from_millis(1_000);
        let action = route_packet(&context, &fixture::path(target), packet, now);
        let RouteAction::Forward { host, header } = action else {
            return None;
        };
        let receiver = self.receive(host, &header, packet, now)?;
        assert_eq!(
            receiver.service, target,
            "a host accepted a packet of another service"
        );
        let receiver = receiver.process;
        self.accepted_packets += 1;
        Some(receiver)
    }

    /// Returns the host that accepts a packet sent to `host`, following hosts that
    /// pass it on.
    fn receive(
        &self,
        host: ProcessId,
        header: &ForwardHeader,
        packet: &[u8],
        now: MonotonicTime,
    ) -> Option<&FleetHost> {
        let host = self
            .hosts
            .iter()
            .find(|other| other.process.address == host.address)?;
        let load = HostLoad {
            flows: 0,
            pending: 0,
            limit: 100,
            draining: false,
        };
        match host
            .router
            .receive(host.process.incarnation, header, packet, &load, now)
        {
            HostAction::Accept => Some(host),
            HostAction::PassOn { host, header } => self.receive(host, &header, packet, now),
            HostAction::Reset { .. } | HostAction::Drop(_) => None,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_263),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn no_packet_reaches_another_service_or_incarnation(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut model = FleetModel::new();
        for step in &steps {
            model.apply_step(step);
        }
    }
}
