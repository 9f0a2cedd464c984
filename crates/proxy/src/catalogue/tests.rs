use tanager_core::{ResultCode, ServiceId, TargetId};

use crate::Error;
use crate::catalogue::{Catalogue, CatalogueStore};

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

/// Guards against refusing the documented form.
#[test]
fn valid_catalogue_is_read() {
    let catalogue = Catalogue::read(&document(1)).expect("catalogue");

    let (entry, target) = catalogue.target(TargetId::new(1)).expect("target");
    assert_eq!(entry.service, ServiceId::new(1));
    assert_eq!(target.slots, 2);
}

/// Guards against going back to older data that a stale platform serves.
#[test]
fn older_revision_is_refused() {
    let store = CatalogueStore::default();
    store.offer(&document(5)).expect("newer");

    let error = store.offer(&document(4)).expect_err("older");

    assert_eq!(code(&error), ResultCode::RevisionNotNewer);
    assert_eq!(store.current().revision.get(), 5);
}

/// Guards against an invalid edit taking services away.
#[test]
fn invalid_catalogue_leaves_the_old_one_in_force() {
    let store = CatalogueStore::default();
    store.offer(&document(1)).expect("valid");

    let error = store
        .offer(&document(2).replace("owner: abay", "owner: kuiseb"))
        .expect_err("invalid");

    assert_eq!(code(&error), ResultCode::DocumentReference);
    assert_eq!(store.current().revision.get(), 1);
    assert_eq!(store.refused().len(), 1);
}
