use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use tanager_core::{FlowId, Generation, Incarnation, RequestId, ServiceId, TargetId};

use crate::{
    Answer, Assembly, Binding, Datagram, Error, Executor, FrameReader, KeyNumber, KeyRing, Route,
    Secret, Token, TokenTarget, encode_frame, raw, split_answer,
};

fn key_ring(number: u8, fill: u8) -> KeyRing {
    KeyRing::new((KeyNumber::new(number), Secret::new([fill; 32])), None)
}

fn token() -> Token {
    Token {
        service: ServiceId::new(1),
        flow: FlowId::new([7; 16]),
        generation: Generation::new(0),
        target: Some(TokenTarget {
            id: TargetId::new(3),
            incarnation: Incarnation::new(9),
        }),
        executor: Executor {
            address: "127.0.0.1:7100".parse().expect("address"),
            incarnation: Incarnation::new(5),
        },
    }
}

fn fragments(answer: u64, payload: &Bytes) -> Vec<Answer> {
    let parts = split_answer(payload);
    let count = u32::try_from(parts.len()).expect("count");
    let fragment = |(index, payload)| Answer {
        request: RequestId::new([1; 16]),
        answer,
        index,
        count,
        token: Bytes::new(),
        payload,
    };
    (0u32..).zip(parts).map(fragment).collect()
}

/// Guards against a changed byte that makes a token valid for another owner's service.
#[test]
fn changed_token_is_refused() {
    let keys = key_ring(1, 1);
    let signed = token().sign(&keys).expect("sign");

    for i in 0..signed.len() {
        let mut forged = signed.clone();
        forged[i] ^= 1;
        assert!(Token::verify(&forged, &keys).is_err(), "byte {i}");
    }
    assert_eq!(Token::verify(&signed, &keys), Ok(token()));
}

/// Guards against a route that is accepted as a token: both are signed with the same secret.
#[test]
fn route_is_not_a_token() {
    let keys = key_ring(1, 1);
    let route = Route {
        caller: "127.0.0.1:9".parse().expect("address"),
        service: ServiceId::new(1),
        flow: FlowId::new([7; 16]),
        binding: Binding::new(1),
    };
    let signed = route.sign(&keys).expect("sign");

    assert_eq!(
        Token::verify(&signed, &keys),
        Err(Error::Forged { part: "token" })
    );
}

/// Guards against breaking open feeds when the secret is rotated.
#[test]
fn previous_key_still_verifies() {
    let old = key_ring(1, 1);
    let signed = token().sign(&old).expect("sign");
    let rotated = KeyRing::new(
        (KeyNumber::new(2), Secret::new([2; 32])),
        Some((KeyNumber::new(1), Secret::new([1; 32]))),
    );

    assert_eq!(Token::verify(&signed, &rotated), Ok(token()));
    assert!(Token::verify(&signed, &key_ring(2, 2)).is_err());
}

/// Guards against mixing fragments of two runs of one repeatable request.
#[test]
fn fragments_of_another_answer_are_ignored() {
    let one = fragments(1, &Bytes::from(vec![1; 3_000]));
    let two = fragments(2, &Bytes::from(vec![2; 3_000]));
    let mut assembly = Assembly::try_new(&one[0]).expect("assembly");

    assert_eq!(assembly.insert(one[0].clone()), None);
    assert_eq!(assembly.insert(two[1].clone()), None);
    assert_eq!(assembly.insert(one[2].clone()), None);
    assert_eq!(
        assembly.insert(one[1].clone()),
        Some(Bytes::from(vec![1; 3_000]))
    );
}

proptest! {
    /// Guards against panics on datagrams with arbitrary content.
    #[test]
    fn arbitrary_datagrams_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        let _ = Datagram::decode(&bytes);
    }

    /// Guards against lost or repeated bytes when fragments arrive shuffled and duplicated.
    #[test]
    fn shuffled_fragments_assemble(size in 0usize..9_000, order in proptest::collection::vec(any::<u16>(), 64)) {
        let payload: Bytes = (0u8..251).cycle().take(size).collect::<Vec<_>>().into();
        let parts = fragments(1, &payload);
        let mut assembly = Assembly::try_new(&parts[0]).expect("assembly");
        let indices = order.iter().map(|i| *i as usize % parts.len()).chain(0..parts.len());

        let assembled: Vec<Bytes> = indices.filter_map(|i| assembly.insert(parts[i].clone())).collect();

        prop_assert_eq!(assembled, vec![payload]);
    }

    /// Guards against frames lost when a read ends in the middle of one.
    #[test]
    fn frames_survive_any_read_size(numbers in proptest::collection::vec(any::<u64>(), 1..20), step in 1usize..40) {
        let mut stream = BytesMut::new();
        for &number in &numbers {
            encode_frame(&raw::target::Ping { number }, &mut stream).expect("encode");
        }
        let mut reader = FrameReader::default();
        let mut seen = Vec::new();
        for chunk in stream.chunks(step) {
            reader.buffer().extend_from_slice(chunk);
            while let Some(frame) = reader.read_frame().expect("frame") {
                let ping = <raw::target::Ping as prost::Message>::decode(frame).expect("decode");
                seen.push(ping.number);
            }
        }
        prop_assert_eq!(seen, numbers);
    }
}

/// Guards against tokens growing unnoticed; they are repeated in every datagram of a flow.
#[test]
fn token_stays_small() {
    let keys = key_ring(1, 1);
    let mut large = token();
    large.service = ServiceId::new(u32::MAX);
    large.target = Some(TokenTarget {
        id: TargetId::new(u32::MAX),
        incarnation: Incarnation::new(u64::MAX),
    });
    large.executor.incarnation = Incarnation::new(u64::MAX);

    let size = large.sign(&keys).expect("sign").len();

    println!("largest token: {size} bytes");
    assert!(size <= 100, "{size}");
}
