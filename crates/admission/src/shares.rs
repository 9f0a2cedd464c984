//! Max-min fair shares of a capacity.

use crate::GroupId;

/// Max-min fair shares of a capacity among groups. No group gets more than it demands while another
/// one lacks something, and no share can grow but at the cost of one that is not larger. What nobody
/// demands is divided equally.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FairShares {
    /// The groups with their shares. Invariant: sorted by group.
    shares: Vec<(GroupId, f64)>,
}

impl FairShares {
    /// Divides a capacity by water-filling. Amounts that are negative or not finite count as zero.
    #[must_use]
    pub fn new(capacity: f64, demands: impl IntoIterator<Item = (GroupId, f64)>) -> Self {
        let demands = demands.into_iter().map(|(g, d)| (g, usable(d)));
        let mut shares: Vec<_> = demands.collect();
        shares.sort_unstable_by(|a, b| a.1.total_cmp(&b.1));
        let mut rest = usable(capacity);
        let mut unserved = shares.len();
        for (_, share) in &mut shares {
            let level = rest / count(unserved);
            *share = share.min(level);
            rest -= *share;
            unserved -= 1;
        }
        let extra = rest.max(0.0) / count(shares.len());
        for (_, share) in &mut shares {
            *share += extra;
        }
        shares.sort_unstable_by_key(|(group, _)| *group);
        Self { shares }
    }

    /// Returns the share of a group; 0 if it is not known.
    #[must_use]
    pub fn share(&self, group: GroupId) -> f64 {
        let index = self.shares.binary_search_by_key(&group, |(g, _)| *g);
        index.map_or(0.0, |i| self.shares[i].1)
    }

    /// Returns the part of all shares that a group has, 0 to 1.
    #[must_use]
    pub fn fraction(&self, group: GroupId) -> f64 {
        let sum: f64 = self.shares.iter().map(|(_, share)| share).sum();
        if sum > 0.0 {
            self.share(group) / sum
        } else {
            0.0
        }
    }
}

fn usable(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}

fn count(groups: usize) -> f64 {
    f64::from(u32::try_from(groups.max(1)).unwrap_or(u32::MAX))
}
