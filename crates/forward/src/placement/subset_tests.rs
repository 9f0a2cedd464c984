use proptest::prelude::{prop_assert, proptest};
use tanager_core::PublishedService;

use super::Subset;
use crate::ZonePosition;
use crate::membership::RingPoint;

fn service() -> PublishedService {
    "feeds".parse().expect("a valid name")
}

/// Returns how much of each target the subsets of these positions cover.
fn coverage(targets: usize, positions: impl Iterator<Item = (u16, u16)>) -> Vec<f64> {
    let mut covered = vec![0.0; targets];
    for (index, count) in positions {
        let ring = RingPoint::from(ZonePosition { index, count });
        match Subset::new(&service(), targets, ring) {
            Some(subset) => {
                for (target, share) in (0..subset.len()).map(|i| subset.get(i)) {
                    assert!((0.0..=1.0).contains(&share), "a share of {share}");
                    covered[target] += share;
                }
            }
            None => covered.iter_mut().for_each(|c| *c += 1.0),
        }
    }
    covered
}

#[expect(clippy::cast_precision_loss, reason = "a small count")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

proptest! {
    /// Guards against targets that few instances use, or none.
    #[test]
    fn subsets_cover_all_targets_evenly(targets in 7usize..1_200, count in 1u16..=120) {
        let covered = coverage(targets, (0..count).map(|i| (i, count)));

        let (least, most) = covered.iter().fold((f64::MAX, 0.0f64), |(least, most), c| {
            (least.min(*c), most.max(*c))
        });
        let mean = mean(&covered);
        prop_assert!(least >= (mean - 1.01).max(0.99), "{least} of {mean}");
        prop_assert!(most <= mean + 1.01, "{most} of {mean}");
    }

    /// Guards against targets without instances while some instances still use positions of a
    /// fleet that has grown or shrunk since.
    #[test]
    fn stale_positions_leave_no_target_out(
        targets in 7usize..1_200,
        count in 2u16..=120,
        stale in 0u16..120,
        grown in proptest::bool::ANY,
    ) {
        let former = if grown { count - 1 } else { count + 1 };
        let positions = (0..count).map(|i| {
            if i % 120 < stale && i < former { (i, former) } else { (i, count) }
        });
        let covered = coverage(targets, positions);

        let mean = mean(&covered);
        let least = covered.iter().copied().fold(f64::MAX, f64::min);
        let most = covered.iter().copied().fold(0.0, f64::max);
        prop_assert!(least >= (mean - 2.01).max(0.01), "{least} of {mean}");
        prop_assert!(most <= mean + 2.01, "{most} of {mean}");
    }
}
