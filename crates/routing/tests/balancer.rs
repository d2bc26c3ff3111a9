//! The action of a balancer for each kind of packet.

mod fixture;

use expect_test::expect;
use fixture::DIPLOMAKLUIS;
use fixture::LEERPLEIN;
use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::time::MonotonicTime;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// Routes a packet and formats the action.
fn format_action(
    view: &RoutingView,
    loads: &LoadTable,
    service: ServiceId,
    datagram: &[u8],
) -> String {
    let context = BalancerContext {
        address: fixture::address("10.2.0.1:7000"),
        view,
        loads,
    };
    let now = MonotonicTime::from_millis(1_000);
    match route_packet(&context, &fixture::path(service), datagram, now) {
        RouteAction::Forward { host, header } => {
            let second = header.second.map(|second| {
                let load = second.load.map(|load| load.flows);
                format!("{} load {load:?}", second.process)
            });
            let incarnation = header.incarnation.map(|incarnation| incarnation.0);
            format!("to {host}, incarnation {incarnation:?}, second {second:?}")
        }
        RouteAction::Reset { .. } => "reset".to_owned(),
        RouteAction::Drop(reason) => format!("drop {reason:?}"),
    }
}

fn two_hosts() -> RoutingView {
    let members = [
        fixture::member(fixture::process(1, 5), LEERPLEIN, MemberState::Alive),
        fixture::member(fixture::process(2, 5), LEERPLEIN, MemberState::Alive),
        fixture::member(fixture::process(3, 5), DIPLOMAKLUIS, MemberState::Gone),
    ];
    fixture::view(&[1, 2], &members)
}

#[test]
fn packets_of_open_flows() {
    let view = two_hosts();
    let loads = LoadTable::default();
    let mut lines = Vec::new();
    let mut case = |name: &str, service, datagram: Vec<u8>| {
        let action = format_action(&view, &loads, service, &datagram);
        lines.push(format!("{name}: {action}"));
    };
    let host = fixture::process(1, 5);
    let token = |key, service, host| fixture::seal(key, service, host, 1);
    let newest = token(2, LEERPLEIN, host);
    case("newest key", LEERPLEIN, fixture::short_packet(&newest));
    case(
        "newest key, handshake",
        LEERPLEIN,
        fixture::handshake_packet(&newest),
    );
    let old = token(1, LEERPLEIN, host);
    case("old key", LEERPLEIN, fixture::short_packet(&old));
    let retired = token(3, LEERPLEIN, host);
    case(
        "key not in the ring",
        LEERPLEIN,
        fixture::short_packet(&retired),
    );
    case(
        "address of another service",
        DIPLOMAKLUIS,
        fixture::short_packet(&newest),
    );
    let unknown = token(1, LEERPLEIN, fixture::process(9, 5));
    case(
        "host not yet known",
        LEERPLEIN,
        fixture::short_packet(&unknown),
    );
    let earlier = token(1, LEERPLEIN, fixture::process(1, 4));
    case(
        "earlier incarnation",
        LEERPLEIN,
        fixture::short_packet(&earlier),
    );
    let gone = token(1, DIPLOMAKLUIS, fixture::process(3, 5));
    case("host gone", DIPLOMAKLUIS, fixture::short_packet(&gone));
    case(
        "host gone, handshake",
        DIPLOMAKLUIS,
        fixture::handshake_packet(&gone),
    );
    case("not QUIC", LEERPLEIN, vec![0x40; 5]);
    case(
        "unknown service",
        ServiceId(7),
        fixture::short_packet(&newest),
    );
    expect![[r#"
        newest key: to 10.1.0.1:7000/5, incarnation Some(5), second None
        newest key, handshake: to 10.1.0.1:7000/5, incarnation Some(5), second None
        old key: to 10.1.0.1:7000/5, incarnation Some(5), second None
        key not in the ring: drop ForeignToken
        address of another service: drop WrongService
        host not yet known: to 10.1.0.9:7000/5, incarnation Some(5), second None
        earlier incarnation: reset
        host gone: reset
        host gone, handshake: drop HostGone
        not QUIC: drop Malformed
        unknown service: drop UnknownService"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn packets_that_open_flows() {
    let view = two_hosts();
    let loads = LoadTable::default();
    let packet = fixture::initial_packet(b"caller-1");
    let mut lines = vec![format_action(&view, &loads, LEERPLEIN, &packet)];
    let report = LoadReport {
        flows: 40,
        takes_new: true,
    };
    let received_at = MonotonicTime::from_millis(900);
    loads.record(fixture::process(1, 5), report, received_at);
    loads.record(fixture::process(2, 5), report, received_at);
    lines.push(format_action(&view, &loads, LEERPLEIN, &packet));
    lines.push(format_action(&view, &loads, DIPLOMAKLUIS, &packet));
    expect![[r#"
        to 10.1.0.1:7000/5, incarnation None, second Some("10.1.0.2:7000/5 load None")
        to 10.1.0.1:7000/5, incarnation None, second Some("10.1.0.2:7000/5 load Some(40)")
        drop NoHost"#]]
    .assert_eq(&lines.join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_262),
        failure_persistence: None,
        ..ProptestConfig::with_cases(5_000)
    })]

    /// A caller without a valid token must not be able to direct a packet to an
    /// address that is not a member.
    #[test]
    fn datagram_without_token_goes_only_to_members(
        first in any::<u8>(),
        datagram in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        let view = two_hosts();
        let datagram = [&[first], datagram.as_slice()].concat();
        let loads = LoadTable::default();
        let action = format_action(&view, &loads, LEERPLEIN, &datagram);
        let is_member = action.starts_with("to 10.1.0.1:7000/5, incarnation None")
            || action.starts_with("to 10.1.0.2:7000/5, incarnation None");
        prop_assert!(is_member || action.starts_with("drop"), "{action}");
    }
}
