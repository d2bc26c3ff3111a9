//! Addresses that are used again while balancers act on older rosters.

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
    /// Another process starts at an address.
    Restart { address: u8, is_archive: bool },
    /// A balancer learns the present roster.
    Learn { balancer: usize },
    /// A caller opens a flow.
    Open { balancer: usize, is_archive: bool },
    /// A caller sends a packet of an open flow, to either service's address.
    Send {
        balancer: usize,
        flow: usize,
        is_archive: bool,
    },
}

fn step() -> impl Strategy<Value = FleetStep> {
    use proptest::bool::ANY;
    prop_oneof![
        (1..=ADDRESSES, ANY).prop_map(|(address, is_archive)| FleetStep::Restart {
            address,
            is_archive
        }),
        (0..BALANCERS).prop_map(|balancer| FleetStep::Learn { balancer }),
        (0..BALANCERS, ANY).prop_map(|(balancer, is_archive)| FleetStep::Open {
            balancer,
            is_archive
        }),
        (0..BALANCERS, 0_usize..64, ANY).prop_map(|(balancer, flow, is_archive)| {
            FleetStep::Send {
                balancer,
                flow,
                is_archive,
            }
        }),
    ]
}

struct FleetHost {
    process: ProcessId,
    service: ServiceId,
    gate: HostRouter,
}

impl FleetHost {
    fn start(address: u8, incarnation: u32, service: ServiceId) -> Self {
        let process = fixture::process(address, incarnation);
        Self {
            process,
            service,
            gate: HostRouter::new(service),
        }
    }
}

/// A flow, with the host that holds it and the service that it was opened to.
struct OpenFlow {
    host: ProcessId,
    service: ServiceId,
    token: Vec<u8>,
}

struct FleetModel {
    hosts: Vec<FleetHost>,
    views: Vec<RoutingView>,
    flows: Vec<OpenFlow>,
    starts: u32,
    accepted: u32,
}

fn service(is_archive: bool) -> ServiceId {
    if is_archive { DIPLOMAKLUIS } else { LEERPLEIN }
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
            starts: 1,
            accepted: 0,
        };
        model.views = vec![model.present_view(); BALANCERS];
        model
    }

    fn present_view(&self) -> RoutingView {
        let member =
            |host: &FleetHost| fixture::member(host.process, host.service, MemberState::Alive);
        let members: Vec<_> = self.hosts.iter().map(member).collect();
        fixture::view(&[1], &members)
    }

    fn run(&mut self, step: &FleetStep) {
        match *step {
            FleetStep::Restart {
                address,
                is_archive,
            } => {
                self.starts += 1;
                let host = FleetHost::start(address, self.starts, service(is_archive));
                self.hosts[usize::from(address) - 1] = host;
            }
            FleetStep::Learn { balancer } => self.views[balancer] = self.present_view(),
            FleetStep::Open {
                balancer,
                is_archive,
            } => {
                let name = format!("caller-{}", self.flows.len());
                let packet = fixture::initial_packet(name.as_bytes());
                if let Some(host) = self.deliver(balancer, service(is_archive), &packet) {
                    self.open(host, service(is_archive));
                }
            }
            FleetStep::Send {
                balancer,
                flow,
                is_archive,
            } => self.send(balancer, flow, service(is_archive)),
        }
    }

    fn open(&mut self, host: ProcessId, service: ServiceId) {
        self.flows.push(OpenFlow {
            host,
            service,
            token: fixture::seal(1, service, host, self.flows.len() as u32),
        });
    }

    fn send(&mut self, balancer: usize, flow: usize, target: ServiceId) {
        if self.flows.is_empty() {
            return;
        }
        let flow = &self.flows[flow % self.flows.len()];
        let (host, service) = (flow.host, flow.service);
        let packet = fixture::short_packet(&flow.token);
        let taken = self.deliver(balancer, target, &packet);
        let lives = self.hosts.iter().any(|other| other.process == host);
        let expected = (lives && service == target).then_some(host);
        assert_eq!(taken, expected, "a packet of an open flow");
    }

    /// Carries a packet to the host that takes it, and checks that the host is
    /// one of the service that the packet was sent to.
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
        let taken = self.receive(host, &header, packet, now)?;
        assert_eq!(
            taken.service, target,
            "a host took a packet of another service"
        );
        let taken = taken.process;
        self.accepted += 1;
        Some(taken)
    }

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
            .gate
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
    fn no_packet_reaches_another_service_or_life(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut model = FleetModel::new();
        for step in &steps {
            model.run(step);
        }
    }
}
