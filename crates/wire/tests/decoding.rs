//! Decoding of untrusted input: route tokens, packets and PROXY headers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::entry::encode_entry;
use hyssopstair_wire::entry::split_entry;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::ReturnHeader;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::packet::split_kind;
use hyssopstair_wire::packet::split_message;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::KeyRing;
use hyssopstair_wire::token::ROUTE_TOKEN_LENGTH;
use hyssopstair_wire::token::RouteToken;
use hyssopstair_wire::token::TokenError;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// Number of generated cases per property.
const CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..ProptestConfig::with_cases(CASES)
    }
}

fn secret() -> FleetSecret {
    FleetSecret::new([7; 16])
}

fn ring(numbers: &[u8]) -> KeyRing {
    let numbers: Vec<_> = numbers.iter().map(|number| KeyNumber(*number)).collect();
    KeyRing::derive(&secret(), &numbers)
}

fn address() -> impl Strategy<Value = SocketAddrV4> {
    any::<(u32, u16)>().prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from(ip), port))
}

fn token() -> impl Strategy<Value = RouteToken> {
    (any::<(u16, u32, u32)>(), address()).prop_map(|((service, incarnation, nonce), address)| {
        RouteToken {
            key: KeyNumber(1),
            service: ServiceId(service),
            host: ProcessId {
                address,
                incarnation: HostIncarnation(incarnation),
            },
            nonce: nonce & 0x00ff_ffff,
        }
    })
}

fn seal(token: &RouteToken) -> [u8; ROUTE_TOKEN_LENGTH] {
    token.seal(&secret().route_key(token.key))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn sealed_token_opens_to_itself(token in token()) {
        prop_assert_eq!(RouteToken::open(&ring(&[1, 2]), &seal(&token)), Ok(token));
    }

    #[test]
    fn altered_token_is_rejected(
        token in token(),
        index in 0..ROUTE_TOKEN_LENGTH,
        flip in 1_u8..,
    ) {
        let mut bytes = seal(&token);
        bytes[index] ^= flip;
        prop_assert!(RouteToken::open(&ring(&[1, 2]), &bytes).is_err());
    }

    #[test]
    fn forged_token_is_rejected(bytes in any::<[u8; ROUTE_TOKEN_LENGTH]>(), number in 1_u8..3) {
        let mut bytes = bytes;
        bytes[0] = number;
        prop_assert_eq!(
            RouteToken::open(&ring(&[1, 2]), &bytes),
            Err(TokenError::WrongTag)
        );
    }

    #[test]
    fn token_of_another_fleet_is_rejected(token in token(), other in any::<[u8; 16]>()) {
        let key = FleetSecret::new(other).route_key(KeyNumber(1));
        prop_assert_eq!(
            RouteToken::open(&ring(&[1]), &token.seal(&key)),
            Err(TokenError::WrongTag)
        );
    }

    #[test]
    fn token_of_a_key_off_the_ring_is_rejected(token in token()) {
        prop_assert_eq!(
            RouteToken::open(&ring(&[2, 3]), &seal(&token)),
            Err(TokenError::UnknownKey)
        );
    }

    #[test]
    fn any_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = RouteToken::open(&ring(&[1]), &bytes);
        let _ = split_entry(&bytes);
        if let Ok((_, rest)) = split_kind(&bytes) {
            let _ = split_message::<ForwardHeader>(rest);
            let _ = split_message::<ReturnHeader>(rest);
            let _ = split_message::<ControlMessage>(rest);
        }
    }

    #[test]
    fn altered_packet_decodes_without_panic(
        header in forward_header(),
        index in 0_usize..40,
        flip in 1_u8..,
        cut in 0_usize..60,
    ) {
        let mut packet = encode_packet(PacketKind::Forward, &header, b"datagram").unwrap();
        let index = index % packet.len();
        packet[index] ^= flip;
        packet.truncate(packet.len().saturating_sub(cut));
        if let Ok((_, rest)) = split_kind(&packet) {
            let _ = split_message::<ForwardHeader>(rest);
        }
    }

    #[test]
    fn packet_round_trips(
        header in forward_header(),
        payload in proptest::collection::vec(any::<u8>(), 0..1_500),
    ) {
        let packet = encode_packet(PacketKind::Forward, &header, &payload).unwrap();
        let (kind, rest) = split_kind(&packet).unwrap();
        prop_assert_eq!(kind, PacketKind::Forward);
        let (decoded, rest) = split_message::<ForwardHeader>(rest).unwrap();
        prop_assert_eq!((decoded, rest), (header, payload.as_slice()));
    }

    #[test]
    fn entry_round_trips(
        source in address(),
        destination in address(),
        datagram in proptest::collection::vec(any::<u8>(), 0..1_500),
    ) {
        let path = EntryPath { source, destination };
        let packet = encode_entry(&path, &datagram);
        prop_assert_eq!(split_entry(&packet), Some((path, datagram.as_slice())));
    }

    #[test]
    fn altered_entry_decodes_without_panic(
        source in address(),
        index in 0_usize..28,
        flip in 1_u8..,
        cut in 0_usize..60,
    ) {
        let mut packet = encode_entry(&EntryPath { source, destination: source }, b"datagram");
        packet[index] ^= flip;
        packet.truncate(packet.len().saturating_sub(cut));
        let _ = split_entry(&packet);
    }
}

fn forward_header() -> impl Strategy<Value = ForwardHeader> {
    let numbers = any::<(u16, Option<u32>, u8, u64)>();
    (numbers, address(), address(), address()).prop_map(
        |((service, incarnation, hops, version), caller, target, balancer)| ForwardHeader {
            service: ServiceId(service),
            incarnation: incarnation.map(HostIncarnation),
            caller,
            target,
            balancer,
            second: None,
            hops,
            version,
            trace: None,
        },
    )
}

/// Tokens of the same host must not share byte values by which a caller could
/// recognize the host. An unmasked field would make its bytes constant.
#[test]
fn tokens_hide_the_host() {
    let token = |nonce| RouteToken {
        key: KeyNumber(1),
        service: ServiceId(1),
        host: ProcessId {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, 3), 7000),
            incarnation: HostIncarnation(5),
        },
        nonce,
    };
    const TOKENS: u32 = 256;
    let sealed: Vec<_> = (0..TOKENS).map(|nonce| seal(&token(nonce))).collect();
    for index in 1..ROUTE_TOKEN_LENGTH {
        let mut bytes: Vec<u8> = sealed.iter().map(|token| token[index]).collect();
        bytes.sort_unstable();
        bytes.dedup();
        assert!(
            bytes.len() > 128,
            "byte {index} has too few distinct values"
        );
    }
}
