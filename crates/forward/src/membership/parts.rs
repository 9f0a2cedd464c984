//! Division of the loads that an instance reports into the datagrams of a round, and their merging
//! by the receiver.

use std::cmp::Reverse;
use std::time::Duration;

use tanager_core::{FastMap, FastSet, Millis};

use super::BEACON_INTERVAL;
use crate::{Cookie, LoadPart, LoadReport};

/// Maximum number of loads in a datagram, so that it fits into one packet.
const PART_SIZE: usize = 80;
/// Maximum number of datagrams in a round.
pub const MAX_PARTS: usize = 4;
/// Rounds within which each load is reported again where the datagrams have room for it: 2 s.
const MAX_SKIPPED_ROUNDS: u16 = 5;

/// Loads last reported to a group of receivers.
#[derive(Debug, Default)]
pub struct LoadSender {
    round: u16,
    sent: FastMap<Cookie, Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    report: LoadReport,
    round: u16,
}

impl LoadSender {
    /// Returns the parts of the next round, in at most `max_parts` datagrams. `number` identifies it
    /// to the receivers, and increases over all groups, since a receiver may change its group. If
    /// there is no room for all loads, those of targets in trouble come first, then those not sent
    /// for 2 s, then changed ones, and of these the ones that were sent longest ago.
    pub fn next_round(
        &mut self,
        number: u16,
        mut loads: Vec<LoadReport>,
        max_parts: usize,
    ) -> Vec<(LoadPart, Vec<LoadReport>)> {
        self.round = self.round.wrapping_add(1);
        let room = PART_SIZE * max_parts;
        let rounds = loads.len().div_ceil(room).max(1);
        if rounds > 1 {
            loads.sort_by_cached_key(|load| Reverse(self.urgency(load)));
            self.forget_unlisted(&loads);
            loads.truncate(room);
        } else {
            self.sent.clear();
        }
        for report in &loads {
            let sent = Sent {
                report: *report,
                round: self.round,
            };
            self.sent.insert(report.cookie, sent);
        }
        divide(number, &loads, rounds)
    }

    fn urgency(&self, load: &LoadReport) -> (u16, bool, bool, u16) {
        let sent = self.sent.get(&load.cookie);
        let age = sent.map_or(u16::MAX, |s| self.round.wrapping_sub(s.round));
        let changed = sent.is_none_or(|s| s.report != *load);
        (load.trouble(), age >= MAX_SKIPPED_ROUNDS, changed, age)
    }

    fn forget_unlisted(&mut self, loads: &[LoadReport]) {
        let listed: FastSet<_> = loads.iter().map(|l| l.cookie).collect();
        self.sent.retain(|cookie, _| listed.contains(cookie));
    }

    /// Returns the load of a target as last reported.
    fn sent(&self, cookie: Cookie) -> Option<LoadReport> {
        self.sent.get(&cookie).map(|s| s.report)
    }
}

fn divide(number: u16, loads: &[LoadReport], rounds: usize) -> Vec<(LoadPart, Vec<LoadReport>)> {
    let mut chunks: Vec<_> = loads.chunks(PART_SIZE).map(<[_]>::to_vec).collect();
    if chunks.is_empty() {
        chunks.push(Vec::new());
    }
    let parts = u8::try_from(chunks.len()).unwrap_or(u8::MAX);
    let part = |index| LoadPart {
        round: number,
        index,
        parts,
        rounds: u16::try_from(rounds).unwrap_or(u16::MAX),
    };
    (0..parts).map(part).zip(chunks).collect()
}

/// The loads that a member reported.
#[derive(Debug, Clone, Default)]
pub struct HeardLoads {
    round: Option<u16>,
    /// Bits of the received parts of the round.
    received: u32,
    loads: FastMap<Cookie, Heard>,
}

/// A load that a member reported.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    pub report: LoadReport,
    /// What this instance had reported to the member by then, which the load includes.
    pub own: Option<LoadReport>,
    round: u16,
    at: Millis,
}

impl HeardLoads {
    /// Adds a part. Loads that the sender no longer lists are removed when all parts of a round have
    /// been received, or when they are not listed again for longer than the sender needs to list
    /// all. `sent` is what this instance reports to the sender.
    pub fn apply(&mut self, part: LoadPart, loads: &[LoadReport], sent: &LoadSender, now: Millis) {
        if self.is_outdated(part.round) {
            return;
        }
        if self.round != Some(part.round) {
            self.round = Some(part.round);
            self.received = 0;
        }
        for report in loads {
            let heard = Heard {
                report: *report,
                own: sent.sent(report.cookie),
                round: part.round,
                at: now,
            };
            self.loads.insert(report.cookie, heard);
        }
        self.received |= 1u32.checked_shl(u32::from(part.index)).unwrap_or(0);
        let complete = self.received.count_ones() >= u32::from(part.parts);
        if complete && part.rounds <= 1 {
            self.loads.retain(|_, heard| heard.round == part.round);
        } else {
            let lifetime = list_time(part.rounds);
            self.loads
                .retain(|_, heard| now.since(heard.at) <= lifetime);
        }
    }

    /// Returns whether a newer round has been received than this one.
    fn is_outdated(&self, round: u16) -> bool {
        let distance = |latest: u16| latest.wrapping_sub(round);
        self.round
            .is_some_and(|latest| (1..1 << 15).contains(&distance(latest)))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Heard> {
        self.loads.values()
    }
}

/// Returns the time in which a sender lists all loads, with one round for lost datagrams.
fn list_time(rounds: u16) -> Duration {
    BEACON_INTERVAL * (u32::from(rounds) + 1)
}
