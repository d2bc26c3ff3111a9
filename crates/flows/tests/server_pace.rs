//! Hosts find from the answers of their servers how many requests these bear.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

/// Time between two heartbeats of the server, in milliseconds.
const HEARTBEAT_INTERVAL_MILLIS: u64 = 1_200;

/// How a server treats a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Treatment {
    /// It answers after this many milliseconds of work.
    Answer(u64),
    /// It closes the flow at once.
    Close,
    /// It never answers; the slot stays taken.
    Hang,
}

/// A server with two slots, which works on requests in the order of their arrival.
#[derive(Debug, Default)]
struct PacedServer {
    /// Times at which the slots are free.
    free_at: [u64; 2],
    /// Requests that end, with their port, and whether the server answers them; by time.
    endings: Vec<(u64, u16, bool)>,
    hanging_count: usize,
}

impl PacedServer {
    fn begin(&mut self, port: u16, millis: u64, treatment: Treatment) {
        let (ends_at, is_answer) = match treatment {
            Treatment::Answer(work) => {
                let slot = usize::from(self.free_at[1] < self.free_at[0]);
                let ends_at = self.free_at[slot].max(millis) + work;
                self.free_at[slot] = ends_at;
                (ends_at, true)
            }
            Treatment::Close => (millis + 1, false),
            Treatment::Hang => {
                self.hanging_count += 1;
                return;
            }
        };
        self.endings.push((ends_at, port, is_answer));
    }
}

/// What happened while flows were offered to a host.
#[derive(Debug, Default)]
struct PaceRun {
    offered: usize,
    delivered: usize,
    hanging: usize,
    /// Longest answer time, in milliseconds.
    longest: u64,
    /// Time in milliseconds in which the server had nothing to do.
    idle: u64,
    changes: Vec<String>,
}

/// A host with its server, and the callers that open flows at it.
struct PacePlay {
    host: FlowHost,
    server: PacedServer,
    next_port: u16,
    /// Time at which the request of each port was delivered, in milliseconds.
    begun_at: Vec<u64>,
    /// Sequence number of the last heartbeat.
    heartbeat_sequence: u64,
}

impl PacePlay {
    fn new(host: FlowHost) -> Self {
        Self {
            host,
            server: PacedServer::default(),
            next_port: 1_024,
            begun_at: vec![0; 65_536],
            heartbeat_sequence: 1,
        }
    }

    /// Offers the host a flow with one request each `gap` milliseconds. The server treats the
    /// request of the flow offered at a time as `treat` says.
    fn play(
        &mut self,
        from: u64,
        until: u64,
        gap: u64,
        treat: impl Fn(u64) -> Treatment,
    ) -> PaceRun {
        let mut run = PaceRun::default();
        let hanging_before = self.server.hanging_count;
        for millis in from..until {
            let mut outbox = FlowOutbox::default();
            if millis.is_multiple_of(HEARTBEAT_INTERVAL_MILLIS) {
                self.send_heartbeat(millis, &mut outbox);
            }
            self.end_requests(millis, &mut run, &mut outbox);
            if (millis - from).is_multiple_of(gap) {
                run.offered += 1;
                if self.offer_flow(millis, &mut outbox) {
                    run.delivered += 1;
                    self.server.begin(self.next_port, millis, treat(millis));
                }
                self.next_port += 1;
            }
            run.idle += u64::from(self.server.endings.is_empty());
            if self.host.next_tick_at() <= at(millis) {
                self.host.tick(at(millis), &mut outbox);
            }
            for event in outbox.events() {
                if let FlowEvent::PaceChanged { limit, cause } = event {
                    run.changes.push(format!("{millis}: {limit} {cause:?}"));
                }
            }
        }
        run.hanging = self.server.hanging_count - hanging_before;
        run
    }

    /// Delivers the next heartbeat of the server.
    fn send_heartbeat(&mut self, millis: u64, outbox: &mut FlowOutbox) {
        self.heartbeat_sequence += 1;
        let heartbeat = heartbeat(self.heartbeat_sequence);
        self.host.receive_heartbeat(&heartbeat, at(millis), outbox);
    }

