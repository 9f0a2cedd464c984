//! A bounded queue of requests in the order in which they are served.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use tanager_core::{FastMap, Millis};

use crate::Demand;
use crate::demand::Class;
use crate::groups::ClassLoads;
use crate::order::WeightedSet;

/// Longest expected wait that is reported.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Identifies a request in a queue. Later ones are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What happens to a request that is not expected to be answered by its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatePolicy {
    /// It is refused at once, so that its client can try elsewhere.
    Refuse,
    /// It waits until its deadline, after the others.
    Keep,
}

/// Why a request is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It is not expected to be answered by its objective.
    Late,
    /// The queue is full of requests that come before it.
    Full,
}

/// The result of [`WaitQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// The request waits.
    Queued {
        /// Identifies it.
        ticket: Ticket,
        /// The request that it displaced, if the queue was full.
        displaced: Option<T>,
    },
    /// The request does not wait.
    Refused {
        /// The request.
        value: T,
        /// Why.
        reason: Refusal,
    },
}

/// The place of a request in the order. Lower ones are served first; the order of the fields matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Whether it can no longer be answered by its objective.
    late: bool,
    class: Class,
    /// Whether it exceeded its group's share of the class.
    excess: bool,
    /// The objective; for late ones the time from it to the end of the clock's range.
    due: Millis,
    ticket: Ticket,
}

impl Place {
    /// Returns whether two requests differ in their time only.
    fn is_peer(&self, other: &Self) -> bool {
        (self.late, self.class, self.excess) == (other.late, other.class, other.excess)
    }

    /// Moves the request behind all that can still be in time. The last one that became late comes
    /// first: of all late ones its answer is of most use.
    const fn make_late(&mut self) {
        self.late = true;
        self.due = Millis::new(u64::MAX - self.due.get());
    }
}

#[derive(Debug)]
struct Entry<T> {
    demand: Demand,
    place: Place,
    value: T,
}

