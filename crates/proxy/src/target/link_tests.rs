use std::net::SocketAddr;
use std::time::Duration;

use tanager_core::{Clock, Incarnation, Millis, ServiceId, TargetId};
use tanager_wire::Load;

use crate::catalogue::{Target, TargetState};
use crate::target::TargetLink;

fn link() -> TargetLink {
    let target = Target {
        id: TargetId::new(1),
        name: "buzz-1".parse().expect("name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".parse().expect("zone"),
        incarnation: Incarnation::new(1),
        state: TargetState::Active,
        slots: 2,
        flows: 2_000,
    };
    TargetLink::new(target, ServiceId::new(1), Clock::start())
}

/// Guards against a target that starts a request up to 2 ms late, because the report's time and
/// the target's clock are both rounded down to milliseconds.
#[test]
fn target_deadline_allows_for_rounded_clocks() {
    let link = link();
    let clock = Millis::new(5_000_000);
    link.apply_load(Load {
        clock,
        ..Load::default()
    });
    let received_at = link.load().received_at;

    let deadline = link.target_deadline(received_at + Duration::from_millis(100));
    let passed = link.target_deadline(received_at);

    assert!(deadline <= clock + Duration::from_millis(98), "{deadline}");
    assert!(passed <= clock, "{passed}");
}
