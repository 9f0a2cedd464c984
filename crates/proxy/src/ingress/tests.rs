use bytes::Bytes;
use tanager_core::{FlowId, ServiceId};
use tanager_wire::{Close, Datagram, DatagramBody, FlowKind, Keepalive, Open};

use super::class::DatagramClass;
use super::shares::{BATCH_LIMIT, Shares};

fn class(service: u32, keepalive: bool) -> DatagramClass {
    let service = ServiceId::new(service);
    DatagramClass { service, keepalive }
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

/// Guards against a class that differs from the decoded datagram, which would then be refused.
#[test]
fn classes_agree_with_decoding() {
    for number in [0, 1, 127, 128, 300, u32::MAX] {
        for body in bodies() {
            let keepalive = matches!(body, DatagramBody::Keepalive(_));
            let service = ServiceId::new(number);
            let bytes = Datagram { service, body }.encode().expect("datagram");

            assert_eq!(DatagramClass::peek(&bytes), Some(class(number, keepalive)));
        }
    }
    for bytes in [
        &[][..],
        &[0x08],
        &[0x08, 1, 0x10],
        &[0x10, 0xff, 0xff, 0xff, 0xff, 0xff, 1],
    ] {
        assert_eq!(DatagramClass::peek(bytes), None);
    }
}

/// Guards against drops in bursts that fit the socket's buffer, and against a quota that stays
/// small after a flood.
#[test]
fn bursts_are_not_dropped() {
    let (mut shares, mut keep) = (Shares::new(), Vec::new());
    let (full, short) = (
        vec![Some(class(1, false)); BATCH_LIMIT],
        vec![Some(class(1, false)); BATCH_LIMIT - 1],
    );

    for _ in 0..100 {
        for batch in [&full, &full, &full, &short] {
            shares.plan(batch, &mut keep);
            assert!(keep.iter().all(|k| *k));
        }
    }
    for _ in 0..100 {
        shares.plan(&full, &mut keep);
    }
    assert!(keep.iter().filter(|k| **k).count() < BATCH_LIMIT / 10);
    for _ in 0..16 {
        shares.plan(&short, &mut keep);
    }
    shares.plan(&full, &mut keep);
    assert!(keep.iter().all(|k| *k));
}

/// Guards against a flood that causes keepalives to be dropped before other datagrams of the
/// service.
#[test]
fn keepalives_are_dropped_last() {
    let (mut shares, mut keep) = (Shares::new(), Vec::new());
    let batch: Vec<_> = (0..BATCH_LIMIT)
        .map(|i| Some(class(1, i % 8 == 0)))
        .collect();

    let mut lost = [0, 0];
    for _ in 0..12 {
        shares.plan(&batch, &mut keep);
        for (class, kept) in batch.iter().zip(&keep) {
            lost[usize::from(class.is_some_and(|c| c.keepalive))] += usize::from(!kept);
        }
    }

    assert!(lost[0] > 0);
    assert_eq!(lost[1], 0);
}

/// Numbers of a service's datagrams in a simulated flood.
#[derive(Debug, Default, Clone, Copy)]
struct FloodCounts {
    sent: usize,
    processed: usize,
}

/// Simulates a flood of service 1 at over 3 times the rate at which the loop can process datagrams,
/// with service 2 at a twentieth of that rate. Processing a datagram costs 10 units of time and
/// receiving one costs 1; the buffer holds 4,000. At 3 times the rate of this flood, no loop could
/// keep up: receiving alone would use all its time.
fn flood(mut plan: impl FnMut(&[Option<DatagramClass>], &mut Vec<bool>)) -> [FloodCounts; 2] {
    let mut counts = [FloodCounts::default(); 2];
    let (mut buffer, mut keep) = (std::collections::VecDeque::new(), Vec::new());
    let (mut clock, mut arrived) = (0, 0);
    while clock < 1_000_000 {
        // One datagram in 3 units of time; in every 200th unit one of service 2.
        for i in (arrived..clock).filter(|i| i % 3 == 0 || i % 200 == 0) {
            let index = usize::from(i % 200 == 0);
            counts[index].sent += 1;
            if buffer.len() < 4_000 {
                buffer.push_back(Some(class(1 + u32::from(index == 1), false)));
            }
        }
        arrived = clock;
        let batch: Vec<_> = buffer.drain(..buffer.len().min(BATCH_LIMIT)).collect();
        plan(&batch, &mut keep);
        for (class, kept) in batch.iter().zip(&keep) {
            let second = class.is_some_and(|c| c.service.get() == 2);
            counts[usize::from(second)].processed += usize::from(*kept);
            clock += if *kept { 10 } else { 1 };
        }
        clock += 1;
    }
    counts
}

/// Guards against a flood of one service that starves the datagrams of another. The goal is that
/// other work keeps at least 95% of its goodput.
#[test]
fn a_flood_leaves_other_services_their_share() {
    let mut shares = Shares::new();

    let unlimited = flood(|batch, keep| *keep = vec![true; batch.len()]);
    let limited = flood(|batch, keep| shares.plan(batch, keep));

    let kept = |counts: &[FloodCounts; 2]| counts[1].processed * 100 / counts[1].sent;
    assert!(
        kept(&unlimited) < 50,
        "the flood is too weak: {unlimited:?}"
    );
    assert!(kept(&limited) >= 95, "{limited:?}");
}