/// A bounded queue of requests.
///
/// Requests that can still be answered by their objective come first; among them the more urgent
/// priority, then those that must not run twice, then those within the share of their group, then the
/// earliest objective, then the earlier arrival. Late ones follow in the same order of classes, the
/// latest objective first. All operations take O(log n).
#[derive(Debug)]
pub struct WaitQueue<T> {
    /// Maximum number of requests.
    limit: usize,
    /// Invariant: at most as many as the limit was when the last one was added.
    entries: FastMap<Ticket, Entry<T>>,
    /// Invariant: the places of all entries that have not expired.
    order: WeightedSet<Place>,
    /// When the requests that are in time become late.
    turns: BTreeSet<(Millis, Ticket)>,
    /// The deadlines of the requests in `order`.
    deadlines: BTreeSet<(Millis, Ticket)>,
    /// Requests past their deadline, until they are taken.
    expired: VecDeque<Ticket>,
    loads: ClassLoads,
    next: u64,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue for up to `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            entries: FastMap::default(),
            order: WeightedSet::default(),
            turns: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            expired: VecDeque::new(),
            loads: ClassLoads::default(),
            next: 0,
        }
    }

    /// Changes the limit. Requests that wait already are kept.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of requests, including expired ones that have not been taken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a request that is served without having waited.
    pub fn record_served(&mut self, demand: &Demand, now: Millis) {
        self.loads.offer(demand, now);
        self.loads.serve(demand, now);
    }

    /// Adds a request, or refuses it.
    pub fn push(&mut self, demand: Demand, policy: LatePolicy, value: T, now: Millis) -> Pushed<T> {
        self.advance(now);
        let excess = self.loads.offer(&demand, now);
        let place = self.place(&demand, excess, now);
        let refuse = |value, reason| Pushed::Refused { value, reason };
        let expected = now + self.wait_at(&place, demand.weight(), now);
        let late = policy == LatePolicy::Refuse && expected > demand.latest_start();
        if late || now >= demand.deadline {
            return refuse(value, Refusal::Late);
        }
        let mut displaced = None;
        if self.entries.len() >= self.limit {
            match self.order.last().filter(|last| place < *last) {
                Some(last) => displaced = self.remove(last.ticket),
                None => return refuse(value, Refusal::Full),
            }
        }
        self.insert(demand, place, value);
        Pushed::Queued {
            ticket: place.ticket,
            displaced,
        }
    }

    /// Returns the time that a request would wait: the work that comes before it, and its own, divided
    /// by the rate at which work of its class and of less urgent ones was served recently.
    #[must_use]
    pub fn expected_wait(&self, demand: &Demand, now: Millis) -> Duration {
        let place = self.place(demand, false, now);
        self.wait_at(&place, demand.weight(), now)
    }

    /// Returns the number of waiting requests that would be served before a new one.
    #[must_use]
    pub fn ahead(&self, demand: &Demand, now: Millis) -> usize {
        self.order.before(&self.place(demand, false, now)).1
    }

    /// Returns the request to be served next.
    pub fn first(&mut self, now: Millis) -> Option<(&Demand, &T)> {
        self.advance(now);
        let first = self.order.first()?;
        let entry = self.entries.get(&first.ticket)?;
        Some((&entry.demand, &entry.value))
    }

    /// Returns the requests that come next, up to `count` of them, as far as their precedence is that
    /// of the first one. A caller may serve any of them next.
    pub fn peers_of_first(&mut self, count: usize, now: Millis) -> Vec<(Ticket, &T)> {
        self.advance(now);
        let places = self.order.first_keys(count);
        let peers = places.iter().take_while(|p| p.is_peer(&places[0]));
        let entries = peers.filter_map(|p| Some((p.ticket, &self.entries.get(&p.ticket)?.value)));
        entries.collect()
    }

    /// Removes and returns the request to be served next.
    pub fn pop(&mut self, now: Millis) -> Option<(Demand, T)> {
        self.advance(now);
        let first = self.order.first()?;
        self.serve(first.ticket, now)
    }

    /// Removes and returns a request that is served.
    pub fn serve(&mut self, ticket: Ticket, now: Millis) -> Option<(Demand, T)> {
        let entry = self.take(ticket)?;
        self.loads.serve(&entry.demand, now);
        Some((entry.demand, entry.value))
    }

    /// Removes and returns a request that has passed its deadline, if there is one.
    pub fn take_expired(&mut self, now: Millis) -> Option<(Demand, T)> {
        self.advance(now);
        while let Some(ticket) = self.expired.pop_front() {
            if let Some(entry) = self.entries.remove(&ticket) {
                return Some((entry.demand, entry.value));
            }
        }
        None
    }

    /// Returns when the next request passes its deadline.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        let expired = self.expired.front().and_then(|t| self.entries.get(t));
        let expired = expired.map(|e| e.demand.deadline);
        expired.or_else(|| self.deadlines.first().map(|(at, _)| *at))
    }

    /// Removes a request, wherever it is in the order.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.take(ticket).map(|e| e.value)
    }

    /// Returns a waiting request.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut T> {
        self.entries.get_mut(&ticket).map(|e| &mut e.value)
    }

    /// Returns all requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &T)> {
        self.entries.iter().map(|(t, e)| (*t, &e.value))
    }

    fn place(&self, demand: &Demand, excess: bool, now: Millis) -> Place {
        let mut place = Place {
            late: false,
            class: demand.class(),
            excess,
            due: demand.objective,
            ticket: Ticket(self.next),
        };
        if now > demand.latest_start() {
            place.make_late();
        }
        place
    }

    fn wait_at(&self, place: &Place, work: f64, now: Millis) -> Duration {
        let (ahead, _) = self.order.before(place);
        if ahead <= 0.0 {
            // It is served next, whatever the rate was.
            return Duration::ZERO;
        }
        let wait = (ahead + work) / self.loads.rate_for(place.class, now);
        Duration::try_from_secs_f64(wait).map_or(MAX_WAIT, |w| w.min(MAX_WAIT))
    }

    fn insert(&mut self, demand: Demand, place: Place, value: T) {
        let ticket = place.ticket;
        self.next += 1;
        self.order.insert(place, demand.weight());
        if !place.late {
            self.turns.insert((demand.latest_start(), ticket));
        }
        self.deadlines.insert((demand.deadline, ticket));
        let entry = Entry {
            demand,
            place,
            value,
        };
        self.entries.insert(ticket, entry);
    }

    fn take(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.order.remove(&entry.place);
        self.turns.remove(&(entry.demand.latest_start(), ticket));
        self.deadlines.remove(&(entry.demand.deadline, ticket));
        Some(entry)
    }

    /// Moves the requests that have become late or have expired. Each moves at most twice.
    fn advance(&mut self, now: Millis) {
        // Expired requests may be removed by their tickets.
        let entries = &self.entries;
        while self
            .expired
            .pop_front_if(|t| !entries.contains_key(t))
            .is_some()
        {}
        while let Some(ticket) = take_first(&mut self.deadlines, |at| at <= now) {
            if let Some(entry) = self.entries.get(&ticket) {
                self.order.remove(&entry.place);
                self.turns.remove(&(entry.demand.latest_start(), ticket));
                self.expired.push_back(ticket);
            }
        }
        while let Some(ticket) = take_first(&mut self.turns, |at| at < now) {
            if let Some(entry) = self.entries.get_mut(&ticket) {
                self.order.remove(&entry.place);
                entry.place.make_late();
                self.order.insert(entry.place, entry.demand.weight());
            }
        }
    }
}

/// Removes the first of some times if it has passed.
fn take_first(
    times: &mut BTreeSet<(Millis, Ticket)>,
    passed: impl Fn(Millis) -> bool,
) -> Option<Ticket> {
    let (at, _) = times.first()?;
    if !passed(*at) {
        return None;
    }
    times.pop_first().map(|(_, ticket)| ticket)
}
