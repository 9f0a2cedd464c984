use crate::Error;
use crate::settings::Settings;

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

/// Guards against refusing the documented form.
#[test]
fn valid_settings_are_read() {
    let settings = Settings::read(&document()).expect("settings");

    assert_eq!(settings.name.as_str(), "addis-a-1");
    assert_eq!(settings.seeds.len(), 1);
}

/// Guards against operators having to fix one problem per start.
#[test]
fn all_problems_are_reported() {
    let text = document()
        .replace("20s", "20")
        .replace("127.0.0.1:7001", "here");

    let error = Settings::read(&text).expect_err("two problems");

    let Error::Document { problems, .. } = error else {
        panic!("unexpected {error}")
    };
    assert_eq!(problems.len(), 2, "{problems:?}");
}
