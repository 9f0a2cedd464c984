//! What the order of a request depends on, from its route and the time that it has waited.

use std::time::Duration;

use tanager_admission::{Demand, GroupId};
use tanager_core::Millis;

use crate::segment::Endpoint;
use crate::{Kind, Route};

/// Part of its objective that a request waits at most at one instance. An instance cannot know whether
/// its client's earlier attempts have waited elsewhere, and three attempts have to fit.
const WAIT_SHARE: f64 = 0.25;
/// Time since the first copy of an opening after which it is no longer sent. The client's attempt ends
/// after 1,400 ms, and the target's answer needs time.
const OPENING_WAIT: Duration = Duration::from_secs(1);
/// Time since the first copy of an opening after which its client has left.
pub const OPENING_LIFETIME: Duration = Duration::from_millis(1_400);
/// Times after the first copy at which clients retransmit an opening.
const RETRANSMISSION_TIMES: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// An attempt to have a request answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The opening of a flow. It can be refused, since nothing has run.
    Opening {
        /// Number of earlier copies.
        retransmission: u32,
    },
    /// A request on an open flow, which must not be reset.
    Request {
        /// When its first packet arrived.
        first: Millis,
    },
}

impl Attempt {
    /// Returns when the client sent the first copy, as far as known.
    pub fn first(self, now: Millis) -> Millis {
        match self {
            Self::Opening { retransmission: 0 } => now,
            Self::Opening { retransmission: 1 } => now - RETRANSMISSION_TIMES[0],
            Self::Opening { .. } => now - RETRANSMISSION_TIMES[1],
            Self::Request { first } => first,
        }
    }

    /// Returns the demand of the attempt. It counts as late once it has waited for its share of the
    /// objective: the rest is for the wait at the target and for further attempts.
    pub fn demand(self, route: &Route, work: Duration, now: Millis) -> Demand {
        let first = self.first(now);
        let until = first + route.objective.mul_f64(WAIT_SHARE);
        let (until, deadline) = match self {
            Self::Opening { .. } => {
                let until = until.min(first + OPENING_WAIT);
                (until, until)
            }
            Self::Request { .. } => (until, first + route.timeout.max(route.objective)),
        };
        Demand {
            priority: route.priority,
            repeatable: route.kind == Kind::Idempotent,
            objective: until + work,
            deadline,
            work,
            group: group(route.address),
        }
    }
}

/// Returns the group of a route's requests.
fn group(address: Endpoint) -> GroupId {
    let ip = u64::from(u32::from(*address.ip()));
    GroupId::new((ip << 16) | u64::from(address.port()))
}
