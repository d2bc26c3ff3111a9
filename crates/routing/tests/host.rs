//! The action of a host for each kind of packet.

mod fixture;

use expect_test::expect;
use fixture::DIPLOMAKLUIS;
use fixture::LEERPLEIN;
use hyssopstair_routing::host::HandoverMargin;
use hyssopstair_routing::host::HostAction;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::packet::SecondHost;
use hyssopstair_wire::time::MonotonicTime;

const OWN_INCARNATION: HostIncarnation = HostIncarnation(5);
const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn router() -> HostRouter {
    let margin = HandoverMargin {
        flows: 4,
        percent: 0,
    };
    HostRouter::with_margin(LEERPLEIN, margin)
}

fn load(flows: u32) -> HostLoad {
    HostLoad {
        flows,
        pending: 0,
        limit: 100,
        draining: false,
    }
}

fn draining() -> HostLoad {
    HostLoad {
        draining: true,
        ..load(0)
    }
}

/// Returns the header of a packet that opens a flow, with a second host that has
/// reported the given load.
fn opening_header(second: Option<LoadReport>) -> ForwardHeader {
    ForwardHeader {
        second: Some(SecondHost {
            process: fixture::process(2, 5),
            weight: 100,
            first_weight: 100,
            load: second,
        }),
        ..fixture::header(LEERPLEIN)
    }
}

fn report(flows: u32) -> Option<LoadReport> {
    Some(LoadReport {
        flows,
        takes_new: true,
    })
}

fn format_action(action: &HostAction<'_>) -> String {
    match action {
        HostAction::Accept => "accept".to_owned(),
        HostAction::PassOn { host, header } => {
            format!("pass on to {host}, hops {}", header.hops)
        }
        HostAction::Reset { .. } => "reset".to_owned(),
        HostAction::Drop(reason) => format!("drop {reason:?}"),
    }
}

