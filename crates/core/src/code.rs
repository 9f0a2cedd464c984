//! The numbered codes of refusals and failures, and whether a request may have run.

use std::fmt;

/// Whether a refused or failed request may have run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunState {
    /// The request did not run and never will.
    NotRun,
    /// It cannot be determined whether the request ran.
    Unknown,
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal,)+) => {
        /// A numbered outcome, listed in `docs/errors.md`.
        ///
        /// Numbers are grouped by hundreds: 1 values and documents, 2 packets,
        /// 3 flows, 4 requests, 5 admission, 6 target links, 7 peers and platform.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl ResultCode {
            /// Every code, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the identifier used in logs and status pages.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// Returns the one-line description.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)+),)+ }
            }
        }
    };
}

result_codes! {
    /// The value's text does not have the expected form.
    ValueMalformed = 101,
    /// The value is outside the permitted range.
    ValueOutOfRange = 102,
    /// The document is not valid YAML or has an unknown or missing key.
    DocumentMalformed = 110,
    /// A name, number or address appears more than once in the document.
    DocumentDuplicate = 111,
    /// The document refers to something that it does not define.
    DocumentReference = 112,
    /// The document's limits contradict each other.
    DocumentLimits = 113,
    /// The catalogue revision is not newer than the one in force.
    RevisionNotNewer = 120,
    /// Two catalogues carry the same revision but different content.
    RevisionConflict = 121,
    /// A published entry, or a route or service of the published configuration, cannot be used.
    EntryUnusable = 130,
    /// The datagram or frame cannot be decoded.
    PacketMalformed = 201,
    /// The datagram or frame exceeds the size limit.
    PacketTooLarge = 202,
    /// The datagram's protocol version is not supported.
    PacketVersion = 203,
    /// The message authentication code of a token or route is wrong.
    TokenForged = 204,
    /// No catalogue entry has the service number of the datagram.
    ServiceUnknown = 206,
    /// No usable target can take the flow.
    FlowNoTarget = 301,
    /// The target does not know the flow.
    FlowUnknown = 302,
    /// The flow has stopped carrying traffic in one direction.
    FlowSilent = 303,
    /// The target cannot continue the feed from the requested sequence number.
    FlowNotResumable = 304,
    /// The target refused to open the flow because it is full.
    FlowTargetFull = 305,
    /// The request's deadline passed before it was sent to a target.
    DeadlinePassed = 401,
    /// The request's deadline is further ahead than the permitted maximum.
    DeadlineTooFar = 402,
    /// The executor is stopping and takes no new requests.
    ExecutorLeaving = 403,
    /// The executor named in the token cannot be reached.
    ExecutorUnreachable = 404,
    /// The token names an earlier incarnation of this executor.
    ExecutorReplaced = 405,
    /// The connection failed after the request had been sent to a target.
    OutcomeLost = 406,
    /// A non-repeatable request carries no token that names its executor.
    ExecutorMissing = 407,
    /// The request was cancelled by the caller.
    RequestCancelled = 408,
    /// No target started the request within its deadline or attempts.
    RequestNoTarget = 409,
    /// The target failed while it ran the request.
    RequestFailed = 410,
    /// The request is known, but its answer is no longer kept.
    AnswerExpired = 411,
    /// The executor failed while it handled the request.
    ExecutorFailed = 412,
    /// The rate limit of the owner is reached.
    OwnerLimit = 501,
    /// The rate limit of the service is reached.
    ServiceLimit = 502,
    /// The waiting queue of the service is full.
    QueueFull = 503,
    /// The request would have missed its deadline while waiting.
    QueueDeadline = 504,
    /// The limit on open flows is reached.
    FlowLimit = 505,
    /// The service used up its part of the receive loop.
    IngressLimit = 506,
    /// The request table is full.
    TableFull = 507,
    /// The target's identity differs from the catalogue entry.
    IdentityMismatch = 601,
    /// The target's connection is down.
    TargetDisconnected = 602,
    /// The target shed the request before starting it.
    TargetShed = 603,
    /// The target is leaving and takes no new work.
    TargetLeaving = 604,
    /// The target has not answered within the liveness timeout.
    TargetSilent = 605,
    /// The send queue of the target's connection is full.
    TargetBackpressure = 606,
    /// The peer cannot be reached.
    PeerUnreachable = 701,
    /// The platform cannot be reached.
    PlatformUnreachable = 702,
    /// The answer on a connection belongs to another call.
    AnswerForeign = 703,
}

impl ResultCode {
    /// Returns the number shown to callers and operators.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number, if there is one.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|c| c.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TP{:03} {}", self.number(), self.name())
    }
}
