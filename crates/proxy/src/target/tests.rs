use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tanager_core::{Clock, Incarnation, Millis, ResultCode, ServiceId, TargetId};
use tanager_wire::{Load, ToTarget, raw};

use super::connection::{Connection, QUEUE_LIMIT};
use super::ping::{IdleGuard, PingBudget};
use super::session::{RESPONSE_TIMEOUT, write};
use super::{LinkError, RunOutcome, TargetLink};
use crate::catalogue::{Target, TargetState};

fn run_frame(body: &'static [u8]) -> raw::target::Run {
    raw::target::Run {
        body: Bytes::from_static(body),
        ..Default::default()
    }
}

fn ping() -> ToTarget {
    ToTarget::Ping(raw::target::Ping { number: 1 })
}

/// Yields so that spawned tasks queue their frames.
async fn yield_to_tasks() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a run that is reported as lost although it never left the queue, and against one
/// that is reported as not sent although it was written.
#[tokio::test]
async fn a_closed_connection_ends_queued_runs_as_not_sent_and_written_runs_as_lost() {
    let clock = Clock::start();
    let deadline = clock.now() + Duration::from_mins(1);
    let (connection, mut queue) = Connection::new();
    let connection = Arc::new(connection);
    let run = |body| {
        let connection = Arc::clone(&connection);
        tokio::spawn(async move { connection.run(run_frame(body), deadline, pending()).await })
    };
    let written = run(b"written");
    yield_to_tasks().await;
    let mut batch = vec![queue.recv().await.expect("a queued run")];
    connection.encode(&mut batch, &mut BytesMut::new(), clock);
    let queued = run(b"queued");
    yield_to_tasks().await;

    connection.close(&mut queue);

    assert_eq!(written.await.expect("task"), RunOutcome::Lost);
    let not_sent = RunOutcome::NotSent(LinkError::Disconnected);
    assert_eq!(queued.await.expect("task"), not_sent);
    assert_eq!(
        connection
            .run(run_frame(b"late"), deadline, pending())
            .await,
        not_sent
    );
    assert_eq!(connection.inflight(), 0);
}

/// Guards against a run frame that is dropped without an error when the queue is full.
#[tokio::test]
async fn a_full_queue_refuses_runs() {
    let clock = Clock::start();
    let (connection, _queue) = Connection::new();
    for _ in 0..QUEUE_LIMIT {
        connection.send(ping(), clock.now()).expect("room");
    }

    let outcome = connection.run(run_frame(b""), clock.now(), pending()).await;

    assert_eq!(outcome, RunOutcome::NotSent(LinkError::Backpressure));
    let refused = connection.send(ping(), clock.now());
    assert_eq!(refused, Err(LinkError::Backpressure));
}

/// Guards against runs that are written after their deadline because the queue is long or the
/// process was paused.
#[tokio::test]
async fn an_overdue_run_is_not_written() {
    let clock = Clock::start();
    let (connection, mut queue) = Connection::new();
    let connection = Arc::new(connection);
    let deadline = clock.now();
    let waiting = {
        let connection = Arc::clone(&connection);
        tokio::spawn(async move { connection.run(run_frame(b""), deadline, pending()).await })
    };
    let mut batch = vec![queue.recv().await.expect("a queued run")];
    let mut buf = BytesMut::new();

    connection.encode(&mut batch, &mut buf, clock);

    assert!(buf.is_empty());
    let outcome = waiting.await.expect("task");
    assert_eq!(outcome, RunOutcome::NotSent(LinkError::DeadlinePassed));
}

/// Guards against a stopped target that blocks a link, and the runs queued on it, forever.
#[tokio::test]
async fn a_write_to_a_stopped_target_ends() {
    let clock = Clock::start();
    let (connection, mut queue) = Connection::new();
    let connection = Arc::new(connection);
    let (writer, _unread) = tokio::io::duplex(64);
    let running = {
        let connection = Arc::clone(&connection);
        let deadline = clock.now() + Duration::from_mins(1);
        tokio::spawn(async move {
            connection
                .run(run_frame(&[0; 1_000]), deadline, pending())
                .await
        })
    };
    yield_to_tasks().await;

    let writing = write(&connection, &mut queue, writer, clock);
    let end = tokio::time::timeout(10 * RESPONSE_TIMEOUT, writing).await;
    connection.close(&mut queue);

    assert_eq!(end, Ok(ResultCode::TargetSilent));
    assert_eq!(running.await.expect("task"), RunOutcome::Lost);
}

/// Guards against pings that exceed the control budget at the design size of 3,400 targets, also
/// when every link is due for a ping at the same time.
#[test]
fn pings_stay_within_the_budget() {
    let budget = PingBudget::new(Millis::new(0));
    let mut guards: Vec<IdleGuard> = (0..3_400).map(|_| IdleGuard::new(&budget)).collect();
    assert_eq!(budget.interval(), Duration::from_secs(1));

    for guard in &mut guards {
        guard.set(true);
    }
    let regular = 3_400.0 * 48.0 / budget.interval().as_secs_f64();
    let granted = (0..100_000)
        .filter(|i| budget.try_consume(Millis::new(i / 10)))
        .count();
    drop(guards);

    assert!(regular <= 2_048.0, "{regular} bytes a second");
    // Ten seconds and the full bucket at the start.
    assert!(granted * 48 <= 11 * 2_048, "{granted} pings in 10 s");
    assert_eq!(budget.interval(), Duration::from_secs(1));
}

/// Guards against a target that starts a run late because this process was paused after it had
/// read the target's clock.
#[test]
fn deadlines_on_the_target_clock_are_never_late() {
    let clock = Clock::start();
    let link = TargetLink::new(target(), ServiceId::new(1), clock);
    let load = Load {
        clock: Millis::new(5_000),
        ..Load::default()
    };
    let before = clock.now();
    link.apply_load(load);

    let deadline = clock.now() + Duration::from_secs(2);

    let converted = link.target_deadline(deadline);
    let latest = Millis::new(5_000) + deadline.since(before);
    // Two milliseconds are subtracted for rounded clock readings.
    assert!(converted >= Millis::new(6_998) && converted <= latest);
    assert_eq!(link.target_deadline(Millis::new(0)), Millis::new(5_000));
}

fn target() -> Target {
    Target {
        id: TargetId::new(1),
        name: "buzz-1".parse().expect("name"),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: "a".parse().expect("zone"),
        incarnation: Incarnation::new(1),
        state: TargetState::Active,
        slots: 2,
        flows: 10,
    }
}
