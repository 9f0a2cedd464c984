use bytes::Bytes;
use tanager_core::{FlowId, ServiceId};
use tanager_wire::{Close, Datagram, DatagramBody, FlowKind, Keepalive, Open};

use super::class::Class;
use super::shares::{ROUND, Shares};

fn class(service: u32, keepalive: bool) -> Class {
    let service = ServiceId::new(service);
    Class { service, keepalive }
}

fn bodies() -> [DatagramBody; 3] {
    let (flow, token) = (FlowId::new([1; 16]), Bytes::from_static(&[7; 90]));
    let keepalive = Keepalive {
        flow,
        token: token.clone(),
        number: 1,
        acked: 2,
        missed: 3,
    };
    let open = Open {
        flow,
        kind: FlowKind::Feed,
        resume_from: 0,
    };
    [
        DatagramBody::Keepalive(keepalive),
        DatagramBody::Open(open),
        DatagramBody::Close(Close { flow, token }),
    ]
}

/// Guards against a classification that differs from the decoded datagram, which would be refused.
#[test]
fn classes_agree_with_decoding() {
    for number in [0, 1, 127, 128, 300, u32::MAX] {
        for body in bodies() {
            let keepalive = matches!(body, DatagramBody::Keepalive(_));
            let service = ServiceId::new(number);
            let bytes = Datagram { service, body }.encode().expect("datagram");

            assert_eq!(Class::peek(&bytes), Some(class(number, keepalive)));
        }
    }
    for bytes in [
        &[][..],
        &[0x08],
        &[0x08, 1, 0x10],
        &[0x10, 0xff, 0xff, 0xff, 0xff, 0xff, 1],
    ] {
        assert_eq!(Class::peek(bytes), None);
    }
}

/// Guards against dropping in bursts that the socket's buffer holds, and against a quota that
/// stays small after a flood.
#[test]
fn bursts_are_not_cut() {
    let (mut shares, mut keep) = (Shares::new(), Vec::new());
    let (full, short) = (
        vec![Some(class(1, false)); ROUND],
        vec![Some(class(1, false)); ROUND - 1],
    );

    for _ in 0..100 {
        for round in [&full, &full, &full, &short] {
            shares.plan(round, &mut keep);
            assert!(keep.iter().all(|k| *k));
        }
    }
    for _ in 0..100 {
        shares.plan(&full, &mut keep);
    }
    assert!(keep.iter().filter(|k| **k).count() < ROUND / 10);
    for _ in 0..16 {
        shares.plan(&short, &mut keep);
    }
    shares.plan(&full, &mut keep);
    assert!(keep.iter().all(|k| *k));
}

/// Guards against a flood that pushes out keepalives of its own service before other datagrams.
#[test]
fn keepalives_are_dropped_last() {
    let (mut shares, mut keep) = (Shares::new(), Vec::new());
    let round: Vec<_> = (0..ROUND).map(|i| Some(class(1, i % 8 == 0))).collect();

    let mut lost = [0, 0];
    for _ in 0..12 {
        shares.plan(&round, &mut keep);
        for (class, kept) in round.iter().zip(&keep) {
            lost[usize::from(class.is_some_and(|c| c.keepalive))] += usize::from(!kept);
        }
    }

    assert!(lost[0] > 0);
    assert_eq!(lost[1], 0);
}

/// What became of a service's datagrams in a simulated flood.
#[derive(Debug, Default, Clone, Copy)]
struct Fate {
    sent: usize,
    processed: usize,
}

/// Simulates a flood of service 1 at over 3 times the rate at which the loop can process, with
/// service 2 at a twentieth of that rate. Processing costs 10 units of time and taking a datagram
/// from the socket one; the buffer holds 4,000. No loop can keep up with a flood at a third of
/// the time per datagram of this one: it would do nothing but empty the buffer.
fn flood(mut plan: impl FnMut(&[Option<Class>], &mut Vec<bool>)) -> [Fate; 2] {
    let mut fates = [Fate::default(); 2];
    let (mut buffer, mut keep) = (std::collections::VecDeque::new(), Vec::new());
    let (mut clock, mut arrived) = (0, 0);
    while clock < 1_000_000 {
        // One datagram in 3 units of time; in every 200th unit one of service 2.
        for i in (arrived..clock).filter(|i| i % 3 == 0 || i % 200 == 0) {
            let index = usize::from(i % 200 == 0);
            fates[index].sent += 1;
            if buffer.len() < 4_000 {
                buffer.push_back(Some(class(1 + u32::from(index == 1), false)));
            }
        }
        arrived = clock;
        let round: Vec<_> = buffer.drain(..buffer.len().min(ROUND)).collect();
        plan(&round, &mut keep);
        for (class, kept) in round.iter().zip(&keep) {
            let second = class.is_some_and(|c| c.service.get() == 2);
            fates[usize::from(second)].processed += usize::from(*kept);
            clock += if *kept { 10 } else { 1 };
        }
        clock += 1;
    }
    fates
}

/// Guards against a flood of one service that starves the datagrams of another. The goal is that
/// other work keeps at least 95% of its goodput.
#[test]
fn a_flood_leaves_other_services_their_share() {
    let mut shares = Shares::new();

    let unlimited = flood(|round, keep| *keep = vec![true; round.len()]);
    let limited = flood(|round, keep| shares.plan(round, keep));

    let kept = |fates: &[Fate; 2]| fates[1].processed * 100 / fates[1].sent;
    assert!(
        kept(&unlimited) < 50,
        "the flood is too weak: {unlimited:?}"
    );
    assert!(kept(&limited) >= 95, "{limited:?}");
}
