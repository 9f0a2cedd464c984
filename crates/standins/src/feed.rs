//! The feeds of a target. Sequence numbers are derived from the wall clock, so all targets of a
//! service number their updates equally and a feed can continue at another target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tanager_core::{FastMap, FlowId, Millis, ResultCode};
use tanager_wire::{FromTarget, raw};
use tokio::sync::mpsc;

use crate::target::Shared;

/// Number of past updates that a target can send again.
const HISTORY_LENGTH: u64 = 1_000;
/// Most updates sent again in response to one keepalive.
const RESEND_LIMIT: usize = 32;
/// Updates sent within this time are not sent again, since they may still be in flight.
const RESEND_AFTER: Duration = Duration::from_millis(400);

struct Feed {
    route: Bytes,
    connection: u64,
    generation: u32,
    /// Sequence number of the newest update sent.
    sent: u64,
    last_seen: Millis,
}

impl Feed {
    /// Returns the number of the newest update that the caller is expected to have received.
    fn newest_expected(&self, interval: Duration, acked: u64) -> u64 {
        // The caller has received nothing yet, so there is no gap to fill.
        if acked == 0 {
            return 0;
        }
        let in_flight = RESEND_AFTER.as_millis() / interval.as_millis().max(1);
        self.sent
            .saturating_sub(u64::try_from(in_flight).unwrap_or(0))
    }
}

/// The open feeds of a target and its balancer connections.
#[derive(Default)]
pub(crate) struct Feeds {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    feeds: FastMap<FlowId, Feed>,
    connections: FastMap<u64, mpsc::UnboundedSender<FromTarget>>,
}

/// Returns the sequence number of the newest update.
#[must_use]
pub fn newest_sequence(interval: Duration) -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis() / interval.as_millis().max(1)).unwrap_or(u64::MAX)
}

/// Returns the payload of an update, by which the caller checks its service and number.
#[must_use]
pub fn update_payload(service: u32, sequence: u64) -> Bytes {
    [&sequence.to_be_bytes()[..], &service.to_be_bytes()]
        .concat()
        .into()
}

fn update(service: u32, flow: FlowId, route: &Bytes, sequence: u64) -> FromTarget {
    let payload = update_payload(service, sequence);
    FromTarget::FlowUpdate {
        flow,
        route: route.clone(),
        sequence,
        payload,
    }
}

impl Feeds {
    pub(crate) fn connect(&self, id: u64, sender: mpsc::UnboundedSender<FromTarget>) {
        self.lock().connections.insert(id, sender);
    }

    pub(crate) fn disconnect(&self, id: u64) {
        self.lock().connections.remove(&id);
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().feeds.len()
    }

    pub(crate) fn clear(&self) {
        self.lock().feeds.clear();
    }

    /// Closes a feed, unless it has been placed here again with a later generation. Returns whether
    /// the target has the feed.
    pub(crate) fn close(&self, close: &raw::target::CloseFlow) -> bool {
        let Ok(flow) = FlowId::try_from(close.flow.as_ref()) else {
            return false;
        };
        let mut state = self.lock();
        let generation = state.feeds.get(&flow).map(|f| f.generation);
        if generation.is_some_and(|g| g <= close.generation) {
            state.feeds.remove(&flow);
        }
        generation.is_some()
    }

    pub(crate) fn open(
        &self,
        shared: &Shared,
        connection: u64,
        open: raw::target::OpenFlow,
    ) -> FromTarget {
        let flow = FlowId::try_from(open.flow.as_ref()).unwrap_or(FlowId::new([0; 16]));
        let newest = newest_sequence(shared.options.feed_interval);
        let refused = self.refusal(shared, open.resume_from, newest);
        let route = open.route;
        if let Some(code) = refused {
            return FromTarget::FlowRefused {
                flow,
                route,
                code,
                load: shared.load(),
            };
        }
        let sent = if open.resume_from > 0 {
            open.resume_from - 1
        } else {
            newest - 1
        };
        let feed = Feed {
            route: route.clone(),
            connection,
            generation: open.generation,
            sent,
            last_seen: shared.clock.now(),
        };
        if self.lock().feeds.insert(flow, feed).is_none() {
            shared.record_opened_feed();
        }
        FromTarget::FlowOpened {
            flow,
            route,
            load: shared.load(),
        }
    }

    fn refusal(&self, shared: &Shared, resume_from: u64, newest: u64) -> Option<ResultCode> {
        let full = self.len() >= shared.options.flows as usize;
        match resume_from {
            _ if shared.is_leaving() => Some(ResultCode::TargetLeaving),
            _ if full => Some(ResultCode::FlowTargetFull),
            from if from > 0 && from + HISTORY_LENGTH < newest => {
                Some(ResultCode::FlowNotResumable)
            }
            _ => None,
        }
    }

    /// Returns the frames sent in response to a keepalive: updates to send again, and an
    /// acknowledgement.
    pub(crate) fn keepalive(
        &self,
        shared: &Shared,
        connection: u64,
        keepalive: &raw::target::FlowKeepalive,
    ) -> Vec<FromTarget> {
        let Ok(flow) = FlowId::try_from(keepalive.flow.as_ref()) else {
            return Vec::new();
        };
        let route = keepalive.route.clone();
        let mut state = self.lock();
        let Some(feed) = state.feeds.get_mut(&flow) else {
            shared.record_unknown_flow();
            return vec![FromTarget::FlowReset {
                flow,
                route,
                code: ResultCode::FlowUnknown,
            }];
        };
        let now = shared.clock.now();
        let held = now.since(feed.last_seen);
        (feed.route, feed.connection, feed.last_seen) = (route.clone(), connection, now);
        let expected = feed.newest_expected(shared.options.feed_interval, keepalive.acked);
        let mut frames: Vec<FromTarget> = (keepalive.acked + 1..=expected)
            .take(RESEND_LIMIT)
            .map(|sequence| update(shared.options.service, flow, &route, sequence))
            .collect();
        drop(state);
        frames.push(FromTarget::FlowKeepaliveAck {
            flow,
            route,
            number: keepalive.number,
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            load: shared.load(),
        });
        frames
    }

    /// Sends due updates and resets idle feeds.
    fn push(&self, shared: &Shared) {
        let newest = newest_sequence(shared.options.feed_interval);
        let now = shared.clock.now();
        let mut state = self.lock();
        let State { feeds, connections } = &mut *state;
        feeds.retain(|flow, feed| {
            // If the connection of the last keepalive has closed, any other one is used.
            let sender = connections
                .get(&feed.connection)
                .or_else(|| connections.values().next());
            let Some(sender) = sender else { return true };
            if now.since(feed.last_seen) > shared.options.idle_limit {
                let (flow, route) = (*flow, feed.route.clone());
                let code = ResultCode::FlowSilent;
                let _ = sender.send(FromTarget::FlowReset { flow, route, code });
                return false;
            }
            while feed.sent < newest {
                feed.sent += 1;
                let _ = sender.send(update(
                    shared.options.service,
                    *flow,
                    &feed.route,
                    feed.sent,
                ));
            }
            true
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pushes updates until the target ends.
pub(crate) async fn push_updates(shared: Arc<Shared>) {
    let interval = shared.options.feed_interval / 4;
    let mut ticks = tokio::time::interval(interval.max(Duration::from_millis(5)));
    loop {
        ticks.tick().await;
        shared.feeds.push(&shared);
    }
}
