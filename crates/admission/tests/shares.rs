//! Max-min fairness of shares.

use proptest::prelude::*;
use tanager_admission::{FairShares, GroupId};

fn shares(capacity: f64, demands: &[f64]) -> Vec<f64> {
    let groups = (0_u64..).map(GroupId::new);
    let shares = FairShares::new(capacity, groups.clone().zip(demands.iter().copied()));
    groups
        .take(demands.len())
        .map(|g| shares.share(g))
        .collect()
}

proptest! {
    /// Guards against shares that exceed the capacity, leave some of it unused, or give a group more
    /// than it demands while another one lacks something and has less.
    #[test]
    fn shares_are_max_min_fair(
        capacity in 0.0..100.0_f64,
        demands in prop::collection::vec(0.0..50.0_f64, 1..12),
    ) {
        let shares = shares(capacity, &demands);

        let sum: f64 = shares.iter().sum();
        prop_assert!((sum - capacity).abs() < 1e-6, "sum {}", sum);
        let most = shares.iter().copied().fold(0.0, f64::max);
        for (share, demand) in shares.iter().zip(&demands) {
            let lacks = *share + 1e-9 < *demand;
            prop_assert!(!lacks || *share + 1e-6 >= most, "{:?} of {:?}", shares, demands);
        }
    }

    /// Guards against shares that depend on the order in which groups are listed.
    #[test]
    fn equal_demands_get_equal_shares(
        demand in 0.0..50.0_f64,
        others in prop::collection::vec(0.0..50.0_f64, 0..8),
    ) {
        let demands: Vec<_> = [demand].into_iter().chain(others).chain([demand]).collect();

        let shares = shares(60.0, &demands);

        prop_assert!((shares[0] - shares[shares.len() - 1]).abs() < 1e-9, "{:?}", shares);
    }
}

/// Guards against a group within its share that pays for one at five times its usual demand.
#[test]
fn a_group_within_its_share_gets_what_it_demands() {
    let shares = shares(100.0, &[150.0, 30.0, 20.0]);

    assert_eq!(shares, [50.0, 30.0, 20.0]);
}

/// Guards against rates of a malformed report that spoil the shares of others.
#[test]
fn unusable_demands_count_as_none() {
    let shares = shares(10.0, &[f64::NAN, f64::INFINITY, -5.0, 20.0]);

    assert_eq!(shares, [0.0, 0.0, 0.0, 10.0]);
}
