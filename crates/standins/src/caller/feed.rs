//! A caller's feed: keepalives, moves between targets, updates in order, and breaks.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use tanager_core::{FlowId, ResultCode, ServiceId};
use tanager_wire::{Binding, Close, DatagramBody, FlowKind, Keepalive, Update};
use tokio::time::Instant;

use super::{Caller, Inbox, RETRY_INTERVAL, Session};

/// Time between keepalives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A feed that has received nothing for this long counts as broken.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(6);

/// The break of a feed: it was reset or received nothing any more.
#[derive(Debug, Clone, Copy)]
pub struct FeedBreak {
    /// Number of the target that held the feed.
    pub target: u32,
    /// When the caller detected the break.
    pub at: Instant,
    /// The code of the reset, if there was one.
    pub code: Option<ResultCode>,
}

/// Statistics of a feed that a caller held.
#[derive(Debug, Clone, Default)]
pub struct FeedReport {
    /// Whether it was ever opened.
    pub opened: bool,
    /// Number of breaks, after each of which the feed was opened again.
    pub broken: u32,
    /// The breaks counted in `broken`.
    pub breaks: Vec<FeedBreak>,
    /// Updates received in order.
    pub updates: u64,
    /// Longest time between updates in order.
    pub longest_gap: Duration,
    /// Moves to another target.
    pub moves: u32,
    /// Updates with the payload of another service or sequence number.
    pub wrong: u64,
}

impl Caller {
    /// Holds a feed open until `end`, opening it again after each break, and returns its
    /// statistics.
    pub async fn hold_feed(&self, end: Instant) -> FeedReport {
        let mut report = FeedReport::default();
        let (mut next, mut last_progress) = (0, None);
        while Instant::now() < end {
            let inbox = self.inbox(*FlowId::random().as_bytes());
            let (inbox, session) = match self.open(inbox, FlowKind::Feed, next).await {
                Ok(opened) => opened,
                Err(code) => {
                    if code == ResultCode::FlowNotResumable {
                        next = 0;
                    }
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            report.opened = true;
            let mut feed = OpenFeed::new(inbox, session, next, self.service);
            feed.last_progress = last_progress.unwrap_or(feed.last_progress);
            let hold_end = feed.hold(self, end, &mut report).await;
            next = feed.next;
            // The time until the feed is open again counts towards the gap.
            last_progress = Some(feed.last_progress);
            match hold_end {
                HoldEnd::Closed => break,
                HoldEnd::Broken(code) => {
                    report.broken += 1;
                    report.breaks.push(feed.feed_break(code));
                }
            }
        }
        report
    }
}

enum HoldEnd {
    Closed,
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
    /// Sequence numbers of updates that arrived before an earlier update.
    early: BTreeSet<u64>,
    number: u64,
    missed: u32,
    last_received: Instant,
    last_progress: Instant,
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
            last_received: now,
            last_progress: now,
        }
    }

    async fn hold(&mut self, caller: &Caller, end: Instant, report: &mut FeedReport) -> HoldEnd {
        let mut ticks = tokio::time::interval(KEEPALIVE_INTERVAL);
        loop {
            tokio::select! {
                body = self.inbox.receiver.recv() => match body {
                    Some(DatagramBody::Reset(reset)) => {
                        // A reset with another binding concerns a placement that a copy of an `Open` made
                        // or that the feed has left.
                        if reset.binding == Some(self.binding) {
                            return HoldEnd::Broken(Some(reset.code));
                        }
                    }
                    Some(body) => self.handle(caller, body, report).await,
                    None => return HoldEnd::Broken(None),
                },
                _ = ticks.tick() => {
                    if Instant::now() >= end {
                        self.close(caller, self.token.clone()).await;
                        return HoldEnd::Closed;
                    }
                    if self.last_received.elapsed() > RECEIVE_TIMEOUT {
                        return HoldEnd::Broken(None);
                    }
                    self.keepalive(caller).await;
                }
            }
            report.longest_gap = report.longest_gap.max(self.last_progress.elapsed());
        }
    }

    /// Returns the break of the current placement; the lower half of its binding is the target's
    /// number.
    fn feed_break(&self, code: Option<ResultCode>) -> FeedBreak {
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

    async fn handle(&mut self, caller: &Caller, body: DatagramBody, report: &mut FeedReport) {
        self.last_received = Instant::now();
        match body {
            DatagramBody::KeepaliveAck(_) => self.missed = 0,
            DatagramBody::Opened(opened) if opened.generation.get() > self.generation => {
                self.generation = opened.generation.get();
                self.binding = opened.binding;
                report.moves += 1;
                let former = std::mem::replace(&mut self.token, opened.token);
                self.close(caller, former).await;
            }
            DatagramBody::Update(update) => self.handle_update(&update, report),
            _ => {}
        }
    }

    fn handle_update(&mut self, update: &Update, report: &mut FeedReport) {
        let sequence = update.sequence;
        if update.payload != crate::feed::update_payload(self.service.get(), sequence) {
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
            report.longest_gap = report.longest_gap.max(self.last_progress.elapsed());
            self.last_progress = Instant::now();
        }
    }
}
