//! Descriptions of what would happen to a new request, for operators.

use serde::Serialize;

/// What would happen now to the opening of a new flow.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// The flow.
    pub flow: String,
    /// Name of its route, if there is one.
    pub route: Option<String>,
    /// The service of the route for this flow.
    pub service: Option<String>,
    /// Number of published targets of the service.
    pub targets: usize,
    /// The targets that would be compared, then excluded ones, then others; limited in number.
    pub candidates: Vec<Candidate>,
    /// The target that would be chosen.
    pub chosen: Option<String>,
    /// Whether the opening would be sent.
    pub admitted: bool,
    /// Why it would not be sent.
    pub refusal: Option<String>,
}

/// A target of the service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// The target.
    pub target: String,
    /// Its availability zone.
    pub zone: String,
    /// Its learned speed relative to the mean of its service.
    pub speed: f64,
    /// Its load divided by its slots, with all penalties. Services with more targets in the zone than
    /// the instance's subset are placed by expected waits and turns instead.
    pub load: f64,
    /// Expected wait for a free slot, by the requests of all instances.
    pub wait_ms: f64,
    /// Whether it responds, as seen by this instance.
    pub liveness: String,
    /// Whether it fails requests.
    pub failing: bool,
    /// Whether its queue was full a moment ago.
    pub refusing: bool,
    /// Whether it is in the sample that would be compared. Samples are drawn at random, so the next
    /// request may get another one.
    pub compared: bool,
    /// Why it cannot be chosen.
    pub excluded: Option<Exclusion>,
}

/// Why a target cannot be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// It only finishes its existing flows.
    Draining,
    /// Its zone is evacuated.
    Evacuated,
    /// It is cold, and its rate permits no opening of this instance now.
    Cold,
}
