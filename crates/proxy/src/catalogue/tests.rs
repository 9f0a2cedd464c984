use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;

use tanager_core::{Clock, ResultCode, Revision, ServiceId, TargetId};

use crate::Error;
use crate::catalogue::{Catalogue, CatalogueStore, Source, check, digest};
use crate::telemetry::Log;

fn document(revision: u64) -> String {
    format!(
        "revision: {revision}\n\
         owners:\n\
         - {{ name: abay, limits: {{ requests: 4000/s, flows: 28000 }} }}\n\
         entries:\n\
         - service: buzz\n  number: 1\n  owner: abay\n  class: urgent\n\
         \x20 limits: {{ requests: 2000/s, minimum: 500/s, flows: 28000, queue: 256 }}\n\
         \x20 targets:\n\
         \x20 - {{ name: buzz-1, number: 1, address: 127.0.0.1:9001, zone: addis-a, incarnation: 1, state: active, slots: 2, flows: 2000 }}\n"
    )
}

fn code(error: &Error) -> ResultCode {
    error.code()
}

/// Guards against refusing a catalogue of the documented form.
#[test]
fn valid_catalogue_is_read() {
    let catalogue = Catalogue::read(&document(1)).expect("catalogue");

    let (entry, target) = catalogue.target(TargetId::new(1)).expect("target");
    assert_eq!(entry.service, ServiceId::new(1));
    assert_eq!(target.slots, 2);
}

/// Guards against an odd entry that ends the process or stops it from taking later editions: very
/// deeply nested, with a number too large or with a port out of range.
#[test]
fn an_odd_entry_is_refused_and_the_next_edition_taken() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        document(2).replace("zone: addis-a", &format!("zone: {nested}")),
        document(2).replace(
            "number: 1,",
            "number: 99999999999999999999999999999999999999999,",
        ),
        document(2).replace("slots: 2", "slots: 1e999"),
        document(2).replace("127.0.0.1:9001", "127.0.0.1:70000"),
    ];
    let store = CatalogueStore::default();
    store.offer(&document(1)).expect("first");

    for text in &odd {
        let refused = store.offer(text).is_err();

        assert!(refused, "{}", &text[..200]);
        assert_eq!(store.current().revision.number(), 1);
    }
    store.offer(&document(3)).expect("the next edition");
}

/// Guards against returning to an older catalogue that a stale platform serves.
#[test]
fn older_revision_is_refused() {
    let store = CatalogueStore::default();
    store.offer(&document(5)).expect("newer");

    let error = store.offer(&document(4)).expect_err("older");

    assert_eq!(code(&error), ResultCode::RevisionNotNewer);
    assert_eq!(store.current().revision.number(), 5);
}

/// Guards against ignoring an edit after the platform was restored from a copy: its number was used
/// before, by an edit that the platform has lost. The restored text itself must not come into force.
#[test]
fn a_revision_given_out_again_in_a_later_epoch_comes_into_force() {
    let store = CatalogueStore::default();
    store.offer(&document(7)).expect("before the restore");
    let edit = format!("epoch: 1\n{}", document(6).replace("slots: 2", "slots: 3"));

    let restored = store.offer(&document(5)).expect_err("older");
    store.offer(&edit).expect("a later epoch");

    assert_eq!(code(&restored), ResultCode::RevisionNotNewer);
    assert_eq!(store.current().revision.to_string(), "1:6");
    store.offer(&document(8)).expect_err("an earlier epoch");
}

/// Guards against an invalid edit that removes services.
#[test]
fn invalid_catalogue_leaves_the_old_one_in_force() {
    let store = CatalogueStore::default();
    store.offer(&document(1)).expect("valid");

    let error = store
        .offer(&document(2).replace("owner: abay", "owner: kuiseb"))
        .expect_err("invalid");

    assert_eq!(code(&error), ResultCode::DocumentReference);
    assert_eq!(store.current().revision.number(), 1);
    assert_eq!(store.refused_problems().len(), 1);
}

