//! The decisions of packet forwarding: which target a new flow goes to, where the later packets
//! of a flow go, when a flow is reset, and what is believed about targets and instances.
//!
//! Nothing here opens a socket or reads a clock. A caller passes packets, published facts and
//! messages of peers with the present time, and carries out the [`Action`]s that are returned.
//!
//! Targets answer clients directly, so an instance sees one direction of a flow only. The client
//! repeats a 32-bit [`Cookie`] that names the flow's target, so any instance can forward any
//! packet of an open flow; everything else that is kept per flow only improves decisions.

mod action;
mod beacon;
mod evidence;
mod flows;
mod forwarder;
mod health;
mod held;
mod load;
mod membership;
mod opening;
mod place;
mod route;
mod segment;
mod target;
mod view;

pub use action::{Action, DropReason, DueAction, Event, Forward, ResetReason};
pub use beacon::{Beacon, LoadReport, MemberReport};
pub use evidence::{Liveness, LivenessChange};
pub use flows::FLOW_LIMIT;
pub use forwarder::{Forwarder, Gauges};
pub use health::{HealthChange, Tally};
pub use load::TargetLoad;
pub use membership::{BEACON_INTERVAL, LoadSums, Member, Membership, OwnInstance, Role};
pub use route::{Kind, Route, RouteTable, ServiceShare};
pub use segment::{Endpoint, FlowKey, Segment, SegmentKind};
pub use target::{Cookie, Target, TargetNumber, TargetState};
pub use view::{Change, Delta, TargetEntry, UpdateEffect, View};
