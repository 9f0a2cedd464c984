//! Tests of the detection of pauses.

use std::time::Duration;

use tanager_core::{Clock, Millis};

use crate::pause::PauseDetector;

fn at(millis: u64) -> Millis {
    Clock::START + Duration::from_millis(millis)
}

/// Guards against packets of an idle instance that are taken for old ones.
#[test]
fn an_idle_process_is_not_paused() {
    let mut pauses = PauseDetector::new(at(0));

    for tick in 1..50 {
        assert_eq!(pauses.observe(at(tick * 110)), None);
    }

    assert_eq!(pauses.waiting_since(), None);
}

/// Guards against packets that waited during a pause and pass for recent ones.
#[test]
fn packets_may_be_old_until_the_socket_is_empty() {
    let mut pauses = PauseDetector::new(at(0));
    pauses.observe(at(90));

    let length = pauses.observe(at(1_490));
    pauses.record_empty(at(1_491));
    let seems_empty = pauses.waiting_since();
    pauses.record_empty(at(1_600));

    assert_eq!(length, Some(Duration::from_millis(1_400)));
    assert_eq!(seems_empty, Some(at(90)));
    assert_eq!(pauses.waiting_since(), None);
}

/// Guards against packets of a first pause that are still unread when a second one begins.
#[test]
fn a_second_pause_continues_the_first_one() {
    let mut pauses = PauseDetector::new(at(0));
    pauses.observe(at(500));

    pauses.observe(at(900));

    assert_eq!(pauses.waiting_since(), Some(at(0)));
}

/// Guards against missing acknowledgements that are held against targets while they wait unread.
#[test]
fn a_socket_that_is_never_empty_has_a_backlog() {
    let mut pauses = PauseDetector::new(at(0));
    for batch in 1..4 {
        pauses.observe(at(batch * 60));
    }

    let early = pauses.has_backlog(at(140));
    let late = pauses.has_backlog(at(180));
    pauses.record_empty(at(190));

    assert_eq!((early, late), (false, true));
    assert!(!pauses.has_backlog(at(250)));
}
