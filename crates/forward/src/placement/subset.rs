//! The part of a zone's targets among which an instance chooses.
//!
//! An instance knows its own requests in flight exactly, and those of others only 0.4 to 1.2 s late.
//! With few instances for each target, the own requests tell most of its load. The targets of a zone
//! form a ring; the instances of the zone stand at equal distances, and each takes the targets from
//! its place on. A target at an end of a subset counts only with the part that lies inside, so that
//! the instances together cover all targets evenly.

use tanager_core::PublishedService;

use crate::hash::hash_fraction;
use crate::membership::RingPoint;

/// Minimum number of targets in a subset.
const MIN_WIDTH: f64 = 6.0;
/// Number of instances that share a target where [`MIN_WIDTH`] does not make it more.
const COVERAGE: f64 = 3.0;
/// Parts of a target below this are left to the other instances.
const MIN_SHARE: f64 = 0.05;

/// A range of a ring of targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Subset {
    /// Position of its beginning. Invariant: at least 0 and less than `targets`.
    start: f64,
    /// Invariant: less than `targets`.
    width: f64,
    targets: usize,
}

impl Subset {
    /// Returns the subset of an instance, or `None` if that is the whole ring.
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    pub fn new(service: &PublishedService, targets: usize, ring: RingPoint) -> Option<Self> {
        let count = targets as f64;
        let width = (COVERAGE * count / f64::from(ring.instances)).max(MIN_WIDTH);
        if count <= width {
            return None;
        }
        let start = (ring.point + rotation(service)).fract() * count;
        Some(Self {
            start: start.min(count.next_down()),
            width,
            targets,
        })
    }

    /// Returns the number of targets that it covers at least in part.
    pub fn len(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive and at most the number of targets plus 1"
        )]
        let covered = (self.start.fract() + self.width).ceil() as usize;
        covered.min(self.targets)
    }

    /// Returns the index on the ring of the target at a position of the subset, and the part of it
    /// that the subset covers.
    pub fn get(&self, position: usize) -> (usize, f64) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "less than the number of targets"
        )]
        let first = self.start as usize;
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let offset = position as f64 - self.start.fract();
        let share = (offset + 1.0).min(self.width) - offset.max(0.0);
        ((first + position) % self.targets, share.clamp(0.0, 1.0))
    }

    /// Returns whether a part is large enough to count.
    pub fn is_relevant(share: f64) -> bool {
        share >= MIN_SHARE
    }
}

/// Returns the rotation of a service's ring, as a fraction of it. Without it, an instance between two
/// others would be so for all services.
fn rotation(service: &PublishedService) -> f64 {
    hash_fraction(service)
}

#[cfg(test)]
#[path = "subset_tests.rs"]
mod subset_tests;
