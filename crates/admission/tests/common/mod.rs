//! Fixtures: demands and results.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use tanager_admission::{Demand, GroupId, Pushed, Refusal, Ticket};
use tanager_core::{Clock, Millis};

pub fn at(millis: u64) -> Millis {
    Clock::START + Duration::from_millis(millis)
}

/// Returns a demand of 10 ms of work. The deadline is a second after the objective.
pub fn demand(priority: u64, repeatable: bool, objective: u64) -> Demand {
    Demand {
        priority,
        repeatable,
        objective: at(objective),
        deadline: at(objective + 1_000),
        work: Duration::from_millis(10),
        group: GroupId::new(1),
    }
}

/// Returns the ticket of a request that waits and has displaced none.
pub fn queued<T: std::fmt::Debug>(result: Pushed<T>) -> Ticket {
    match result {
        Pushed::Queued {
            ticket,
            displaced: None,
        } => ticket,
        other => panic!("expected a waiting request, found {other:?}"),
    }
}

pub fn refused<T>(result: &Pushed<T>) -> Option<Refusal> {
    match result {
        Pushed::Queued { .. } => None,
        Pushed::Refused { reason, .. } => Some(*reason),
    }
}