/// Guards against reporting only the first problem of a refused edit.
#[test]
fn all_problems_are_reported_with_their_lines() {
    let target = "  - { name: buzz-1, number: 1, address: 127.0.0.1:9001, zone: addis-a, \
                  incarnation: 1, state: gone, slots: 0, flows: 2000, colour: red }\n";
    let text = document(1)
        .replace("minimum: 500/s", "minimum: 5000/s")
        .replace("queue: 256", "queue: many")
        .replace("owner: abay", "owner: kuiseb")
        .replace("requests: 4000/s", "requests: 4000")
        + target;

    let found: Vec<_> = check(&text)
        .into_iter()
        .map(|p| (p.code, p.key, p.line.expect("line")))
        .collect();

    let expected = [
        (ResultCode::ValueMalformed, "owners[0].limits.requests", 3),
        (ResultCode::DocumentReference, "entries[0].owner", 7),
        (ResultCode::ValueMalformed, "entries[0].limits.queue", 9),
        (ResultCode::DocumentLimits, "entries[0].limits.minimum", 9),
        (
            ResultCode::DocumentMalformed,
            "entries[0].targets[1].colour",
            12,
        ),
        (
            ResultCode::DocumentDuplicate,
            "entries[0].targets[1].name",
            12,
        ),
        (
            ResultCode::DocumentDuplicate,
            "entries[0].targets[1].number",
            12,
        ),
        (
            ResultCode::DocumentDuplicate,
            "entries[0].targets[1].address",
            12,
        ),
        (
            ResultCode::ValueMalformed,
            "entries[0].targets[1].state",
            12,
        ),
        (
            ResultCode::ValueOutOfRange,
            "entries[0].targets[1].slots",
            12,
        ),
    ];
    let mut found = found;
    found.sort_by(|a, b| (a.2, &a.1).cmp(&(b.2, &b.1)));
    let mut expected = expected.map(|(code, key, line)| (code, key.to_owned(), line));
    expected.sort_by(|a, b| (a.2, &a.1).cmp(&(b.2, &b.1)));
    assert_eq!(found, expected);
}

/// Guards against guaranteed rates that add up to more than the owner's limit.
#[test]
fn minimums_above_the_owners_limit_are_refused() {
    let text = document(1).replace("requests: 4000/s", "requests: 400/s");

    let found = check(&text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].code, ResultCode::DocumentLimits);
}

/// Guards against two catalogues with the same revision, by different editors, that replace each
/// other.
#[test]
fn conflicting_revision_is_reported_and_the_first_stays() {
    let store = CatalogueStore::default();
    store.offer(&document(1)).expect("first");
    let other = document(1).replace("4000/s", "3000/s");

    let error = store.offer(&other).expect_err("conflict");

    assert_eq!(code(&error), ResultCode::RevisionConflict);
    assert!(store.has_conflict());
    assert_eq!(*store.current().text, document(1));
}

/// Guards against a log line for each heartbeat of a peer with a conflicting catalogue.
#[test]
fn conflict_is_reported_once() {
    let store = CatalogueStore::default();
    store.offer(&document(1)).expect("first");
    let other = digest(&document(1).replace("4000/s", "3000/s"));

    let reported = (0..5).filter(|_| store.record_conflict(other)).count();

    assert_eq!(reported, 1);
}

/// Guards against transferring a refused catalogue repeatedly, and against a refused one with an
/// implausible revision that hides every later one.
#[tokio::test]
async fn refused_revision_is_not_requested_again() {
    let store = Arc::new(CatalogueStore::default());
    let log = Log::discard(Clock::start());
    store.offer(&document(1)).expect("first");

    let bad = document(2).replace("owner: abay", "owner: kuiseb");
    Arc::clone(&store)
        .offer_and_log(bad, Source::Platform, &log)
        .await;
    assert_eq!(store.watch_after(), Revision::new(2));

    let implausible = document(999_999_999_999_999);
    Arc::clone(&store)
        .offer_and_log(implausible, Source::Platform, &log)
        .await;
    assert_eq!(store.watch_after(), Revision::new(1));
}

/// Returns a catalogue of the design size: 620 services with 3,400 targets.
pub(super) fn design_size() -> String {
    let limits = "{ requests: 100000/s, flows: 19000000 }";
    let mut text =
        format!("revision: 1\nowners:\n- {{ name: abay, limits: {limits} }}\nentries:\n");
    let mut number = 0;
    for service in 1..=620 {
        let _ = write!(
            text,
            "- service: service-{service}\n  number: {service}\n  owner: abay\n  class: normal\n  \
             limits: {{ requests: 2000/s, minimum: 50/s, flows: 28000, queue: 256 }}\n  targets:\n"
        );
        for _ in 0..if service <= 300 { 6 } else { 5 } {
            number += 1;
            let address = format!("10.0.{}.{}:9000", number / 250, number % 250);
            let _ = writeln!(
                text,
                "  - {{ name: service-{service}-{number}, number: {number}, address: \"{address}\", \
                 zone: addis-a, incarnation: {number}, state: active, slots: 2, flows: 2000 }}"
            );
        }
    }
    assert_eq!(number, 3_400);
    text
}

/// Guards against a format too large for the platform to publish at the design size.
#[test]
fn catalogue_of_the_design_size_fits_and_is_read() {
    let text = design_size();

    let start = Instant::now();
    let catalogue = Catalogue::read(&text).expect("valid");
    println!("{} bytes read in {:?}", text.len(), start.elapsed());

    assert!(text.len() < 1_000_000, "{} bytes", text.len());
    assert_eq!(catalogue.entries.len(), 620);
    assert_eq!(catalogue.service_of_target.len(), 3_400);
}
