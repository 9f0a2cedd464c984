//! Checks the text of a catalogue and reports all of its problems.

use std::ops::RangeInclusive;

use tanager_core::{
    FastMap, Incarnation, OwnerName, Rate, ResultCode, Revision, ServiceId, TargetId,
};

use crate::catalogue::{
    Catalogue, Limits, Owner, PriorityClass, ServiceEntry, Target, TargetState,
};
use crate::settings::{Checker, Problem, Section, problems_of};

/// Accepted numbers of a revision. A larger one is treated as an error, as it would hide all later
/// edits.
const REVISION_RANGE: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Accepted epochs of a revision.
const EPOCH_RANGE: RangeInclusive<u64> = 0..=1_000_000;
/// Service and target numbers. In a packet, 0 is the value of a missing number.
const NUMBER_RANGE: RangeInclusive<u64> = 1..=u32::MAX as u64;
/// Open feeds over the fleet; the design size is 19 million.
const FLOW_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;
/// Maximum accepted rate in requests per second. A larger one is treated as an error.
const MAX_RATE: f64 = 100_000_000.0;
/// Requests that may wait in one instance, per service.
const QUEUE_RANGE: RangeInclusive<u64> = 1..=65_536;
/// Slots of a target.
const SLOT_RANGE: RangeInclusive<u64> = 1..=10_000;
/// Open feeds of a target.
const TARGET_FLOW_RANGE: RangeInclusive<u64> = 0..=10_000_000;

/// Returns all problems of a catalogue's text, each with its line.
#[must_use]
pub fn check(text: &str) -> Vec<Problem> {
    problems_of(Catalogue::read(text))
}

/// Reads the revision of a published document: its number and, if numbers have been given out again,
/// its epoch.
pub(crate) fn check_revision(top: &Section<'_>, checker: &mut Checker) -> Option<Revision> {
    let epoch = match top.get("epoch") {
        Some(_) => top.number(checker, "epoch", EPOCH_RANGE),
        None => Some(0),
    };
    let number = top.number(checker, "revision", REVISION_RANGE);
    Revision::try_new(epoch?, number?).ok()
}

pub(super) fn check_catalogue(top: &Section<'_>, checker: &mut Checker) -> Option<Catalogue> {
    top.check_keys(checker, &["revision", "owners", "entries"], &["epoch"]);
    let revision = check_revision(top, checker);
    let mut owners = FastMap::default();
    // An owner with problems of its own still counts as defined, so that the services which refer
    // to it are not reported too.
    let mut defined_owners = Vec::new();
    for section in top.sections(checker, "owners") {
        defined_owners.extend(section.parse::<OwnerName>(&mut Checker::default(), "name"));
        if let Some(owner) = check_owner(&section, checker) {
            owners.insert(owner.name.clone(), owner);
        }
    }
    let mut entries = FastMap::default();
    let mut service_of_target = FastMap::default();
    for section in top.sections(checker, "entries") {
        if let Some(entry) = check_entry(&section, &defined_owners, checker) {
            service_of_target.extend(entry.targets.iter().map(|t| (t.id, entry.service)));
            entries.insert(entry.service, entry);
        }
    }
    check_minimums(top, &owners, &entries, checker);
    Some(Catalogue {
        revision: revision?,
        owners,
        entries,
        service_of_target,
        ..Catalogue::empty()
    })
}

fn check_owner(section: &Section<'_>, checker: &mut Checker) -> Option<Owner> {
    section.check_keys(checker, &["name", "limits"], &[]);
    check_unique(section, checker, "owner", "name");
    let name = section.parse(checker, "name");
    let limits = section.section(checker, "limits")?;
    limits.check_keys(checker, &["requests", "flows"], &[]);
    let requests = check_rate(&limits, checker, "requests", 1.0);
    let flows = limits.number(checker, "flows", FLOW_RANGE);
    Some(Owner {
        name: name?,
        requests: requests?,
        flows: flows?,
    })
}

fn check_entry(
    section: &Section<'_>,
    defined_owners: &[OwnerName],
    checker: &mut Checker,
) -> Option<ServiceEntry> {
    let keys = ["service", "number", "owner", "class", "limits", "targets"];
    section.check_keys(checker, &keys, &[]);
    check_unique(section, checker, "service", "service");
    let service = check_number(section, checker, "service number");
    let name = section.parse(checker, "service");
    let owner: Option<OwnerName> = section.parse(checker, "owner");
    if let Some(owner) = owner.as_ref().filter(|o| !defined_owners.contains(o)) {
        let message = format!("owner {owner} is not defined");
        let (path, span) = (section.path("owner"), section.span_of("owner"));
        checker.report(ResultCode::DocumentReference, &path, span, message);
    }
    let classes = [
        ("urgent", PriorityClass::Urgent),
        ("normal", PriorityClass::Normal),
        ("background", PriorityClass::Background),
    ];
    let class = section.choice(checker, "class", &classes);
    let limits = section
        .section(checker, "limits")
        .and_then(|limits| check_limits(&limits, checker));
    let targets = section.sections(checker, "targets");
    let targets = targets.iter().filter_map(|t| check_target(t, checker));
    let targets = targets.collect();
    Some(ServiceEntry {
        service: ServiceId::new(service?),
        name: name?,
        owner: owner?,
        class: class?,
        limits: limits?,
        targets,
    })
}

