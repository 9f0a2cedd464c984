//! Targets of unequal speed, served by several instances.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, Settings};
use tanager_forward::TargetNumber;

#[test]
fn explore() {
    for share in [0.85] {
    for seed in 0..2 {
        let mut settings = Settings { zones: vec![(40, 21)], speeds: vec![0.6, 1.0, 1.6], rates: vec![] };
        settings.rates = vec![settings.capacity(0) * share];
        let mut fleet = Fleet::new(settings, seed);
        
        for i in 0..8 {
            fleet.reset_counts();
            fleet.run(Duration::from_secs(3));
            let speeds: Vec<_> = (1..=6).map(|n| (100.0 * fleet.forwarders[0].1.target_speed(TargetNumber::new(n))) as i32).collect();
            let now = fleet.millis(); let g = fleet.forwarders[0].1.gauges(now); println!("failing {} suspect {} lost {} share {share} seed {seed} busiest {:.3} {:?} speeds {speeds:?}", g.failing, g.suspect, g.lost, fleet.busiest(), fleet.counts);
        }
    }
    }
}
