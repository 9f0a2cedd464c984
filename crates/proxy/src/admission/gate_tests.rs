use std::sync::Arc;
use std::time::Duration;

use tanager_core::{Clock, Millis, ResultCode};

use super::gate::Gate;
use super::limiter::Limiter;
use super::{AdmissionError, Completion, Permit};
use crate::catalogue::PriorityClass;

const LONG: Duration = Duration::from_mins(1);

fn gate(limit: f64) -> (Arc<Gate>, Clock) {
    let clock = Clock::start();
    let limiter = Limiter::new(limit, (1.0, limit), clock.now());
    (Arc::new(Gate::new(clock, limiter)), clock)
}

type Task = tokio::task::JoinHandle<Result<Permit, AdmissionError>>;

/// Starts a wait and returns once it has its place in the queue.
async fn wait(gate: &Arc<Gate>, class: PriorityClass, deadline: Millis, bound: u32) -> Task {
    let (own, before) = (Arc::clone(gate), gate.figures().1);
    let task = tokio::spawn(async move { own.admit(class, deadline, bound).await });
    for _ in 0..10_000 {
        if gate.figures().1 > before || task.is_finished() {
            break;
        }
        tokio::task::yield_now().await;
    }
    task
}

async fn code(task: Task) -> Option<ResultCode> {
    task.await.expect("no panic").err().map(|r| r.code)
}

/// Guards against a queue that serves less urgent or later requests first.
#[tokio::test]
async fn waits_end_in_order_of_class_and_deadline() {
    let (gate, clock) = gate(1.0);
    let first = gate
        .admit(PriorityClass::Normal, clock.now() + LONG, 8)
        .await
        .expect("permit");
    let (soon, late) = (clock.now() + LONG, clock.now() + LONG * 2);
    let last = wait(&gate, PriorityClass::Background, soon, 8).await;
    let third = wait(&gate, PriorityClass::Normal, late, 8).await;
    let second = wait(&gate, PriorityClass::Normal, soon, 8).await;
    drop(first);
    let permit = second.await.expect("no panic").expect("permit");
    assert!(!third.is_finished() && !last.is_finished());
    drop(permit);
    let permit = third.await.expect("no panic").expect("permit");
    assert!(!last.is_finished());
    drop(permit);
    assert!(last.await.expect("no panic").is_ok());
}

/// Guards against a refused or cancelled wait that leaves a permit or a place behind, and against
/// more runs than the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_waits_leave_nothing_behind() {
    let (gate, clock) = gate(2.0);
    let mut tasks = Vec::new();
    for i in 0..400u64 {
        let gate = Arc::clone(&gate);
        tasks.push(tokio::spawn(async move {
            let deadline = clock.now() + Duration::from_millis(i % 20);
            if let Ok(permit) = gate.admit(PriorityClass::Normal, deadline, 64).await {
                assert!(gate.figures().0 <= 2);
                tokio::time::sleep(Duration::from_millis(i % 3)).await;
                permit.finish(Completion::Answered);
            }
        }));
        if i % 7 == 0 {
            tasks[tasks.len() / 2].abort();
        }
    }
    for task in tasks {
        let ended = task.await;
        assert!(ended.is_ok() || ended.is_err_and(|e| e.is_cancelled()));
    }
    let (running, waiting, _) = gate.figures();
    assert_eq!((running, waiting), (0, 0));
}

/// Guards against cancelled waits that fill the queue.
#[tokio::test]
async fn a_cancelled_wait_gives_up_its_place() {
    let (gate, clock) = gate(1.0);
    let deadline = clock.now() + LONG;
    let _held = gate
        .admit(PriorityClass::Normal, deadline, 8)
        .await
        .expect("permit");
    let task = wait(&gate, PriorityClass::Normal, deadline, 8).await;
    assert_eq!(gate.figures().1, 1);
    task.abort();
    assert!(task.await.is_err_and(|e| e.is_cancelled()));
    assert_eq!(gate.figures().1, 0);
}

/// Guards against a queue without bound, and against a full one that keeps the least urgent.
#[tokio::test]
async fn a_full_queue_keeps_the_most_urgent() {
    let (gate, clock) = gate(1.0);
    let (soon, late) = (clock.now() + LONG, clock.now() + LONG * 2);
    let _held = gate
        .admit(PriorityClass::Normal, soon, 2)
        .await
        .expect("permit");
    let kept = wait(&gate, PriorityClass::Normal, soon, 2).await;
    let evicted = wait(&gate, PriorityClass::Normal, late, 2).await;
    let refused = wait(&gate, PriorityClass::Background, soon, 2).await;
    assert_eq!(code(refused).await, Some(ResultCode::QueueFull));
    let newer = wait(&gate, PriorityClass::Urgent, late, 2).await;
    assert_eq!(code(evicted).await, Some(ResultCode::QueueFull));
    assert!(!kept.is_finished() && !newer.is_finished());
}

/// Guards against requests that wait although their deadline cannot be met.
#[tokio::test]
async fn hopeless_waits_are_refused_at_once() {
    let (gate, clock) = gate(1.0);
    let permit = gate
        .admit(PriorityClass::Normal, clock.now() + LONG, 8)
        .await
        .expect("permit");
    tokio::time::sleep(Duration::from_millis(50)).await;
    permit.finish(Completion::Answered);
    let _held = gate
        .admit(PriorityClass::Normal, clock.now() + LONG, 8)
        .await
        .expect("permit");
    let deadline = clock.now() + Duration::from_millis(20);
    let refused = gate
        .admit(PriorityClass::Normal, deadline, 8)
        .await
        .expect_err("refused");
    assert_eq!(refused.code, ResultCode::QueueDeadline);
    assert!(
        refused.reason.contains("cannot be met"),
        "{}",
        refused.reason
    );
}

/// Guards against a limit that never grows, that ignores sheds or latency, or that one slow target
/// of several shrinks.
#[test]
fn the_limit_follows_success_sheds_and_latency() {
    let run = Duration::from_millis(10);
    let mut now = Millis::new(1_000);
    let mut limiter = Limiter::new(4.0, (2.0, 64.0), now);
    let mut feed = |limiter: &mut Limiter, time, running, times| {
        for _ in 0..times {
            now = now + run;
            limiter.done(time, running, now);
        }
        (limiter.limit(), now)
    };
    let (idle, _) = feed(&mut limiter, run, 1, 100);
    let (grown, now) = feed(&mut limiter, run, 64, 100);
    limiter.shed(now + run);
    limiter.shed(now + run);
    let shed = limiter.limit();
    for _ in 0..50 {
        feed(&mut limiter, run, 1, 3);
        feed(&mut limiter, run * 20, 1, 1);
    }
    let outlier = limiter.limit();
    let (slow, _) = feed(&mut limiter, run * 4, 64, 1_000);
    assert!(
        (idle - 4.0).abs() < 1e-9,
        "unused room is no reason to grow"
    );
    assert!(grown > 8.0);
    assert!(
        (shed - grown * 0.9).abs() < 1e-9,
        "one cut for each time of a run"
    );
    assert!(
        (outlier - shed).abs() < 1e-9,
        "one slow target of four is no overload"
    );
    assert!(
        (slow - 2.0).abs() < 1e-9,
        "never below the instance's part of the slots"
    );
}
