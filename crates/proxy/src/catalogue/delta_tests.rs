use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use tanager_core::Revision;

use crate::catalogue::delta::REGIONS_LIMIT;
use crate::catalogue::tests::design_size;
use crate::catalogue::{Delta, DocumentKind, DocumentReply, DocumentRequest};
use crate::catalogue::{History, PublishedDocument, Region, digest};

/// An edit of a text, line by line.
#[derive(Debug, Clone)]
enum Edit {
    Insert(usize, String),
    Remove(usize),
    Replace(usize, String),
    Move(usize, usize),
}

fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        // Lines that occur often, lines with multi-byte characters, and fragments without a line
        // end.
        Just("class: normal\n".to_owned()),
        Just("\n".to_owned()),
        "[a-cäé€]{0,6}\n",
        "[a-z]{1,3}",
    ]
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        (any::<usize>(), line()).prop_map(|(i, l)| Edit::Insert(i, l)),
        any::<usize>().prop_map(Edit::Remove),
        (any::<usize>(), line()).prop_map(|(i, l)| Edit::Replace(i, l)),
        any::<(usize, usize)>().prop_map(|(a, b)| Edit::Move(a, b)),
    ]
}

fn edited(lines: &[String], edits: Vec<Edit>) -> String {
    let mut lines = lines.to_vec();
    for edit in edits {
        let count = lines.len();
        match edit {
            Edit::Insert(i, line) => lines.insert(i % (count + 1), line),
            Edit::Remove(i) if count > 0 => drop(lines.remove(i % count)),
            Edit::Replace(i, line) if count > 0 => lines[i % count] = line,
            Edit::Move(a, b) if count > 0 => lines.swap(a % count, b % count),
            Edit::Remove(_) | Edit::Replace(..) | Edit::Move(..) => {}
        }
    }
    lines.concat()
}

proptest! {
    /// Guards against a delta that rebuilds a different text than the sender's.
    #[test]
    fn delta_rebuilds_the_edited_text(
        lines in vec(line(), 0..60),
        edits in vec(edit(), 0..12),
    ) {
        let base = lines.concat();
        let new = edited(&lines, edits);

        if let Some(delta) = Delta::between(&base, &new) {
            prop_assert_eq!(delta.apply(&base), Some(new));
        }
    }

    /// Guards against a peer that crashes this process, or has a different text accepted, with a
    /// fabricated delta.
    #[test]
    fn fabricated_delta_is_refused(
        regions in vec((0..40_u32, 0..40_u32, "[a-zä]{0,4}"), 0..8),
        base in "[a-zä€]{0,30}",
    ) {
        let region = |(start, end, text)| Region { start, end, text };
        let regions = regions.into_iter().map(region).collect();
        let delta = Delta { regions, digest: digest("the announced text") };

        prop_assert_eq!(delta.apply(&base), None);
    }

    /// Guards against a delta that was corrupted in transit.
    #[test]
    fn corrupt_delta_is_refused(at in 0..1_000_usize, region in 0..2_usize, by in 1..9_u32) {
        let base = design_size();
        let new = change(&base, at + 10);
        let mut delta = Delta::between(&base, &new).expect("small change");
        delta.regions[region].start = delta.regions[region].start.saturating_sub(by);

        prop_assert_eq!(delta.apply(&base), None);
    }
}

/// Returns the next revision of a catalogue of the design size, with one target changed.
fn change(text: &str, target: usize) -> String {
    let state = format!("incarnation: {target}, state: active");
    let new = text.replace(&state, &format!("incarnation: {target}, state: leaving"));
    new.replacen("revision: 1\n", "revision: 2\n", 1)
}

/// Guards against applying a delta to a different text than the one it was computed from.
#[test]
fn delta_for_another_base_is_refused() {
    let base = design_size();
    let delta = Delta::between(&base, &change(&base, 1_700)).expect("small change");

    assert_eq!(delta.apply(&change(&base, 7)), None);
    assert_eq!(delta.apply(""), None);
}

/// Guards against a peer that makes this process allocate too much memory.
#[test]
fn delta_that_grows_beyond_a_document_is_refused() {
    let region = |text: String| Region {
        start: 0,
        end: 0,
        text,
    };
    let large = Delta {
        regions: vec![region("x".repeat(1 << 19)); 3],
        digest: [0; 16],
    };
    let many = Delta {
        regions: vec![region(String::new()); REGIONS_LIMIT + 1],
        digest: digest("base"),
    };

    assert_eq!(large.apply("base"), None);
    assert_eq!(many.apply("base"), None);
}

/// Guards against a small change with a delta of about the size of the full catalogue.
#[test]
fn change_of_one_target_costs_little_at_the_design_size() {
    let base = design_size();

    let start = std::time::Instant::now();
    let delta = Delta::between(&base, &change(&base, 1_700)).expect("small change");
    let time = start.elapsed();

    let bytes: usize = delta.regions.iter().map(|r| r.text.len() + 16).sum();
    println!(
        "{bytes} bytes in place of {}, computed in {time:?}",
        base.len()
    );
    assert!(bytes < 200, "{bytes} bytes");
}

fn published(revision: u64, text: &str) -> PublishedDocument {
    PublishedDocument {
        revision: Revision::new(revision),
        digest: digest(text),
        text: Arc::from(text),
    }
}

/// Guards against an instance that stays behind because the peer no longer has its text, and
/// against full texts for instances that are a few revisions behind.
#[test]
fn kept_base_gets_a_delta_and_any_other_the_full_text() {
    let first = design_size();
    let second = change(&first, 1_700);
    let history = History::default();
    history.push(digest(&first), Arc::from(first.as_str()));
    history.push(digest(&second), Arc::from(second.as_str()));
    let current = published(2, &second);
    let request = |after, base| DocumentRequest {
        kind: DocumentKind::Catalogue,
        after: Revision::new(after),
        base,
    };
    let answer = |after, base| history.answer(&current, &request(after, base));

    let Some(DocumentReply::Changed(delta)) = answer(1, Some(digest(&first))) else {
        panic!("expected a delta")
    };
    assert_eq!(delta.apply(&first).as_deref(), Some(second.as_str()));
    let full_reply = Some(DocumentReply::Whole(second.clone()));
    assert_eq!(answer(1, Some(digest("another text"))), full_reply);
    assert_eq!(answer(0, None), full_reply);
    assert_eq!(answer(2, None), None);
}
