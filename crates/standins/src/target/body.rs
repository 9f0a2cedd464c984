//! Bodies of requests and answers that name the service or request to which they belong.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;

/// Prefix of a request body that ends with its latest start.
const LATEST_START: &[u8] = b"start by ";

/// Returns a request body that contains its latest start by the machine's wall clock. Targets use
/// it only to record late starts.
#[must_use]
pub fn body_with_latest_start(budget: Duration) -> Bytes {
    let until = wall_clock() + budget;
    let mut body = LATEST_START.to_vec();
    body.extend_from_slice(
        &u64::try_from(until.as_micros())
            .unwrap_or(u64::MAX)
            .to_be_bytes(),
    );
    body.into()
}

pub(super) fn is_late(body: &[u8], at: Duration) -> bool {
    let until = body
        .strip_prefix(LATEST_START)
        .and_then(|b| b.try_into().ok());
    until.is_some_and(|until| at > Duration::from_micros(u64::from_be_bytes(until)))
}

pub(super) fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the answer to a request: its id, repeated up to the size, by which callers check that
/// the answer belongs to the request.
#[must_use]
pub fn answer(request: &[u8], size: usize) -> Bytes {
    request
        .iter()
        .copied()
        .cycle()
        .take(size.max(request.len()))
        .collect()
}

/// Prefix of a request body that ends with the number of its service.
const BODY_PREFIX: &[u8] = b"service:";

/// Returns the body of a request to a service. Targets of other services count it in
/// [`wrong_service`](super::Record::wrong_service).
#[must_use]
pub fn request_body(service: u32) -> Bytes {
    [BODY_PREFIX, &service.to_be_bytes()].concat().into()
}

pub(super) fn is_for_service(body: &[u8], service: u32) -> bool {
    body.strip_prefix(BODY_PREFIX)
        .is_none_or(|number| number == service.to_be_bytes())
}