fn check_limits(section: &Section<'_>, checker: &mut Checker) -> Option<Limits> {
    section.check_keys(checker, &["requests", "minimum", "flows", "queue"], &[]);
    let requests = check_rate(section, checker, "requests", 1.0);
    let minimum = check_rate(section, checker, "minimum", 0.0);
    let flows = section.number(checker, "flows", FLOW_RANGE);
    let queue = section.number(checker, "queue", QUEUE_RANGE);
    let (requests, minimum) = (requests?, minimum?);
    if minimum > requests {
        let message = format!("minimum {minimum} exceeds requests {requests}");
        let (path, span) = (section.path("minimum"), section.span_of("minimum"));
        checker.report(ResultCode::DocumentLimits, &path, span, message);
    }
    Some(Limits {
        requests,
        minimum,
        flows: flows?,
        queue: u32::try_from(queue?).ok()?,
    })
}

fn check_target(section: &Section<'_>, checker: &mut Checker) -> Option<Target> {
    let keys = [
        "name",
        "number",
        "address",
        "zone",
        "incarnation",
        "state",
        "slots",
        "flows",
    ];
    section.check_keys(checker, &keys, &[]);
    check_unique(section, checker, "target", "name");
    let number = check_number(section, checker, "target number");
    let name = section.parse(checker, "name");
    let zone = section.parse(checker, "zone");
    let address = section.address(checker, "address");
    if let Some(address) = address {
        let (path, span) = (section.path("address"), section.span_of("address"));
        checker.unique("target address", &path, span, &address.to_string());
    }
    let incarnation = section.number(checker, "incarnation", 1..=u64::MAX);
    let states = [
        ("active", TargetState::Active),
        ("leaving", TargetState::Leaving),
    ];
    let state = section.choice(checker, "state", &states);
    let slots = section.number(checker, "slots", SLOT_RANGE);
    let flows = section.number(checker, "flows", TARGET_FLOW_RANGE);
    Some(Target {
        id: TargetId::new(number?),
        name: name?,
        address: address?,
        zone: zone?,
        incarnation: Incarnation::new(incarnation?),
        state: state?,
        slots: u32::try_from(slots?).ok()?,
        flows: u32::try_from(flows?).ok()?,
    })
}

/// Reports owners whose services have guaranteed rates that add up to more than the owner's limit.
fn check_minimums(
    top: &Section<'_>,
    owners: &FastMap<OwnerName, Owner>,
    entries: &FastMap<ServiceId, ServiceEntry>,
    checker: &mut Checker,
) {
    for section in top.sections(&mut Checker::default(), "owners") {
        let name: Option<OwnerName> = section.parse(&mut Checker::default(), "name");
        let Some(owner) = name.and_then(|name| owners.get(&name)) else {
            continue;
        };
        let of_owner = entries.values().filter(|e| e.owner == owner.name);
        let sum: f64 = of_owner.map(|e| e.limits.minimum.per_second()).sum();
        if sum > owner.requests.per_second() {
            let message = format!(
                "the minimums of its services add up to {sum}/s, more than {}",
                owner.requests
            );
            let path = section.path("limits.requests");
            checker.report(ResultCode::DocumentLimits, &path, section.span, message);
        }
    }
}

fn check_rate(
    section: &Section<'_>,
    checker: &mut Checker,
    key: &str,
    lowest: f64,
) -> Option<Rate> {
    let rate: Rate = section.parse(checker, key)?;
    if (lowest..=MAX_RATE).contains(&rate.per_second()) {
        return Some(rate);
    }
    let message = format!("{rate} is outside the range {lowest}/s to {MAX_RATE}/s");
    let (path, span) = (section.path(key), section.span_of(key));
    checker.report(ResultCode::ValueOutOfRange, &path, span, message);
    None
}

fn check_number(section: &Section<'_>, checker: &mut Checker, kind: &'static str) -> Option<u32> {
    let number = section.number(checker, "number", NUMBER_RANGE)?;
    let (path, span) = (section.path("number"), section.span_of("number"));
    checker.unique(kind, &path, span, &number.to_string());
    u32::try_from(number).ok()
}

fn check_unique(section: &Section<'_>, checker: &mut Checker, kind: &'static str, key: &str) {
    if let Some(value) = section.text(&mut Checker::default(), key) {
        checker.unique(kind, &section.path(key), value.span, value.text);
    }
}
