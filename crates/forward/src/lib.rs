//! The decisions of packet forwarding: placement of new flows, routing of their later packets,
//! resets, liveness of targets, and membership of instances.
//!
//! Nothing here opens a socket or reads a clock. The embedding process passes in packets, published
//! entries and messages of peers with the present time, and carries out the returned [`Action`]s.
//!
//! Targets answer clients directly, so an instance sees one direction of a flow only. The client
//! repeats a 32-bit [`Cookie`] that names the flow's target, so any instance can forward any packet
//! of an open flow. Until the target has sent data, the cookie only names a target that answered the
//! opening; an instance that did not receive the opening then asks its peers. All other state per
//! flow only improves decisions.

mod action;
mod admission;
mod answer_times;
mod beacon;
mod deadline;
mod explanation;
mod flow_message;
mod flows;
mod forwarder;
mod hash;
mod health;
mod held;
mod liveness;
mod load;
mod lookup;
mod membership;
mod opening;
mod placement;
mod revision;
mod route;
mod segment;
mod target;
mod typical_time;
mod view;
mod warmup_rate;

pub use action::{Action, DropReason, DueAction, Event, Forward, LookupSource, ResetReason};
pub use admission::LimitChange;
pub use beacon::{Beacon, LoadPart, LoadReport, MemberReport, ZonePosition};
pub use explanation::{Candidate, Exclusion, Explanation};
pub use flow_message::{FlowDatagram, FlowMessage};
pub use flows::FLOW_LIMIT;
pub use forwarder::{Forwarder, Gauges};
pub use health::{HealthChange, Tally};
pub use liveness::{Liveness, LivenessChange};
pub use load::TargetLoad;
pub use membership::{
    BEACON_INTERVAL, LoadSums, Member, Membership, OwnInstance, RingPoint, Role, ZonePositions,
};
pub use placement::cold::{
    ColdTarget, WarmupBounds, WarmupGrant, WarmupLimiter, WarmupMessage, WarmupRequest,
    ZoneStanding,
};
pub use revision::{Epoch, StoreRevision, ViewVersion};
pub use route::{Kind, Route, RouteTable, ServiceShare};
pub use segment::{Endpoint, FlowKey, Segment, SegmentKind};
pub use target::{Cookie, Target, TargetNumber, TargetState};
pub use view::{
    Change, Delta, Evacuation, EvacuationChange, Evidence, TargetEntry, UpdateEffect, View,
};
pub use warmup_rate::{ServiceRate, WarmupRate, WarmupRates};
