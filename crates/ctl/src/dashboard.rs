//! `status`: a dashboard of all queried instances.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::Value;

use crate::pages::{Page, number, text};
use crate::usage;

/// Substrings of the names of counters that count refused or dropped work.
const SHED_COUNTER_PATTERNS: [&str; 5] = ["shed", "refused", "dropped", "not_run", "limited"];
/// Sections of the status page that describe limits, in the order shown.
const LIMIT_SECTIONS: [&str; 3] = ["owners", "limits", "admission"];

/// Renders the status pages.
pub fn render(pages: &[Page]) -> String {
    [
        instances(pages),
        problems(pages),
        usage::table("service", &usage::by_service(pages)),
        feeds(pages),
        refused_work(pages),
        limits(pages),
    ]
    .into_iter()
    .filter(|part| !part.is_empty())
    .collect::<Vec<_>>()
    .join("\n")
}

fn instances(pages: &[Page]) -> String {
    let mut out = format!(
        "{:<20} {:<12} {:<8} {:>8} {:>8} {:>7} {:>7} {:>10} {:>8} {:>8}\n",
        "instance",
        "zone",
        "state",
        "revision",
        "targets",
        "opened",
        "moved",
        "answered",
        "pending",
        "unknown"
    );
    for page in pages {
        let (body, counters) = (&page.body, &page.body["counters"]);
        let targets = body["targets"].as_array().map_or(&[][..], Vec::as_slice);
        let ready = targets.iter().filter(|t| t["ready"] == true).count();
        let _ = writeln!(
            out,
            "{:<20} {:<12} {:<8} {:>8} {:>8} {:>7} {:>7} {:>10} {:>8} {:>8}",
            text(body, "instance"),
            text(body, "zone"),
            state(body),
            number(body, "revision"),
            format!("{ready}/{}", targets.len()),
            number(counters, "flows_opened"),
            number(counters, "flows_moved"),
            number(counters, "requests_answered"),
            number(body, "requests_pending"),
            number(counters, "requests_unknown"),
        );
    }
    out
}

fn state(body: &Value) -> &'static str {
    match (&body["leaving"], &body["ready"]) {
        (Value::Bool(true), _) => "leaving",
        (_, Value::Bool(false)) => "starting",
        _ => "live",
    }
}

/// Lists the problems that an operator must act on.
fn problems(pages: &[Page]) -> String {
    let mut out = String::new();
    let revision = |body| (number(body, "epoch"), number(body, "revision"));
    let newest = pages.iter().map(|p| revision(&p.body)).max();
    for Page { body, .. } in pages {
        let name = text(body, "instance");
        if Some(revision(body)) != newest {
            let _ = writeln!(out, "{name}: an older catalogue revision is in force");
        }
        for problem in body["catalogue_problems"].as_array().into_iter().flatten() {
            let _ = writeln!(
                out,
                "{name}: catalogue refused: {}",
                problem.as_str().unwrap_or("?")
            );
        }
        if body["conflict"] == true {
            let _ = writeln!(out, "{name}: another catalogue has the same revision");
        }
        let violations = number(body, "invariant_violations");
        if violations > 0 {
            let _ = writeln!(out, "{name}: {violations} invariants were violated");
        }
        for target in body["targets"].as_array().into_iter().flatten() {
            if target["mismatched"] == true {
                let _ = writeln!(
                    out,
                    "{name}: another process answers for {}",
                    text(target, "name")
                );
            }
        }
    }
    out
}

/// Open feeds and running requests by service number. All instances report the same targets, so the
/// largest value reported for a target is used, not the sum.
fn feeds(pages: &[Page]) -> String {
    let mut targets: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    for target in pages
        .iter()
        .flat_map(|p| p.body["targets"].as_array().into_iter().flatten())
    {
        let largest = targets.entry(text(target, "name")).or_default();
        largest.0 = number(target, "service");
        largest.1 = largest.1.max(number(target, "flows"));
        largest.2 = largest.2.max(number(target, "running"));
    }
    let mut services: BTreeMap<u64, (u64, u64, u64)> = BTreeMap::new();
    for (service, flows, running) in targets.into_values() {
        let sum = services.entry(service).or_default();
        *sum = (sum.0 + 1, sum.1 + flows, sum.2 + running);
    }
    let mut out = format!(
        "{:<16} {:>12} {:>12} {:>14}\n",
        "service number", "targets", "open feeds", "running"
    );
    for (service, (targets, flows, running)) in services {
        let _ = writeln!(out, "{service:<16} {targets:>12} {flows:>12} {running:>14}");
    }
    out
}

fn refused_work(pages: &[Page]) -> String {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for (name, value) in pages
        .iter()
        .flat_map(|p| p.body["counters"].as_object().into_iter().flatten())
    {
        if SHED_COUNTER_PATTERNS
            .iter()
            .any(|pattern| name.contains(pattern))
        {
            *sums.entry(name).or_default() += value.as_u64().unwrap_or(0);
        }
    }
    let mut out = "refused or dropped\n".to_owned();
    for (name, sum) in sums {
        let _ = writeln!(out, "  {:<28} {sum:>12}", name.replace('_', " "));
    }
    out
}

fn limits(pages: &[Page]) -> String {
    let mut out = String::new();
    for Page { body, .. } in pages {
        for section in LIMIT_SECTIONS {
            let mut lines = Vec::new();
            flatten(section, &body[section], &mut lines);
            for line in lines {
                let _ = writeln!(out, "{}: {line}", text(body, "instance"));
            }
        }
    }
    out
}

/// Appends a line with path and value for each scalar of a nested document.
fn flatten(path: &str, value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Null => {}
        Value::Object(map) => {
            for (key, value) in map {
                flatten(&format!("{path}.{key}"), value, lines);
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                let name = value["name"]
                    .as_str()
                    .map_or(index.to_string(), str::to_owned);
                flatten(&format!("{path}.{name}"), value, lines);
            }
        }
        scalar => lines.push(format!("{path} = {scalar}")),
    }
}
