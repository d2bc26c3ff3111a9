//! What a host does with each kind of packet.

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

const ME: HostIncarnation = HostIncarnation(5);
const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn gate() -> HostRouter {
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

/// A header whose second host has the given load.
fn opening(second: Option<LoadReport>) -> ForwardHeader {
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

fn show(action: &HostAction<'_>) -> String {
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
    let gate = gate();
    let token = fixture::seal(1, LEERPLEIN, fixture::process(1, 5), 1);
    let short = fixture::short_packet(&token);
    let handshake = fixture::handshake_packet(&token);
    let mut lines = Vec::new();
    let mut case = |name: &str, incarnation: u32, service, datagram: &[u8]| {
        let header = ForwardHeader {
            incarnation: Some(HostIncarnation(incarnation)),
            ..fixture::header(service)
        };
        let action = gate.receive(ME, &header, datagram, &draining(), NOW);
        lines.push(format!("{name}: {}", show(&action)));
    };
    case("this life, while draining", 5, LEERPLEIN, &short);
    case("earlier life", 4, LEERPLEIN, &short);
    case("earlier life, handshake", 4, LEERPLEIN, &handshake);
    case("later life", 6, LEERPLEIN, &short);
    case("another service", 5, DIPLOMAKLUIS, &short);
    case("no QUIC", 5, LEERPLEIN, &[0x40]);
    expect![[r#"
        this life, while draining: accept
        earlier life: reset
        earlier life, handshake: drop WrongIncarnation
        later life: drop WrongIncarnation
        another service: drop WrongService
        no QUIC: drop Malformed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn packets_that_open_flows() {
    let mut lines = Vec::new();
    let mut case = |name: &str, header: &ForwardHeader, load: HostLoad| {
        let packet = fixture::initial_packet(name.as_bytes());
        let gate = gate();
        let action = show(&gate.receive(ME, header, &packet, &load, NOW));
        lines.push(format!("{name}: {action}"));
    };
    let alone = fixture::header(LEERPLEIN);
    case("alone", &alone, load(99));
    case("alone, full", &alone, load(100));
    case("alone, draining", &alone, draining());
    case("second unknown", &opening(None), load(99));
    case("within the margin", &opening(report(10)), load(14));
    case("over the margin", &opening(report(10)), load(15));
    case("full", &opening(report(100)), load(100));
    case("draining", &opening(None), draining());
    let closed = LoadReport {
        flows: 0,
        takes_new: false,
    };
    case("second closed", &opening(Some(closed)), load(50));
    case("both closed", &opening(Some(closed)), draining());
    let passed = ForwardHeader { hops: 1, ..alone };
    case("passed on", &passed, load(99));
    case("passed on, full", &passed, load(100));
    case(
        "passed on twice",
        &ForwardHeader { hops: 2, ..alone },
        load(0),
    );
    case("another service", &fixture::header(DIPLOMAKLUIS), load(0));
    let mut half = opening(report(10));
    half.second.as_mut().unwrap().weight = 50;
    case("second of half the weight", &half, load(28));
    case("over half the weight", &half, load(29));
    expect![[r#"
        alone: accept
        alone, full: drop Full
        alone, draining: drop Full
        second unknown: accept
        within the margin: accept
        over the margin: pass on to 10.1.0.2:7000/5, hops 1
        full: pass on to 10.1.0.2:7000/5, hops 1
        draining: pass on to 10.1.0.2:7000/5, hops 1
        second closed: accept
        both closed: drop Full
        passed on: accept
        passed on, full: drop Full
        passed on twice: accept
        another service: drop WrongService
        second of half the weight: accept
        over half the weight: pass on to 10.1.0.2:7000/5, hops 1"#]]
    .assert_eq(&lines.join("\n"));
}

/// All packets of a handshake follow its first one, whatever the load does.
#[test]
fn decision_is_remembered_for_the_handshake() {
    let gate = gate();
    let packet = fixture::initial_packet(b"caller-1");
    let mut lines = Vec::new();
    let mut at = |millis: u64, header: &ForwardHeader, load: HostLoad| {
        let now = MonotonicTime::from_millis(millis);
        let action = gate.receive(ME, header, &packet, &load, now);
        lines.push(format!("{millis} ms: {}", show(&action)));
    };
    at(1_000, &opening(report(0)), load(50));
    at(1_500, &opening(report(99)), load(0));
    at(20_000, &opening(None), load(0));
    at(40_000, &opening(None), load(0));
    at(40_500, &opening(report(0)), draining());
    expect![[r#"
        1000 ms: pass on to 10.1.0.2:7000/5, hops 1
        1500 ms: pass on to 10.1.0.2:7000/5, hops 1
        20000 ms: pass on to 10.1.0.2:7000/5, hops 1
        40000 ms: accept
        40500 ms: accept"#]]
    .assert_eq(&lines.join("\n"));
}

/// A draining host may pass on a packet to a host that has passed on the rest
/// of the handshake before.
#[test]
fn handshake_stays_together_behind_a_draining_host() {
    let draining_host = gate();
    let passing_host = HostRouter::new(LEERPLEIN);
    let packet = fixture::initial_packet(b"caller-1");
    let mut direct = opening(report(0));
    direct.second.as_mut().unwrap().process = fixture::process(3, 5);
    let first = passing_host.receive(ME, &direct, &packet, &load(50), NOW);
    let header = opening(None);
    let HostAction::PassOn { header, .. } =
        draining_host.receive(ME, &header, &packet, &draining(), NOW)
    else {
        panic!("a draining host passes on");
    };
    let later = passing_host.receive(ME, &header, &packet, &load(50), NOW);
    let HostAction::PassOn { header, .. } = later else {
        panic!("the decision is remembered");
    };
    let last_host = HostRouter::new(LEERPLEIN);
    let last = last_host.receive(ME, &header, &packet, &load(0), NOW);
    let lines = [show(&first), show(&later), show(&last)];
    expect![[r#"
        pass on to 10.1.0.3:7000/5, hops 1
        pass on to 10.1.0.3:7000/5, hops 2
        accept"#]]
    .assert_eq(&lines.join("\n"));
}

/// A host that leaves may be handed a flow by one that has not heard of it: the
/// flow returns and stays, for later packets too.
#[test]
fn flow_handed_to_a_leaving_host_returns() {
    let first_host = HostRouter::new(LEERPLEIN);
    let leaving_host = gate();
    let packet = fixture::initial_packet(b"caller-1");
    let direct = opening(report(0));
    let mut lines = Vec::new();
    let action = first_host.receive(ME, &direct, &packet, &load(50), NOW);
    lines.push(show(&action));
    let HostAction::PassOn { mut header, .. } = action else {
        panic!("a busier host hands over");
    };
    header.second = opening(report(50)).second;
    header.second.as_mut().unwrap().process = fixture::process(1, 5);
    let action = leaving_host.receive(ME, &header, &packet, &draining(), NOW);
    lines.push(show(&action));
    let HostAction::PassOn { header, .. } = action else {
        panic!("a leaving host sends back");
    };
    lines.push(show(&first_host.receive(
        ME,
        &header,
        &packet,
        &load(50),
        NOW,
    )));
    lines.push(show(&first_host.receive(
        ME,
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
/// process before it, and takes a higher one when it hears of that.
#[test]
fn raised_incarnation_holds_at_once() {
    let gate = gate();
    let me = HostIncarnation(9);
    let token = fixture::seal(1, LEERPLEIN, fixture::process(1, me.0), 1);
    let header = ForwardHeader {
        incarnation: Some(me),
        ..fixture::header(LEERPLEIN)
    };
    let packet = fixture::short_packet(&token);
    let before = gate.receive(ME, &header, &packet, &load(0), NOW);
    let after = gate.receive(me, &header, &packet, &load(0), NOW);
    expect!["drop WrongIncarnation, accept"].assert_eq(&format!(
        "{}, {}",
        show(&before),
        show(&after)
    ));
}

/// A flow counts from its first packet to its end, whatever ends its handshake.
#[test]
fn handshakes_count_as_load() {
    let gate = gate();
    let mut lines = Vec::new();
    let mut note = |name: &str, millis: u64| {
        let now = MonotonicTime::from_millis(millis);
        lines.push(format!(
            "{name}, {millis} ms: {} pending",
            gate.pending(now)
        ));
    };
    let open = |connection: &[u8], header: &ForwardHeader, millis: u64| {
        let packet = fixture::initial_packet(connection);
        let now = MonotonicTime::from_millis(millis);
        gate.receive(ME, header, &packet, &load(50), now);
    };
    let alone = fixture::header(LEERPLEIN);
    note("none", 900);
    open(b"caller-1", &alone, 1_000);
    open(b"caller-2", &alone, 1_001);
    open(b"caller-3", &alone, 2_000);
    note("three opened", 2_000);
    open(b"caller-1", &alone, 2_001);
    note("one repeated", 2_001);
    open(b"caller-4", &opening(report(0)), 2_002);
    note("one handed over", 2_002);
    gate.end_handshake(b"caller-1");
    gate.end_handshake(b"caller-1");
    gate.end_handshake(b"caller-4");
    gate.end_handshake(b"caller-9");
    note("one ended", 2_003);
    note("before the lifetime", 4_900);
    note("one too old", 5_000);
    note("both too old", 6_000);
    open(b"caller-5", &alone, 9_100);
    gate.end_handshake(b"caller-3");
    note("slot used again", 9_100);
    expect![[r#"
        none, 900 ms: 0 pending
        three opened, 2000 ms: 3 pending
        one repeated, 2001 ms: 3 pending
        one handed over, 2002 ms: 3 pending
        one ended, 2003 ms: 2 pending
        before the lifetime, 4900 ms: 2 pending
        one too old, 5000 ms: 1 pending
        both too old, 6000 ms: 0 pending
        slot used again, 9100 ms: 1 pending"#]]
    .assert_eq(&lines.join("\n"));
}

/// Handshakes count for the comparison and not for the limit.
#[test]
fn comparison_counts_handshakes() {
    let mut lines = Vec::new();
    let mut case = |name: &str, header: &ForwardHeader, flows: u32, pending: u32| {
        let packet = fixture::initial_packet(name.as_bytes());
        let load = HostLoad {
            pending,
            ..load(flows)
        };
        let action = show(&gate().receive(ME, header, &packet, &load, NOW));
        lines.push(format!("{name}: {action}, {:?}", load.report()));
    };
    case("within the margin", &opening(report(10)), 10, 4);
    case("over the margin", &opening(report(10)), 10, 5);
    case("below the limit", &fixture::header(LEERPLEIN), 99, 500);
    case("at the limit", &fixture::header(LEERPLEIN), 100, 0);
    expect![[r#"
        within the margin: accept, LoadReport { flows: 14, takes_new: true }
        over the margin: pass on to 10.1.0.2:7000/5, hops 1, LoadReport { flows: 15, takes_new: true }
        below the limit: accept, LoadReport { flows: 599, takes_new: true }
        at the limit: drop Full, LoadReport { flows: 100, takes_new: false }"#]].assert_eq(&lines.join("\n"));
}
