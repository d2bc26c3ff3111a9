//! Messages as released builds encode them. Processes of two builds run side by side while
//! instances are replaced, so this build must read what the last ones send, and send them
//! nothing that they take for something else.
//!
//! A file in `released/` holds a line for each kind of message of one version: the encoded
//! bytes and what they mean. The lines are never changed; a new version gets a file of its own.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use arrayvec::ArrayVec;
use expect_test::expect_file;
use hyssopstair_wire::carried::BalancerHello;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::DatagramVerdict;
use hyssopstair_wire::carried::EvacuationNotice;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::carried::ServerState;

/// The messages of the versions that this build must understand.
const RELEASED: [&str; 3] = [
    include_str!("released/version-1.txt"),
    include_str!("released/version-2.txt"),
    include_str!("released/version-3.txt"),
];

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        target: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

fn address(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, number)
}

fn load() -> CarryLoad {
    CarryLoad {
        in_progress: 3,
        mean_sixteenths: 40,
        slots: 4,
        flows: 300,
        answer_micros: 70_000,
    }
}

fn hello(role: HelloRole) -> CarryMessage {
    CarryMessage::Hello(HelloMessage {
        started: 1_769_247_347_000,
        number: 300,
        zone: "utr-a".to_owned(),
        routes: 17,
        wants_answer: true,
        role,
    })
}

fn host_hello(server: ServerState) -> CarryMessage {
    hello(HelloRole::Host(HostHello {
        service: "lessons".to_owned(),
        server,
        load: load(),
        is_relearning: true,
        is_server_new: false,
        is_stopping: true,
    }))
}

fn forward(purpose: ForwardPurpose) -> CarryMessage {
    CarryMessage::Forward(CarryHeader {
        purpose,
        balancer: address(1),
        routes: 17,
        best: Some((address(2), 5)),
        next: [address(3), address(4)].into_iter().collect(),
    })
}

/// Returns a message of each kind of version 1, with every variant of its fields.
fn messages_of_version_1() -> Vec<CarryMessage> {
    let mut messages: Vec<CarryMessage> = [
        ServerState::Unknown,
        ServerState::Ready,
        ServerState::Draining,
        ServerState::Down,
    ]
    .into_iter()
    .map(host_hello)
    .collect();
    messages.push(hello(HelloRole::Balancer(BalancerHello {
        is_stopping: true,
        wants_flows: false,
        hosts: 55,
        balancers: [address(5), address(6)]
            .into_iter()
            .collect::<ArrayVec<_, 16>>(),
    })));
    let purposes = [
        ForwardPurpose::Open,
        ForwardPurpose::OpenHere,
        ForwardPurpose::Owner,
        ForwardPurpose::Probe,
    ];
    messages.extend(purposes.map(forward));
    messages.extend([
        CarryMessage::Owned {
            flow: flow(4_001),
            load: load(),
        },
        CarryMessage::Returned {
            purpose: ForwardPurpose::Owner,
        },
        CarryMessage::Locate {
            questions: vec![FlowQuestion {
                flow: flow(4_001),
                acknowledged: Some(70_000),
            }],
        },
        CarryMessage::NotHeld {
            flows: vec![flow(4_001)],
            is_certain: true,
        },
        CarryMessage::Flows {
            owner: address(2),
            flows: vec![flow(4_001), flow(4_002)],
        },
        CarryMessage::RoutesWanted { known: 17 },
        CarryMessage::RoutesPart {
            version: 18,
            part: 1,
            parts: 2,
        },
        CarryMessage::SaveFlows {
            number: 300,
            part: 2,
        },
        CarryMessage::FlowsSaved { number: 300 },
    ]);
    messages
}

/// Returns the messages that version 2 adds.
fn messages_of_version_2() -> Vec<CarryMessage> {
    vec![CarryMessage::Detour {
        origin: address(1),
        target: address(2),
    }]
}

/// Returns the messages that version 3 adds.
fn messages_of_version_3() -> Vec<CarryMessage> {
    vec![CarryMessage::Offer {
        header: CarryHeader {
            purpose: ForwardPurpose::Open,
            balancer: address(1),
            routes: 17,
            best: Some((address(2), 5)),
            next: [address(3), address(4)].into_iter().collect(),
        },
        service: "lessons".to_owned(),
    }]
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .chars()
        .filter_map(|digit| digit.to_digit(16))
        .collect();
    digits
        .chunks(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

fn describe(messages: &[CarryMessage]) -> String {
    let lines = messages.iter().map(|message| {
        let mut bytes = Vec::new();
        message.encode(&mut bytes);
        format!("{} {message:?}\n", to_hex(&bytes))
    });
    lines.collect()
}

#[test]
fn messages_are_encoded_as_released() {
    expect_file!["released/version-1.txt"].assert_eq(&describe(&messages_of_version_1()));
    expect_file!["released/version-2.txt"].assert_eq(&describe(&messages_of_version_2()));
    expect_file!["released/version-3.txt"].assert_eq(&describe(&messages_of_version_3()));
}

#[test]
fn released_messages_are_read() {
    for line in RELEASED.iter().flat_map(|text| text.lines()) {
        let (hex, meaning) = line
            .split_once(' ')
            .expect("a line has bytes and a meaning");
        let bytes = from_hex(hex);
        match CarryMessage::classify(&bytes) {
            DatagramVerdict::Message(message, []) => assert_eq!(format!("{message:?}"), meaning),
            verdict => panic!("{line}: {verdict:?}"),
        }
    }
}

/// Returns the fields behind a hello as version 1 encodes them.
fn extension_of_version_1(notice: &EvacuationNotice) -> Vec<u8> {
    postcard::to_stdvec(&(Some(7_u64), Some(notice))).expect("the fields are serializable")
}

fn notice() -> EvacuationNotice {
    EvacuationNotice {
        era: 7,
        revision: 9_000,
        zones: vec!["ame-b".to_owned()],
    }
}

// Version 1 reads the two fields that it knows and ignores the bytes after them.
#[test]
fn fields_behind_a_hello_begin_with_those_of_version_1() {
    let notice = notice();
    let extension = HelloExtension {
        store_era: Some(7),
        evacuation: Some(notice.clone()),
        version: PeerVersion::CURRENT,
        silence_millis: Some(40),
    };
    let former = extension_of_version_1(&notice);
    assert_eq!(to_hex(&former), "01070107a8460105616d652d62");
    assert!(extension.encode().starts_with(&former));
}

#[test]
fn fields_behind_a_hello_that_a_former_build_does_not_send_have_defaults() {
    let notice = notice();
    let extension = HelloExtension::decode(&extension_of_version_1(&notice));
    let expected = HelloExtension {
        store_era: Some(7),
        evacuation: Some(notice),
        version: PeerVersion::UNNAMED,
        silence_millis: None,
    };
    assert_eq!(extension, expected);
    assert_eq!(HelloExtension::decode(&[]), HelloExtension::default());
}

// A later build may add kinds of messages. They are skipped, and none is taken for another.
#[test]
fn a_message_of_a_later_build_is_told_from_a_malformed_one() {
    let kind_count = 13_u8;
    assert_eq!(
        CarryMessage::classify(&[kind_count, 1, 2, 3]),
        DatagramVerdict::UnknownKind(u32::from(kind_count))
    );
    assert_eq!(
        CarryMessage::classify(&[kind_count - 1]),
        DatagramVerdict::Malformed
    );
    assert_eq!(CarryMessage::classify(&[]), DatagramVerdict::Malformed);
}
