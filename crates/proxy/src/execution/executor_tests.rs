use tanager_core::{ResultCode, RunState};

use crate::execution::RequestOutcome;
use crate::execution::executor::outcome_of;

/// Guards against a request that stays pending for ever, so that the caller is never answered and
/// a leaving instance waits for it.
#[tokio::test]
async fn a_panic_ends_its_request_as_unknown() {
    let outcome = outcome_of(async { panic!("a fault in the dispatch of a request") }).await;

    let unknown = RequestOutcome::refused(ResultCode::ExecutorFailed, RunState::Unknown);
    assert_eq!(outcome, unknown);
}
