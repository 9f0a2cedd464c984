//! Speeds of targets, learned from the loads that all instances report.
//!
//! The busy slots of a target divided by its responses per second are the time for which a response
//! keeps a slot busy. The mean of the service divided by that of the target is its speed. Requests
//! in flight include those whose packets or acknowledgements are on the way; these are subtracted,
//! because they would make all targets look alike.

use std::time::Duration;

use tanager_core::{FastMap, Millis, PublishedService};

use super::candidates::Candidates;
use crate::TargetNumber;

/// Time constant of the moving averages. Within it a target has many more responses than the few
/// that take much longer than others.
const AVERAGING_TIME: Duration = Duration::from_secs(8);
/// Minimum time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(390);
/// Longest time that one observation stands for.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Time without responses after which a target's speed is forgotten.
const MEMORY: Duration = Duration::from_secs(10);
/// Responses per second below which a target counts as having none. Rates decay and never reach 0.
const MIN_RATE: f64 = 1.0;
/// Responses within the averaging time from which a speed is known.
const MIN_RESPONSES: f64 = 25.0;
/// Lowest and highest speed.
const RANGE: (f64, f64) = (0.2, 5.0);
/// Usual time between the receipt of a response and its acknowledgement: half of the 50 ms within
/// which clients acknowledge.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(25);
/// Largest part of the time in flight that is taken to be spent on the way, in case clients
/// acknowledge faster.
const MAX_TRANSIT_PART: f64 = 0.6;
/// Smallest part of the requests in flight to a target that keep its slots busy.
const MIN_BUSY_PART: f64 = 0.1;
/// Work of a request while it is unknown.
const DEFAULT_WORK: Duration = Duration::from_millis(50);

/// What all instances have seen of a target.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    pub slots: f64,
    /// Mean number of requests in flight.
    pub running: f64,
    /// Responses per second.
    pub rate: f64,
}

/// Moving averages of slots that are busy, and of responses per second.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    busy: f64,
    responses: f64,
}

impl Average {
    fn add(&mut self, busy: f64, rate: f64, step: Duration, decay: f64) {
        self.busy = self.busy * decay + busy * step.as_secs_f64();
        self.responses = self.responses * decay + rate * step.as_secs_f64();
    }

    /// Returns the time per response in seconds.
    fn time(self) -> f64 {
        self.busy / self.responses
    }
}

#[derive(Debug, Clone, Copy)]
struct TargetSpeed {
    average: Average,
    last_response: Millis,
    speed: f64,
}

/// What is known of a service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceWork {
    /// Requests in flight.
    in_flight: Average,
    /// Work of a request on a target of speed 1, in seconds; `None` if it is unknown.
    work: Option<f64>,
    /// Time in seconds for which a request is in flight without keeping a slot busy.
    transit: f64,
}

/// Speeds of all targets, and the work of each service's requests.
#[derive(Debug, Default)]
pub struct Speeds {
    targets: FastMap<TargetNumber, TargetSpeed>,
    services: FastMap<PublishedService, ServiceWork>,
    updated: Option<Millis>,
}

impl Speeds {
    /// Returns the speed of a target relative to the mean of its service; 1 if it is unknown.
    pub fn get(&self, target: TargetNumber) -> f64 {
        self.targets.get(&target).map_or(1.0, |t| t.speed)
    }

    /// Returns the work of a request in seconds, on a target of speed 1.
    pub fn work(&self, service: &PublishedService) -> f64 {
        let work = self.services.get(service).and_then(|s| s.work);
        work.unwrap_or_else(|| DEFAULT_WORK.as_secs_f64())
    }

    /// Returns the time in seconds for which a request keeps a slot of a target busy.
    pub fn request_time(&self, service: &PublishedService, target: TargetNumber) -> f64 {
        self.work(service) / self.get(target)
    }

    /// Returns the time in seconds for which a request is in flight without keeping a slot busy.
    pub fn transit(&self, service: &PublishedService) -> f64 {
        self.services.get(service).map_or(0.0, |s| s.transit)
    }

    /// Updates all speeds if that is due. `opening_time` is the usual time from a client's opening
    /// packet to its next one, which is the time that packets need. `observe` returns `None` for
    /// targets that do not count, such as cold and failing ones.
    pub fn update(
        &mut self,
        candidates: &Candidates,
        opening_time: Duration,
        observe: impl Fn(TargetNumber) -> Option<Observation>,
        now: Millis,
    ) {
        let since = self.updated.map_or(MAX_STEP, |at| now.since(at));
        if since < UPDATE_INTERVAL {
            return;
        }
        self.updated = Some(now);
        let step = since.min(MAX_STEP);
        let transit = opening_time + ACKNOWLEDGEMENT_DELAY;
        for (service, targets) in candidates.services() {
            let seen = targets.all.iter().filter_map(|n| Some((*n, observe(*n)?)));
            let seen: Vec<_> = seen.collect();
            self.update_service(service, &seen, transit, step, now);
        }
        self.targets
            .retain(|_, t| now.since(t.last_response) < MEMORY);
    }

    fn update_service(
        &mut self,
        service: &PublishedService,
        seen: &[(TargetNumber, Observation)],
        transit: Duration,
        step: Duration,
        now: Millis,
    ) {
        let decay = (-step.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let mut work = self.services.get(service).copied().unwrap_or_default();
        let running = seen.iter().map(|(_, o)| o.running).sum();
        let rate = seen.iter().map(|(_, o)| o.rate).sum();
        work.in_flight.add(running, rate, step, decay);
        if work.in_flight.responses >= MIN_RESPONSES {
            let longest = work.in_flight.time() * MAX_TRANSIT_PART;
            work.transit = transit.as_secs_f64().min(longest);
        }
        let mut total = Average::default();
        for (number, seen) in seen {
            let average = self.observe_target(*number, seen, work.transit, (step, decay), now);
            total.busy += average.busy;
            total.responses += average.responses;
        }
        work.work = (total.responses >= MIN_RESPONSES).then(|| total.time());
        if let Some(mean) = work.work {
            for (number, _) in seen {
                self.set_speed(*number, mean);
            }
        }
        self.services.insert(service.clone(), work);
    }

    /// Adds an observation of a target, and returns its averages if they are reliable.
    fn observe_target(
        &mut self,
        number: TargetNumber,
        seen: &Observation,
        transit: f64,
        (step, decay): (Duration, f64),
        now: Millis,
    ) -> Average {
        let known = self.targets.contains_key(&number);
        if !known && seen.rate < MIN_RATE {
            return Average::default();
        }
        let target = self.targets.entry(number).or_insert(TargetSpeed {
            average: Average::default(),
            last_response: now,
            speed: 1.0,
        });
        if seen.rate >= MIN_RATE {
            target.last_response = now;
        }
        let busy = (seen.running - seen.rate * transit).max(seen.running * MIN_BUSY_PART);
        target
            .average
            .add(busy.min(seen.slots), seen.rate, step, decay);
        if target.average.responses >= MIN_RESPONSES {
            target.average
        } else {
            Average::default()
        }
    }

    fn set_speed(&mut self, number: TargetNumber, mean: f64) {
        if let Some(target) = self.targets.get_mut(&number) {
            let known = target.average.responses >= MIN_RESPONSES;
            let speed = mean / target.average.time();
            target.speed = if known && speed.is_finite() {
                speed.clamp(RANGE.0, RANGE.1)
            } else {
                1.0
            };
        }
    }

    /// Forgets the speed of a target, as after its restart.
    pub fn clear(&mut self, target: TargetNumber) {
        self.targets.remove(&target);
    }
}
