use miette::{GraphicalReportHandler, GraphicalTheme};
use proptest::prelude::*;
use tanager_core::ResultCode;

use crate::settings::{ForwarderSettings, Settings, WarmupSettings, check};

fn document() -> String {
    let secret = "0f".repeat(32);
    format!(
        "instance: {{ name: addis-a-1, zone: addis-a, region: addis }}\n\
         listen: {{ callers: 127.0.0.1:7001, peers: 127.0.0.1:7101, status: 127.0.0.1:7201 }}\n\
         platform: {{ address: 127.0.0.1:6000, wait: 20s }}\n\
         peers: [127.0.0.1:7102]\n\
         keys: {{ current: {{ number: 1, secret: \"{secret}\" }} }}\n"
    )
}

/// Guards against refusing the documented format.
#[test]
fn valid_settings_are_read() {
    let settings = Settings::read(&document()).expect("settings");

    assert_eq!(settings.name.as_str(), "addis-a-1");
    assert_eq!(settings.seeds.len(), 1);
}

/// Returns code, key and line of each problem.
fn problems(text: &str) -> Vec<(ResultCode, String, Option<u64>)> {
    let found = check(text).into_iter();
    found.map(|p| (p.code, p.key, p.line)).collect()
}

/// Guards against operators who fix one problem per start, or who search for the invalid line:
/// problems of every kind are reported together with their lines.
#[test]
fn all_problems_are_reported_with_their_lines() {
    let text = document()
        .replace("wait: 20s", "wait: 20")
        .replace("callers: 127.0.0.1:7001", "callers: here, colour: red")
        .replace("status: 127.0.0.1:7201", "status: 127.0.0.1:7101")
        .replace(
            "[127.0.0.1:7102]",
            "[127.0.0.1:7102, 127.0.0.1:7102, 127.0.0.1:0]",
        )
        .replace("zone: addis-a, ", "")
        + "log: { queue: 3, level: loud }\n";

    let expected = [
        (ResultCode::DocumentMalformed, "instance.zone", 1),
        (ResultCode::DocumentMalformed, "listen.colour", 2),
        (ResultCode::ValueMalformed, "listen.callers", 2),
        (ResultCode::DocumentDuplicate, "listen.status", 2),
        (ResultCode::ValueMalformed, "platform.wait", 3),
        (ResultCode::DocumentDuplicate, "peers[1]", 4),
        (ResultCode::ValueOutOfRange, "peers[2]", 4),
        (ResultCode::ValueMalformed, "log.level", 6),
        (ResultCode::ValueOutOfRange, "log.queue", 6),
    ];
    let expected = expected.map(|(code, key, line)| (code, key.to_owned(), Some(line)));
    assert_eq!(problems(&text), expected);
}

/// Guards against a repeated key whose second value silently replaces the first.
#[test]
fn repeated_keys_are_refused() {
    let text = document() + "platform: { address: 127.0.0.1:6001 }\n";

    let expected = (
        ResultCode::DocumentDuplicate,
        "platform".to_owned(),
        Some(6),
    );
    assert_eq!(problems(&text), [expected]);
}

/// Guards against a YAML syntax error that is reported without its line.
#[test]
fn broken_yaml_is_reported_with_its_line() {
    let text = document() + "log: { format: text\n";

    let found = problems(&text);

    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, ResultCode::DocumentMalformed);
    assert!(found[0].2.is_some_and(|line| line >= 6), "{found:?}");
}

/// Guards against diagnostics without code, key or source line.
#[test]
fn diagnostics_show_the_source_line() {
    let text = document().replace("wait: 20s", "wait: 90s");
    let error = Settings::read(&text).expect_err("out of range");
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());

    let mut shown = String::new();
    handler.render_report(&mut shown, &error).expect("rendered");

    for part in ["TP102", "platform.wait", "wait: 90s", "1s to 60s"] {
        assert!(shown.contains(part), "{part} is missing in\n{shown}");
    }
}

proptest! {
    /// Guards against a panic on any input.
    #[test]
    fn any_text_is_read_or_refused(text in "[a-z0-9:,{}\\[\\]\"&* \n-]{0,200}") {
        prop_assert!(!check(&text).is_empty());
    }
}

fn forwarder_document() -> String {
    "instance: {name: e-1, zone: a, capacity: \"0.5\"}\n\
     listen: {clients: 10.0.0.1:8172, ready: 10.0.0.1:8167, views: 10.0.0.1:8166, \
     beacons: 10.0.0.1:7720, metrics: 10.0.0.1:9464}\n\
     zones: [a]\n\
     store: 10.0.0.9:8169\n"
        .to_owned()
}

/// Guards against instances that cannot be reached where addresses are translated, and against an
/// address that must be set even where they are not translated.
#[test]
fn another_address_may_be_advertised_for_beacons() {
    let plain = ForwarderSettings::read(&forwarder_document()).expect("settings");
    let text = forwarder_document() + "advertise: 192.0.2.7\n";

    let translated = ForwarderSettings::read(&text).expect("settings");

    assert_eq!(plain.advertised, plain.beacons);
    assert_eq!(translated.advertised.to_string(), "192.0.2.7:7720");
    assert_eq!(translated.beacons, plain.beacons);
}

/// Guards against an instance that does not start because of the platform's names, whose syntax is not
/// ours.
#[test]
fn the_platform_names_instances_and_zones_freely() {
    let text = forwarder_document()
        .replace("name: e-1", "name: \"Edge A/1\"")
        .replace("zone: a,", "zone: \"Zone Ω\",")
        .replace("zones: [", "zones: [\"Zone Ω\", ");

    let settings = ForwarderSettings::read(&text).expect("settings");

    assert_eq!(settings.name.as_str(), "Edge A/1");
    assert_eq!(settings.zone.as_str(), "Zone Ω");
}

/// Guards against silently ignoring an advertised address that is invalid.
#[test]
fn an_advertised_address_that_cannot_be_read_is_refused() {
    let text = forwarder_document() + "advertise: here\n";

    let error = ForwarderSettings::read(&text).expect_err("a problem");

    assert!(error.to_string().contains("advertise"), "{error}");
}

/// Guards against bounds for cold targets that differ from the platform's, and against an instance
/// that does not start because the platform sets none.
#[test]
fn bounds_for_cold_targets_are_optional() {
    let read = |section: &str| ForwarderSettings::read(&(forwarder_document() + section));

    for (section, overage, slack) in [
        ("", 1.5, 5.0),
        ("warmup:\n", 1.5, 5.0),
        ("warmup: {overage: \"2\"}\n", 2.0, 5.0),
        ("warmup: {overage: \"1.25\", slack: \"0\"}\n", 1.25, 0.0),
    ] {
        let warmup = read(section).expect("settings").warmup;
        assert_eq!(warmup, WarmupSettings { overage, slack }, "{section}");
    }
    for section in [
        "warmup: {overage: \"-1\"}\n",
        "warmup: {slack: \"NaN\"}\n",
        "warmup: {slack: \"inf\"}\n",
        "warmup: {slack: many}\n",
        "warmup: {burst: \"1\"}\n",
        "warmup: [1]\n",
    ] {
        assert!(read(section).is_err(), "{section}");
    }
}
