use std::ffi::OsString;

use pico_args::Arguments;
use serde_json::{Value, json};

use crate::pages::Page;
use crate::{Command, check, dashboard, explain, parse_command, usage};

fn command(line: &str) -> Result<Command, String> {
    let words = line.split(' ').map(OsString::from).collect();
    parse_command(Arguments::from_vec(words))
}

fn page(body: Value) -> Page {
    let address = "127.0.0.1:7201".parse().expect("address");
    Page { address, body }
}

/// Guards against wrong arguments that are ignored or only partly parsed.
#[test]
fn wrong_arguments_are_refused() {
    for line in [
        "status",
        "status here",
        "explain 127.0.0.1:1",
        "explain --last --flow 00000000000000000000000000000001 127.0.0.1:1",
        "explain --flow x 127.0.0.1:1",
        "check",
        "check --settings a --catalogue b",
        "stop 127.0.0.1:1",
        "forwarder 127.0.0.1:1",
        "forwarder explain 127.0.0.1:1",
        "forwarder explain here 10.0.0.1:1>10.0.0.2:2",
        "forwarder explain 127.0.0.1:1 10.0.0.1:1>10.0.0.2:2 more",
    ] {
        assert!(command(line).is_err(), "{line}");
    }
    assert!(matches!(command("status --json 127.0.0.1:1"), Ok(Command::Status(i)) if i.json));
    assert!(matches!(
        command("explain --last 127.0.0.1:1"),
        Ok(Command::Explain(..))
    ));
}

/// Guards against counting the usage of one instance twice, and against either form of the page
/// being parsed as empty.
#[test]
fn usage_is_summed_over_instances() {
    let one = json!({ "requests": 2, "slot_ms": 20, "held_ms": 5, "bytes": 7 });
    let pages = [
        page(json!([["buzz", one]])),
        page(json!({ "services": [["buzz", one]], "fleet": { "owners": { "abay": one } } })),
    ];

    let services = usage::by_service(&pages);
    let (_, owners) = usage::by_owner(&pages).expect("owners");

    assert_eq!(services["buzz"].requests, 4);
    assert_eq!(owners["abay"].requests, 2);
}

/// Guards against a dashboard that hides an instance with an old catalogue or fails on pages of
/// another version.
#[test]
fn dashboard_names_problems() {
    let pages = [
        page(json!({ "instance": "a-1", "revision": 5 })),
        page(
            json!({ "instance": "b-1", "revision": 4, "counters": { "requests_not_run": 3 },
            "catalogue_problems": ["TP104: entries[0]"] }),
        ),
    ];

    let text = dashboard::render(&pages);

    assert!(text.contains("b-1: an older catalogue revision"), "{text}");
    assert!(!text.contains("a-1: an older"), "{text}");
    assert!(text.contains("b-1: catalogue refused: TP104"), "{text}");
    assert!(text.contains("requests not run"), "{text}");
}

/// Guards against decisions that are printed without their reason.
#[test]
fn explanation_names_choice_and_reason() {
    let body = json!([{ "at": 12, "part": "routing", "kind": "place-flow", "flow": "ab",
        "choice": "buzz-1", "inputs": "load 1", "reason": "least load" }]);

    let text = explain::render(&[page(body)]);

    assert!(
        text.contains("ab -> buzz-1") && text.contains("because least load (load 1)"),
        "{text}"
    );
}

/// Guards against examples that an instance would refuse.
#[test]
fn examples_are_valid() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let catalogue = check::run(
        check::Kind::Catalogue,
        &format!("{examples}/catalogue.yaml"),
    );
    assert!(catalogue.expect("catalogue").contains("36 targets"));
    for number in 1..=8 {
        let path = format!("{examples}/balancer-{number}.yaml");
        check::run(check::Kind::Settings, &path).expect("settings");
    }
}
