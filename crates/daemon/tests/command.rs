//! The command line of the daemon: checks, messages and exit codes.

#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

const VALID_SETTINGS: &str = include_str!("../../../examples/settings/entry-1.jsonc");

fn run(arguments: &[&str], input: impl AsRef<[u8]>) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Ignores the error: a process that does not read its input may have closed it.
    child.stdin.take().unwrap().write_all(input.as_ref()).ok();
    child.wait_with_output().unwrap()
}

#[test]
fn standard_input_is_checked() {
    let output = run(&["--check", "--settings", "-"], VALID_SETTINGS);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"-: no faults\n");
}

#[test]
fn every_fault_is_printed_and_nothing_starts() {
    let faulty = VALID_SETTINGS
        .replace("\"huaraz\"", "3")
        .replace("\"text\"", "\"xml\"");
    for arguments in [&["--check", "--settings", "-"][..], &["--settings", "-"]] {
        let output = run(arguments, &faulty);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            text,
            "-:4: $.domain: expected the name of a failure domain\n\
             -:11: $.log_format: expected \"text\" or \"json\"\n"
        );
    }
}

#[test]
fn settings_that_are_not_utf8_are_a_fault() {
    let output = run(&["--check", "--settings", "-"], b"{\n\xff}");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(output.stderr, b"-:2: $: expected UTF-8\n");
}

#[test]
fn exit_codes_of_bad_arguments_and_taken_ports_are_as_documented() {
    let missing = run(&["--settings", "nothing-here"], "");
    assert_eq!(missing.status.code(), Some(2));
    assert_eq!(run(&["--nothing"], "").status.code(), Some(1));
    let bound_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = bound_listener.local_addr().unwrap().to_string();
    let unbindable = VALID_SETTINGS.replace("127.0.0.1:8080", &address);
    let output = run(&["--settings", "-"], &unbindable);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("callers: cannot bind"), "{text}");
}

#[test]
fn help_shows_examples_and_exit_codes() {
    let output = run(&["--help"], "");
    let help = String::from_utf8(output.stdout).unwrap();
    assert!(
        help.contains("Examples:") && help.contains("Exit codes:"),
        "{help}"
    );
    assert_eq!(run(&["--version"], "").status.code(), Some(0));
}
