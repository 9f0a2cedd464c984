use std::thread::sleep;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::{
    ByteSize, Clock, PublishedService, PublishedZone, Rate, RequestId, ResultCode, Revision,
    ServiceName, parse_duration,
};

/// Guards against two codes sharing a number, which would make logs ambiguous.
#[test]
fn result_codes_ascend_and_round_trip() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|c| c.number()).collect();

    assert!(numbers.is_sorted_by(|a, b| a < b));
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

/// Guards against accepting quantities without a unit, which operators misread by factors of 1000.
#[test]
fn quantities_without_unit_are_refused() {
    assert!("128".parse::<ByteSize>().is_err());
    assert!("4000".parse::<Rate>().is_err());
    assert!("-1/s".parse::<Rate>().is_err());
    assert!(parse_duration("20").is_err());
    assert_eq!(parse_duration("20s"), Ok(Duration::from_secs(20)));
}

/// Guards against names that would break log lines or metric labels.
#[test]
fn names_with_spaces_or_capitals_are_refused() {
    for text in ["", "two words", "Upper", "line\nbreak"] {
        assert!(text.parse::<ServiceName>().is_err(), "{text:?}");
    }
}

/// Guards against refusing names that another system publishes, which has a syntax of its own.
#[test]
fn published_names_have_any_syntax() {
    for text in ["Upper", "two words", "Ω/1", &"long".repeat(100)] {
        let name: PublishedService = text.parse().expect("a name");
        assert_eq!(name.to_string(), text);
    }
    assert!("".parse::<PublishedZone>().is_err());
}

proptest! {
    /// Guards against a size that changes when its text form is parsed again.
    #[test]
    fn byte_size_text_round_trips(bytes: u64) {
        let size = ByteSize::new(bytes);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
    }

    /// Guards against a request id that changes when its text form is parsed again.
    #[test]
    fn request_id_text_round_trips(bytes: [u8; 16]) {
        let id = RequestId::new(bytes);
        prop_assert_eq!(id.to_string().parse(), Ok(id));
    }
}

/// Guards against taking a number that was given out again for an older one.
#[test]
fn revisions_of_a_later_epoch_are_newer() {
    let earlier = Revision::new(900);
    let later = Revision::try_new(1, 3).expect("a revision");

    assert!(later > earlier);
    assert_eq!((later.epoch(), later.number()), (1, 3));
    assert_eq!(later.to_string().parse(), Ok(later));
    assert_eq!(earlier.to_string().parse(), Ok(earlier));
    assert!(Revision::try_new(1 << 24, 1).is_err());
    assert!(Revision::try_new(0, 1 << 40).is_err());
    assert!("1:".parse::<Revision>().is_err());
}

/// Guards against a clock that stands still or counts in another unit: all timeouts depend on it.
#[test]
fn the_clock_advances_with_the_time() {
    let before = Instant::now();
    let clock = Clock::start();
    let first = clock.now();

    sleep(Duration::from_millis(50));
    let elapsed = clock.now().since(first);

    let total = before.elapsed() + Duration::from_millis(1);
    assert!(elapsed >= Duration::from_millis(49), "{elapsed:?}");
    assert!(elapsed <= total, "{elapsed:?} of {total:?}");
}