#[test]
fn packets_of_open_flows() {
    let router = router();
    let token = fixture::seal(1, LEERPLEIN, fixture::process(1, 5), 1);
    let short = fixture::short_packet(&token);
    let handshake = fixture::handshake_packet(&token);
    let mut lines = Vec::new();
    let mut case = |name: &str, incarnation: u32, service, datagram: &[u8]| {
        let header = ForwardHeader {
            incarnation: Some(HostIncarnation(incarnation)),
            ..fixture::header(service)
        };
        let action = router.receive(OWN_INCARNATION, &header, datagram, &draining(), NOW);
        lines.push(format!("{name}: {}", format_action(&action)));
    };
    case("current incarnation, while draining", 5, LEERPLEIN, &short);
    case("earlier incarnation", 4, LEERPLEIN, &short);
    case("earlier incarnation, handshake", 4, LEERPLEIN, &handshake);
    case("later incarnation", 6, LEERPLEIN, &short);
    case("another service", 5, DIPLOMAKLUIS, &short);
    case("not QUIC", 5, LEERPLEIN, &[0x40]);
    expect![[r#"
        current incarnation, while draining: accept
        earlier incarnation: reset
        earlier incarnation, handshake: drop WrongIncarnation
        later incarnation: drop WrongIncarnation
        another service: drop WrongService
        not QUIC: drop Malformed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn packets_that_open_flows() {
    let mut lines = Vec::new();
    let mut case = |name: &str, header: &ForwardHeader, load: HostLoad| {
        let packet = fixture::initial_packet(name.as_bytes());
        let router = router();
        let action = format_action(&router.receive(OWN_INCARNATION, header, &packet, &load, NOW));
        lines.push(format!("{name}: {action}"));
    };
    let no_second = fixture::header(LEERPLEIN);
    case("no second host", &no_second, load(99));
    case("no second host, full", &no_second, load(100));
    case("no second host, draining", &no_second, draining());
    case(
        "load of second host unknown",
        &opening_header(None),
        load(99),
    );
    case("within the margin", &opening_header(report(10)), load(14));
    case("over the margin", &opening_header(report(10)), load(15));
    case("full", &opening_header(report(100)), load(100));
    case("draining", &opening_header(None), draining());
    let no_new_flows = LoadReport {
        flows: 0,
        takes_new: false,
    };
    case(
        "second host accepts no flows",
        &opening_header(Some(no_new_flows)),
        load(50),
    );
    case(
        "neither host accepts flows",
        &opening_header(Some(no_new_flows)),
        draining(),
    );
    let passed = ForwardHeader {
        hops: 1,
        ..no_second
    };
    case("passed on", &passed, load(99));
    case("passed on, full", &passed, load(100));
    case(
        "passed on twice",
        &ForwardHeader {
            hops: 2,
            ..no_second
        },
        load(0),
    );
    case("another service", &fixture::header(DIPLOMAKLUIS), load(0));
    let mut half_weight = opening_header(report(10));
    half_weight.second.as_mut().unwrap().weight = 50;
    case(
        "within the margin, second host has half the weight",
        &half_weight,
        load(28),
    );
    case(
        "over the margin, second host has half the weight",
        &half_weight,
        load(29),
    );
    expect![[r#"
        no second host: accept
        no second host, full: drop Full
        no second host, draining: drop Full
        load of second host unknown: accept
        within the margin: accept
        over the margin: pass on to 10.1.0.2:7000/5, hops 1
        full: pass on to 10.1.0.2:7000/5, hops 1
        draining: pass on to 10.1.0.2:7000/5, hops 1
        second host accepts no flows: accept
        neither host accepts flows: drop Full
        passed on: accept
        passed on, full: drop Full
        passed on twice: accept
        another service: drop WrongService
        within the margin, second host has half the weight: accept
        over the margin, second host has half the weight: pass on to 10.1.0.2:7000/5, hops 1"#]]
    .assert_eq(&lines.join("\n"));
}

/// All packets of a handshake must go to the host of the first one, even if the
/// load changes in between; otherwise the handshake fails.
#[test]
fn decision_is_remembered_for_the_handshake() {
    let router = router();
    let packet = fixture::initial_packet(b"caller-1");
    let mut lines = Vec::new();
    let mut at = |millis: u64, header: &ForwardHeader, load: HostLoad| {
        let now = MonotonicTime::from_millis(millis);
        let action = router.receive(OWN_INCARNATION, header, &packet, &load, now);
        lines.push(format!("{millis} ms: {}", format_action(&action)));
    };
    at(1_000, &opening_header(report(0)), load(50));
    at(1_500, &opening_header(report(99)), load(0));
    at(20_000, &opening_header(None), load(0));
    at(40_000, &opening_header(None), load(0));
    at(40_500, &opening_header(report(0)), draining());
    expect![[r#"
        1000 ms: pass on to 10.1.0.2:7000/5, hops 1
        1500 ms: pass on to 10.1.0.2:7000/5, hops 1
        20000 ms: pass on to 10.1.0.2:7000/5, hops 1
        40000 ms: accept
        40500 ms: accept"#]]
    .assert_eq(&lines.join("\n"));
}

/// A draining host may pass on a packet to a host that has already handed over the
/// other packets of the handshake. The packet must follow them to the third host;
/// otherwise the handshake is split between two hosts.
#[test]
fn handshake_stays_together_behind_a_draining_host() {
    let draining_host = router();
    let passing_host = HostRouter::new(LEERPLEIN);
    let packet = fixture::initial_packet(b"caller-1");
    let mut direct = opening_header(report(0));
    direct.second.as_mut().unwrap().process = fixture::process(3, 5);
    let first = passing_host.receive(OWN_INCARNATION, &direct, &packet, &load(50), NOW);
    let header = opening_header(None);
    let HostAction::PassOn { header, .. } =
        draining_host.receive(OWN_INCARNATION, &header, &packet, &draining(), NOW)
    else {
        panic!("the draining host must pass the packet on");
    };
    let later = passing_host.receive(OWN_INCARNATION, &header, &packet, &load(50), NOW);
    let HostAction::PassOn { header, .. } = later else {
        panic!("the host must apply its earlier decision");
    };
    let last_host = HostRouter::new(LEERPLEIN);
    let last = last_host.receive(OWN_INCARNATION, &header, &packet, &load(0), NOW);
    let lines = [
        format_action(&first),
        format_action(&later),
        format_action(&last),
    ];
    expect![[r#"
        pass on to 10.1.0.3:7000/5, hops 1
        pass on to 10.1.0.3:7000/5, hops 2
        accept"#]]
    .assert_eq(&lines.join("\n"));
}

/// A host may hand a flow over to a draining host because it has not yet learned of
/// the drain. The draining host sends the flow back; the first host must then accept
/// it, including its later packets, instead of passing them on in a loop.
#[test]
fn flow_handed_to_a_draining_host_returns() {
    let first_host = HostRouter::new(LEERPLEIN);
    let draining_host = router();
    let packet = fixture::initial_packet(b"caller-1");
    let direct = opening_header(report(0));
    let mut lines = Vec::new();
    let action = first_host.receive(OWN_INCARNATION, &direct, &packet, &load(50), NOW);
    lines.push(format_action(&action));
    let HostAction::PassOn { mut header, .. } = action else {
        panic!("the busier host must hand the flow over");
    };
    header.second = opening_header(report(50)).second;
    header.second.as_mut().unwrap().process = fixture::process(1, 5);
    let action = draining_host.receive(OWN_INCARNATION, &header, &packet, &draining(), NOW);
    lines.push(format_action(&action));
    let HostAction::PassOn { header, .. } = action else {
        panic!("the draining host must send the flow back");
    };
    lines.push(format_action(&first_host.receive(
        OWN_INCARNATION,
        &header,
        &packet,
        &load(50),
        NOW,
    )));
    lines.push(format_action(&first_host.receive(
        OWN_INCARNATION,
        &direct,
        &packet,
        &load(50),
        NOW,
    )));
    expect![[r#"
        pass on to 10.1.0.2:7000/5, hops 1
        pass on to 10.1.0.1:7000/5, hops 2
        accept
        accept"#]]
    .assert_eq(&lines.join("\n"));
}

/// A host whose clock was set back starts with a lower incarnation than the
/// previous process at its address, and raises it on learning of that process.
/// Packets must be checked against the raised incarnation from then on.
#[test]
fn raised_incarnation_applies_at_once() {
    let router = router();
    let raised = HostIncarnation(9);
    let token = fixture::seal(1, LEERPLEIN, fixture::process(1, raised.0), 1);
    let header = ForwardHeader {
        incarnation: Some(raised),
        ..fixture::header(LEERPLEIN)
    };
    let packet = fixture::short_packet(&token);
    let before = router.receive(OWN_INCARNATION, &header, &packet, &load(0), NOW);
    let after = router.receive(raised, &header, &packet, &load(0), NOW);
    expect!["drop WrongIncarnation, accept"].assert_eq(&format!(
        "{}, {}",
        format_action(&before),
        format_action(&after)
    ));
}

/// A handshake counts as pending from its first packet until it ends or expires.
/// Retransmissions, flows that were handed over and repeated ends must not change
/// the count, nor must the late end of an expired handshake whose slot was reused.
#[test]
fn handshakes_count_as_load() {
    let router = router();
    let mut lines = Vec::new();
    let mut record = |name: &str, millis: u64| {
        let now = MonotonicTime::from_millis(millis);
        lines.push(format!(
            "{name}, {millis} ms: {} pending",
            router.pending_count(now)
        ));
    };
    let open = |connection_id: &[u8], header: &ForwardHeader, millis: u64| {
        let packet = fixture::initial_packet(connection_id);
        let now = MonotonicTime::from_millis(millis);
        router.receive(OWN_INCARNATION, header, &packet, &load(50), now);
    };
    let no_second = fixture::header(LEERPLEIN);
    record("no flow", 900);
    open(b"caller-1", &no_second, 1_000);
    open(b"caller-2", &no_second, 1_001);
    open(b"caller-3", &no_second, 2_000);
    record("three opened", 2_000);
    open(b"caller-1", &no_second, 2_001);
    record("one retransmitted", 2_001);
    open(b"caller-4", &opening_header(report(0)), 2_002);
    record("one handed over", 2_002);
    router.end_handshake(b"caller-1");
    router.end_handshake(b"caller-1");
    router.end_handshake(b"caller-4");
    router.end_handshake(b"caller-9");
    record("one ended", 2_003);
    record("before expiry", 4_900);
    record("one expired", 5_000);
    record("both expired", 6_000);
    open(b"caller-5", &no_second, 9_100);
    router.end_handshake(b"caller-3");
    record("slot reused", 9_100);
    expect![[r#"
        no flow, 900 ms: 0 pending
        three opened, 2000 ms: 3 pending
        one retransmitted, 2001 ms: 3 pending
        one handed over, 2002 ms: 3 pending
        one ended, 2003 ms: 2 pending
        before expiry, 4900 ms: 2 pending
        one expired, 5000 ms: 1 pending
        both expired, 6000 ms: 0 pending
        slot reused, 9100 ms: 1 pending"#]]
    .assert_eq(&lines.join("\n"));
}

/// Pending handshakes count when hosts are compared, but not against the limit.
#[test]
fn comparison_counts_handshakes() {
    let mut lines = Vec::new();
    let mut case = |name: &str, header: &ForwardHeader, flows: u32, pending: u32| {
        let packet = fixture::initial_packet(name.as_bytes());
        let load = HostLoad {
            pending,
            ..load(flows)
        };
        let action = format_action(&router().receive(OWN_INCARNATION, header, &packet, &load, NOW));
        lines.push(format!("{name}: {action}, {:?}", load.report()));
    };
    case("within the margin", &opening_header(report(10)), 10, 4);
    case("over the margin", &opening_header(report(10)), 10, 5);
    case("below the limit", &fixture::header(LEERPLEIN), 99, 500);
    case("at the limit", &fixture::header(LEERPLEIN), 100, 0);
    expect![[r#"
        within the margin: accept, LoadReport { flows: 14, takes_new: true }
        over the margin: pass on to 10.1.0.2:7000/5, hops 1, LoadReport { flows: 15, takes_new: true }
        below the limit: accept, LoadReport { flows: 599, takes_new: true }
        at the limit: drop Full, LoadReport { flows: 100, takes_new: false }"#]].assert_eq(&lines.join("\n"));
}
