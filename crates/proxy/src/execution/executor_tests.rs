use tanager_core::{ResultCode, RunState};

use crate::execution::Ending;
use crate::execution::executor::ending_of;

/// Guards against a request that stays pending for ever, so that the caller is never answered and
/// a leaving instance waits for it.
#[tokio::test]
async fn a_panic_ends_its_request_as_unknown() {
    let ending = ending_of(async { panic!("a fault in the dispatch of a request") }).await;

    let unknown = Ending::refused(ResultCode::ExecutorFailed, RunState::Unknown);
    assert_eq!(ending, unknown);
}
