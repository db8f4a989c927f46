//! Tests the input, output and exit codes of the `check` command, and the help
//! text of the tool.

#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run(arguments: &[&str], input: impl AsRef<[u8]>) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"))
        .args(arguments)
        .current_dir(root())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Writing fails if the command has exited without reading its input.
    child.stdin.take().unwrap().write_all(input.as_ref()).ok();
    child.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn the_examples_have_no_faults() {
    for (path, files) in [
        ("examples/settings/huaraz", 3),
        ("examples/settings/wadi-rum", 3),
        ("examples/settings/entry-1.jsonc", 1),
    ] {
        let output = run(&["check", path], "");
        assert_eq!(output.status.code(), Some(0), "{path}");
        assert_eq!(
            text(&output.stdout),
            format!("{files} checked, no faults\n")
        );
    }
}

#[test]
fn each_fault_is_printed_with_its_place() {
    let faulty = "{\n  \"out\": 3,\n  \"readers\": 0\n}";
    let output = run(&["check", "--as", "fleet", "-"], faulty);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        text(&output.stdout),
        "-:2: $.out: expected a list\n\
         -:3: $.readers: expected a whole number from 1 to 64\n\
         1 checked, faults: 2\n"
    );
}

#[test]
fn invalid_utf8_is_a_fault() {
    let output = run(&["check", "--as", "fleet", "-"], b"{\n\xff}");
    assert_eq!(output.status.code(), Some(2));
    let expected = "-:2: $: expected UTF-8\n1 checked, faults: 1\n";
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn faults_are_printed_as_json() {
    let output = run(
        &["check", "--json", "--as", "team:desk", "-"],
        "{ \"nil\": 1 }",
    );
    assert_eq!(output.status.code(), Some(2));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["files"], 1);
    assert_eq!(report["faults"][0]["path"], "$.nil");
    assert_eq!(report["faults"][0]["line"], 1);
}

#[test]
fn a_file_in_the_wrong_place_is_a_fault() {
    let output = run(&["check", "examples/settings"], "");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stdout).contains("expected fleet.jsonc or teams/NAME.jsonc"));
}

#[test]
fn unusable_arguments_exit_with_1() {
    for arguments in [
        &["check", "examples/nothing-here"][..],
        &["check", "--as", "nothing", "-"][..],
        &["check"][..],
        &["status", "127.0.0.1:1"][..],
        &["nothing"][..],
    ] {
        let output = run(arguments, "");
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn help_shows_examples_and_exit_codes() {
    for command in ["check", "status", "explain"] {
        let help = text(&run(&[command, "--help"], "").stdout);
        assert!(help.contains("Examples:"), "{help}");
        assert!(help.contains("Exit codes:"), "{help}");
        assert!(help.contains(&format!("gooseberryctl {command}")), "{help}");
    }
    let version = text(&run(&["--version"], "").stdout);
    assert!(version.contains(env!("CARGO_PKG_VERSION")), "{version}");
}
