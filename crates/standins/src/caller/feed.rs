//! A caller's feed: keepalives, moves, updates in order, and what breaks it.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FlowId, ResultCode, ServiceId};
use tanager_wire::{Binding, Close, DatagramBody, FlowKind, Keepalive, Update};
use tokio::time::Instant;

use super::{Caller, Inbox, REPEAT_INTERVAL, Session};

/// Time between keepalives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A feed that heard nothing for this long counts as broken.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// A feed that was reset or fell silent.
#[derive(Debug, Clone, Copy)]
pub struct FeedBreak {
    /// Number of the target that held the feed.
    pub target: u32,
    /// When the caller noticed.
    pub at: Instant,
    /// The code of the reset, if there was one.
    pub code: Option<ResultCode>,
}

/// What became of a feed.
#[derive(Debug, Clone, Default)]
pub struct FeedReport {
    /// Whether it opened at all.
    pub opened: bool,
    /// Times that it was reset or fell silent and had to be opened anew.
    pub broken: u32,
    /// The breaks that `broken` counts.
    pub breaks: Vec<FeedBreak>,
    /// Updates received in order.
    pub updates: u64,
    /// Longest time without an update in order.
    pub longest_gap: Duration,
    /// Moves to another target.
    pub moves: u32,
    /// Updates of another service or with another number.
    pub wrong: u64,
}

impl Caller {
    /// Holds a feed open until `end` and reports what happened.
    pub async fn hold_feed(&self, end: Instant) -> FeedReport {
        let mut report = FeedReport::default();
        let (mut next, mut progressed) = (0, None);
        while Instant::now() < end {
            let inbox = self.inbox(*FlowId::random().as_bytes());
            let (inbox, session) = match self.open(inbox, FlowKind::Feed, next).await {
                Ok(opened) => opened,
                Err(code) => {
                    if code == ResultCode::FlowNotResumable {
                        next = 0;
                    }
                    tokio::time::sleep(REPEAT_INTERVAL).await;
                    continue;
                }
            };
            report.opened = true;
            let mut feed = OpenFeed::new(inbox, session, next, self.service);
            feed.progressed = progressed.unwrap_or(feed.progressed);
            let held = feed.hold(self, end, &mut report).await;
            next = feed.next;
            // The time without a feed is part of the gap.
            progressed = Some(feed.progressed);
            match held {
                Held::Ended => break,
                Held::Broken(code) => {
                    report.broken += 1;
                    report.breaks.push(feed.broke(code));
                }
            }
        }
        report
    }
}

enum Held {
    Ended,
    Broken(Option<ResultCode>),
}

struct OpenFeed {
    inbox: Inbox,
    token: Bytes,
    binding: Binding,
    service: ServiceId,
    generation: u32,
    /// Next sequence number expected in order; 0 until the first update.
    next: u64,
    /// Updates that arrived early.
    early: BTreeSet<u64>,
    number: u64,
    missed: u32,
    heard: Instant,
    progressed: Instant,
}

impl OpenFeed {
    fn new(inbox: Inbox, session: Session, next: u64, service: ServiceId) -> Self {
        let now = Instant::now();
        Self {
            inbox,
            token: session.token,
            binding: session.binding,
            service,
            generation: 0,
            next,
            early: BTreeSet::new(),
            number: 0,
            missed: 0,
            heard: now,
            progressed: now,
        }
    }

    async fn hold(&mut self, caller: &Caller, end: Instant, report: &mut FeedReport) -> Held {
        let mut ticks = tokio::time::interval(KEEPALIVE_INTERVAL);
        loop {
            tokio::select! {
                body = self.inbox.receiver.recv() => match body {
                    Some(DatagramBody::Reset(reset)) => {
                        // Other placements come from copies of an `Open` or from earlier moves.
                        if reset.binding == Some(self.binding) {
                            return Held::Broken(Some(reset.code));
                        }
                    }
                    Some(body) => self.take(caller, body, report).await,
                    None => return Held::Broken(None),
                },
                _ = ticks.tick() => {
                    if Instant::now() >= end {
                        self.close(caller, self.token.clone()).await;
                        return Held::Ended;
                    }
                    if self.heard.elapsed() > SILENCE_LIMIT {
                        return Held::Broken(None);
                    }
                    self.keepalive(caller).await;
                }
            }
            report.longest_gap = report.longest_gap.max(self.progressed.elapsed());
        }
    }

    /// The lower half of a binding is the target's number.
    fn broke(&self, code: Option<ResultCode>) -> FeedBreak {
        let target = u32::try_from(self.binding.get() & u64::from(u32::MAX)).unwrap_or(0);
        let at = Instant::now();
        FeedBreak { target, at, code }
    }

    async fn keepalive(&mut self, caller: &Caller) {
        self.number += 1;
        let keepalive = Keepalive {
            flow: FlowId::new(self.inbox.id),
            token: self.token.clone(),
            number: self.number,
            acked: self.next.saturating_sub(1),
            missed: self.missed,
        };
        self.missed += 1;
        caller.send(DatagramBody::Keepalive(keepalive)).await;
    }

    async fn close(&self, caller: &Caller, token: Bytes) {
        let flow = FlowId::new(self.inbox.id);
        caller
            .send(DatagramBody::Close(Close { flow, token }))
            .await;
    }

    async fn take(&mut self, caller: &Caller, body: DatagramBody, report: &mut FeedReport) {
        self.heard = Instant::now();
        match body {
            DatagramBody::KeepaliveAck(_) => self.missed = 0,
            DatagramBody::Opened(opened) if opened.generation.get() > self.generation => {
                self.generation = opened.generation.get();
                self.binding = opened.binding;
                report.moves += 1;
                let old = std::mem::replace(&mut self.token, opened.token);
                self.close(caller, old).await;
            }
            DatagramBody::Update(update) => self.take_update(&update, report),
            _ => {}
        }
    }

    fn take_update(&mut self, update: &Update, report: &mut FeedReport) {
        let sequence = update.sequence;
        if update.payload != crate::feed::payload(self.service.get(), sequence) {
            report.wrong += 1;
        }
        if self.next == 0 {
            self.next = sequence;
        }
        if sequence >= self.next {
            self.early.insert(sequence);
        }
        while self.early.remove(&self.next) {
            self.next += 1;
            report.updates += 1;
            report.longest_gap = report.longest_gap.max(self.progressed.elapsed());
            self.progressed = Instant::now();
        }
    }
}
