//! The demo script assigns each process of the example fleet a free port of its own.

use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};

/// Replaces ports in a text with the demo's script.
fn renumber(text: &str, replacements: &[&str]) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut script = Command::new(root.join("scripts/renumber-ports.sh"))
        .args(replacements)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    script
        .stdin
        .take()
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    let output = script.wait_with_output().unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against two targets of the demo with one address, which the catalogue refuses. It
/// happened when a free port was equal to a port of the examples and was replaced a second time.
#[test]
fn a_free_port_that_is_also_an_example_port_is_replaced_once() {
    let examples = "- 127.0.0.1:22101\n- 127.0.0.1:22102\n- 127.0.0.1:221020\n";

    let renumbered = renumber(examples, &["22101=22102", "22102=20522"]);

    let expected = "- 127.0.0.1:22102\n- 127.0.0.1:20522\n- 127.0.0.1:221020\n";
    assert_eq!(renumbered, expected);
}
