//! `usage`: usage by owner and by service.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::Value;

use crate::pages::{Page, number, rows, text};

/// Usage of an owner or a service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    pub requests: u64,
    pub slot_ms: u64,
    pub held_ms: u64,
    pub bytes: u64,
}

impl Usage {
    fn from_json(value: &Value) -> Self {
        Self {
            requests: number(value, "requests"),
            slot_ms: number(value, "slot_ms"),
            held_ms: number(value, "held_ms"),
            bytes: number(value, "bytes"),
        }
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.slot_ms += other.slot_ms;
        self.held_ms += other.held_ms;
        self.bytes += other.bytes;
    }
}

/// Returns the usage by service, summed over the instances: each counts only the work that it
/// handled itself.
pub fn by_service(pages: &[Page]) -> BTreeMap<String, Usage> {
    let mut services: BTreeMap<String, Usage> = BTreeMap::new();
    for page in pages {
        // In the first version of the usage page the list is the page itself; the status page has
        // it under `usage`.
        let body = &page.body;
        let lists = [&body["services"], &body["usage"], body];
        let list = lists.into_iter().find(|l| l.is_array());
        for (name, value) in rows(list.unwrap_or(&Value::Null)) {
            services
                .entry(name)
                .or_default()
                .add(Usage::from_json(value));
        }
    }
    services
}

/// Returns the usage of the whole fleet by owner, from the instance whose oldest row is the most
/// recent.
pub fn by_owner(pages: &[Page]) -> Option<(&Page, BTreeMap<String, Usage>)> {
    let fleets = pages
        .iter()
        .filter(|p| p.body["fleet"]["owners"].is_object());
    let page = fleets.min_by_key(|p| number(&p.body["fleet"], "oldest_ms"))?;
    let owners = rows(&page.body["fleet"]["owners"]).into_iter();
    Some((
        page,
        owners.map(|(k, v)| (k, Usage::from_json(v))).collect(),
    ))
}

/// Formats usage as a table.
pub fn table(title: &str, usage: &BTreeMap<String, Usage>) -> String {
    let mut out = format!(
        "{title:<16} {:>12} {:>12} {:>14} {:>14}\n",
        "requests", "slot ms", "feed ms", "bytes"
    );
    for (name, u) in usage {
        let _ = writeln!(
            out,
            "{name:<16} {:>12} {:>12} {:>14} {:>14}",
            u.requests, u.slot_ms, u.held_ms, u.bytes
        );
    }
    out
}

/// Renders the usage pages of all queried instances.
pub fn render(pages: &[Page]) -> String {
    let mut out = String::new();
    if let Some((page, owners)) = by_owner(pages) {
        let fleet = &page.body["fleet"];
        let _ = writeln!(
            out,
            "fleet as known to {}; rows are {} to {} ms old",
            text(&page.body, "instance"),
            number(fleet, "youngest_ms"),
            number(fleet, "oldest_ms")
        );
        let _ = writeln!(out, "{}", table("owner", &owners));
    }
    let _ = writeln!(out, "counted by {} instance(s) asked", pages.len());
    out + &table("service", &by_service(pages))
}
