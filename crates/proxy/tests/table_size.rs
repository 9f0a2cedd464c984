//! Measures the memory and time that the request table needs for one request. The test has a
//! process of its own, because it reads the memory use of the process.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tanager_core::{Clock, RequestId, ServiceId};
use tanagerproxy::execution::{
    Arrival, Lookup, RequestKey, RequestOutcome, RequestTable, TableLimits,
};

const REQUESTS: u32 = 200_000;
const ANSWER_SIZE: usize = 64;

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.expect("resident size") * 1_024
}

fn key(number: u32) -> RequestKey {
    RequestKey {
        service: ServiceId::new(1),
        request: RequestId::new((u128::from(number) * 0x9E37_79B9_7F4A_7C15).to_be_bytes()),
    }
}

/// Guards against entries too large for the control memory of 128 MB, and against an expiry that is
/// too slow for thousands of requests per second.
#[test]
fn full_table_fits_the_control_memory() {
    let mut table = RequestTable::new(TableLimits::default());
    let before = resident_bytes();
    let start = Instant::now();
    let mut now = Clock::START;
    for number in 0..REQUESTS {
        let arrival = Arrival {
            key: key(number),
            deadline: now + Duration::from_secs(5),
            listed: true,
            exclusive: true,
            leaving: false,
        };
        assert!(matches!(table.begin(arrival, now), Lookup::New(_)));
        let payload = Bytes::from(vec![7; ANSWER_SIZE]);
        let outcome = RequestOutcome::Answered { answer: 1, payload };
        table.finish(arrival.key, outcome);
        // 200,000 requests in 25 s, which is less than their retention.
        if number % 8 == 0 {
            now = now + Duration::from_millis(1);
        }
    }
    let filled = start.elapsed();
    let memory = resident_bytes().saturating_sub(before);
    let full = table.len();
    let start = Instant::now();
    table.cancel(key(0), now + Duration::from_mins(2));
    let expired = start.elapsed();

    println!(
        "{} bytes an entry with an answer of {ANSWER_SIZE} bytes, {} ns to begin and end one, \
         {} ns to expire one",
        memory / full,
        filled.as_nanos() / u128::from(REQUESTS),
        expired.as_nanos() / u128::from(REQUESTS)
    );
    assert_eq!(full, REQUESTS as usize);
    assert_eq!(table.len(), 1, "only the cancelled id is left");
    // The table and 32 MiB of answers share the control memory of 128 MB with other control data.
    assert!(memory < 72 << 20, "{memory} bytes");
    // At 5,000 requests per second this is 4% of a core, the share reserved for control.
    assert!((filled + expired) / REQUESTS < Duration::from_micros(8));
}
