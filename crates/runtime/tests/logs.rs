//! A full standard output pipe that is not read must not block the process:
//! log lines are dropped and counted instead.

#![allow(missing_docs, clippy::unwrap_used)]

use std::env;
use std::process::Command;
use std::process::Stdio;

use gooseberry_kernel::settings::LogFormat;
use gooseberry_runtime::logs;

/// The environment variable that makes the test run as its child process.
const CHILD_ENV: &str = "LOGS_TEST_CHILD";
const LINES: u64 = 50_000;

#[test]
fn an_unread_log_pipe_does_not_block_the_process() {
    if env::var_os(CHILD_ENV).is_some() {
        logs::start_nonblocking("info", LogFormat::Text).unwrap();
        for number in 0..LINES {
            log::info!(target: "gooseberry_relay", number; "a line that fills the pipe");
        }
        eprintln!("dropped {}", logs::dropped());
        // Returning to the test harness would block on standard output.
        std::process::exit(0);
    }
    let test_name = "an_unread_log_pipe_does_not_block_the_process";
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", test_name, "--nocapture"])
        .env(CHILD_ENV, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The child must end although its standard output is never read.
    let unread = child.stdout.take().unwrap();
    let output = child.wait_with_output().unwrap();
    drop(unread);
    assert!(output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    let dropped = text.lines().find_map(|line| line.strip_prefix("dropped "));
    let dropped: u64 = dropped.unwrap().parse().unwrap();
    assert!(dropped > 0 && dropped < LINES, "{dropped} of {LINES} lines");
}
