//! Tests how the `story` command parses logs and which lines it selects.

#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Write;
use std::process::Command;
use std::process::Stdio;

use gooseberryctl::story::Line;
use gooseberryctl::story::Part;
use gooseberryctl::story::Story;

const LOG: &str = "\
1.0 d-1 1700000000900 INFO relay: settings adopted version=3
1.2 d-2 1700000001000 INFO dispatcher: stage call answered requests=r-9,r-1 target=m-1 took_ms=300
1.3 d-1 1700000001100 INFO passage: sent to a target: begun request=r-1 target=e-1 took_ms=40
1.3 d-1 1700000001150 INFO passage: sent to a target: begun request=r-2 target=e-1 took_ms=40
1.4 d-3 1700000001160 INFO passage: a target is avoided target=e-1 for_ms=500
1.4 d-3 1700000001170 INFO relay: settings adopted version=4
a line of something else
1.5 d-1 1700000001200 INFO passage: request answered request=r-1 target=e-1 status=200
9.9 d-1 1700000009000 INFO relay: the store is lost
";

fn lines() -> Vec<Line> {
    LOG.lines()
        .filter_map(|line| Line::read(line, "file"))
        .collect()
}

#[test]
fn a_story_holds_lines_of_the_request_its_targets_and_daemons() {
    let story = Story::find(&lines(), "r-1");
    let parts: Vec<Part> = story.lines.iter().map(|(part, _)| *part).collect();
    let expected = [
        Part::Daemon,
        Part::Request,
        Part::Request,
        Part::Target,
        Part::Request,
    ];
    assert_eq!(parts, expected);
    assert!(Story::find(&lines(), "r-0").lines.is_empty());
}

#[test]
fn a_stream_that_is_late_by_a_pause_is_marked() {
    let mark = |late: &str| {
        let text = format!(
            "1700000000900 INFO forward: request answered request=r-1 target=e-2 \
             longest_gap_ms=812 gap_limit_ms=500 gap_target=e-1 late={late} is_on_time=false"
        );
        let story = Story::find(&[Line::read(&text, "d").unwrap()], "r-1").to_string();
        assert!(story.contains("longest_gap_ms=812 gap_limit_ms=500 gap_target=e-1"));
        story.chars().next().unwrap()
    };
    // The first event of such a stream is on time, which hid the pause.
    assert_eq!([mark("gap"), mark("both")], ['g', 'g']);
    assert_eq!([mark("no"), mark("first")], [' ', ' ']);
}

#[test]
fn a_line_without_prefix_belongs_to_its_file() {
    let line = Line::read("1700000000900 WARN a: b request=x", "d-7.log").unwrap();
    assert_eq!(line.daemon, "d-7.log");
    assert!(line.names("x"));
    assert!(!line.names("xy"));
    assert_eq!(Line::read("no line", "f"), None);
}

#[test]
fn the_command_reads_standard_input_and_exits_with_5_if_nothing_is_found() {
    let run = |id: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"))
            .args(["story", id, "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(LOG.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap()
    };
    let output = run("r-1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().count(), 5);
    assert!(text.lines().next().unwrap().starts_with("d -"), "{text}");
    let missing = run("r-0");
    assert_eq!(missing.status.code(), Some(5));
}
