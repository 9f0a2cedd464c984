use std::time::Duration;

use tanager_core::{FlowId, ResultCode, TargetId};

use super::return_path::{HELD_LIMIT, held_time};
use super::{OpenOutcome, PendingOpens};

/// Guards against an instance that places a flow on several targets because it received copies of
/// an `Open` or several keepalives of a flow to be moved, and against a flow that stays marked.
#[test]
fn a_flow_is_placed_once_at_a_time() {
    let (pending, flow) = (PendingOpens::default(), FlowId::random());

    let guard = pending.begin(flow);

    assert!(guard.is_some());
    assert!(pending.begin(flow).is_none());
    assert!(pending.begin(FlowId::random()).is_some());
    drop(guard);
    assert!(pending.begin(flow).is_some());
}

/// Guards against a target's answer that completes the attempt at another target.
#[test]
fn answers_end_only_their_own_attempt() {
    let (pending, flow) = (PendingOpens::default(), FlowId::random());
    let mut first = pending.register(flow, TargetId::new(1));
    let mut second = pending.register(flow, TargetId::new(2));

    let refused = OpenOutcome::Refused(ResultCode::FlowTargetFull);
    pending.complete(flow, TargetId::new(2), refused);

    assert!(first.try_recv().is_err());
    assert_eq!(second.try_recv(), Ok(refused));
}

/// Guards against a faulty target whose reported time makes its owner's usage counter overflow.
#[test]
fn connection_time_of_one_acknowledgement_is_bounded() {
    assert_eq!(held_time(1_500), Duration::from_millis(1_500));
    assert_eq!(held_time(u64::MAX), HELD_LIMIT);
}