    /// Delivers the server's packets for the requests that have ended.
    fn end_requests(&mut self, millis: u64, run: &mut PaceRun, outbox: &mut FlowOutbox) {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.server.endings)
            .into_iter()
            .partition(|(ends_at, _, _)| *ends_at <= millis);
        self.server.endings = running;
        for (_, port, is_answer) in ended {
            let packet = PacketHeader {
                is_finish: !is_answer,
                data_length: if is_answer { 600 } else { 0 },
                ..answer_packet(port)
            };
            self.host
                .receive_server_packet(&raw_packet(&packet), at(millis), outbox);
            run.longest = run.longest.max(millis - self.begun_at[usize::from(port)]);
        }
    }

    /// Offers the host a flow, and its request if the server gets it. Returns whether it does.
    fn offer_flow(&mut self, millis: u64, outbox: &mut FlowOutbox) -> bool {
        let port = self.next_port;
        let header = carry_header(ForwardPurpose::Open);
        let opening = opening_packet(port);
        self.host
            .receive_forwarded_packet(&header, &raw_packet(&opening), at(millis), outbox);
        let is_delivered = outbox
            .events()
            .iter()
            .any(|event| matches!(event, FlowEvent::Offered { .. }));
        if is_delivered {
            self.begun_at[usize::from(port)] = millis;
            let accepted = accept_packet(port);
            self.host
                .receive_server_packet(&raw_packet(&accepted), at(millis), outbox);
            let owner_header = carry_header(ForwardPurpose::Owner);
            let request = request_packet(port);
            let packet = raw_packet(&request);
            self.host
                .receive_forwarded_packet(&owner_header, &packet, at(millis), outbox);
        }
        is_delivered
    }
}

fn new_paced_play() -> PacePlay {
    let mut host = new_host_with_pace(1, true);
    host.receive_heartbeat(&heartbeat(1), at(0), &mut FlowOutbox::default());
    PacePlay::new(host)
}

#[test]
fn a_server_that_has_just_started_gets_a_short_queue_until_its_answers_are_good() {
    let mut paced = new_paced_play();
    assert_eq!(paced.host.request_limit(), 4);
    // Callers come three times as fast as a cold server of 40 ms answers.
    let run = paced.play(1, 600, 7, |_| Treatment::Answer(40));
    expect![[r#"["1: 4 Started", "101: 5 GoodAnswer", "201: 6 GoodAnswer"]"#]]
        .assert_eq(&format!("{:?}", run.changes));
    // It is never left idle, and no request waits for more than three answers.
    assert_eq!(run.idle, 0);
    assert!(run.longest <= 3 * 40 + 1, "{run:?}");
}

/// Failure: a server answers a part of its requests and ignores the others while its health
/// check is good. It goes on getting requests that must not run twice.
#[test]
fn a_server_on_which_requests_hang_gets_few_more() {
    let treat = |millis: u64| match millis % 20 < 9 {
        true => Treatment::Hang,
        false => Treatment::Answer(20),
    };
    let mut paced = new_paced_play();
    let with_pace = paced.play(1, 6_000, 11, treat);
    let mut other = PacePlay::new(new_ready_host(1));
    let without_pace = other.play(1, 6_000, 11, treat);
    expect!["hanging: 7 with, 17 without"].assert_eq(&format!(
        "hanging: {} with, {} without",
        with_pace.hanging, without_pace.hanging
    ));
}

/// Failure: a server fails at once, looks idle and fast, and gets all flows.
#[test]
fn a_server_that_closes_flows_is_tried_with_single_requests_and_returns_in_a_second() {
    let mut paced = new_paced_play();
    paced.play(1, 1_000, 15, |_| Treatment::Answer(20));
    assert_eq!(paced.host.request_limit(), 6);
    let failing = paced.play(1_000, 2_000, 15, |_| Treatment::Close);
    assert_eq!(paced.host.request_limit(), 1, "{failing:?}");
    let recovered = paced.play(2_000, 3_000, 15, |_| Treatment::Answer(20));
    assert_eq!(paced.host.request_limit(), 6, "{recovered:?}");
    assert!(
        recovered.delivered * 10 >= recovered.offered * 6,
        "{recovered:?}"
    );
}

#[test]
fn a_server_that_is_slow_for_some_seconds_keeps_a_request_for_each_slot() {
    let mut paced = new_paced_play();
    paced.play(1, 2_000, 15, |_| Treatment::Answer(20));
    let slow = paced.play(2_000, 5_000, 15, |_| Treatment::Answer(100));
    assert_eq!(slow.idle, 0, "{slow:?}");
    // Two slots with 100 ms for each request bear 60 requests in 3 s.
    assert!((50..=70).contains(&slow.delivered), "{slow:?}");
    let usual = paced.play(5_000, 6_000, 15, |_| Treatment::Answer(20));
    assert_eq!(paced.host.request_limit(), 6, "{usual:?}");
}

/// Servers of unlike speed, and a fleet that is cold as a whole: each server is measured by
/// itself, so none is held back for being slower than others.
#[test]
fn servers_of_any_speed_bear_a_full_queue() {
    for work in [12, 20, 33, 53] {
        let mut paced = new_paced_play();
        // Callers come a third faster than the server answers.
        let run = paced.play(1, 3_000, (work * 3 / 8).max(1), |_| Treatment::Answer(work));
        assert_eq!(paced.host.request_limit(), 6, "{work} ms: {run:?}");
        let capacity = 3_000 * 2 / work as usize;
        assert!(run.delivered * 100 >= capacity * 95, "{work} ms: {run:?}");
        assert!(run.longest <= 3 * work + 1, "{work} ms: {run:?}");
    }
}

#[test]
fn a_new_server_begins_anew_and_without_the_setting_there_is_one_limit() {
    let mut paced = new_paced_play();
    paced.play(1, 1_000, 15, |_| Treatment::Close);
    assert_eq!(paced.host.request_limit(), 1);
    let mut outbox = FlowOutbox::default();
    paced
        .host
        .receive_heartbeat(&heartbeat(2), at(1_200), &mut outbox);
    let next = hyssopstair_flows::heartbeat::ServerHeartbeat {
        id: "i-2".to_owned(),
        started_unix_millis: HOST_START_UNIX_MILLIS + 1_500,
        ..heartbeat(1)
    };
    paced
        .host
        .receive_heartbeat(&next, at(1_600), &mut FlowOutbox::default());
    assert_eq!(paced.host.request_limit(), 4);

    let mut other = PacePlay::new(new_ready_host(1));
    other.play(1, 1_000, 15, |_| Treatment::Close);
    assert_eq!(other.host.request_limit(), 6);
}

/// Failure: a server answers each request with an error at once while its health check is good.
/// It always has a free slot, so all flows that others pass on end there.
#[test]
fn a_server_that_fails_at_once_gets_a_flow_now_and_then_until_it_has_recovered() {
    let mut paced = new_paced_play();
    paced.play(1, 1_000, 12, |_| Treatment::Answer(30));
    let failing = paced.play(1_000, 5_000, 12, |_| Treatment::Answer(1));
    assert_eq!(paced.host.request_limit(), 1);
    // The flows of 100 ms show it, as earlier requests end among them. From then on, four
    // flows a second look for a change.
    assert!(failing.delivered <= 9 + 4 * 4 + 1, "{failing:?}");
    let recovered = paced.play(5_000, 8_000, 12, |_| Treatment::Answer(30));
    assert_eq!(paced.host.request_limit(), 6, "{recovered:?}");
    assert!(
        recovered.delivered * 10 >= recovered.offered * 5,
        "{recovered:?}"
    );
}

#[test]
fn requests_that_have_become_shorter_are_no_failures_for_long() {
    let mut paced = new_paced_play();
    paced.play(1, 1_000, 12, |_| Treatment::Answer(30));
    paced.play(1_000, 13_000, 12, |_| Treatment::Answer(4));
    let usual = paced.play(13_000, 15_000, 12, |_| Treatment::Answer(4));
    assert_eq!(usual.delivered, usual.offered, "{usual:?}");
}

#[test]
fn short_requests_among_others_are_no_failures() {
    let mut paced = new_paced_play();
    let run = paced.play(1, 4_000, 15, |millis| match millis % 4 {
        0 => Treatment::Answer(4),
        _ => Treatment::Answer(25),
    });
    assert_eq!(paced.host.request_limit(), 6, "{run:?}");
    assert_eq!(run.delivered, run.offered, "{run:?}");
}
