//! Tests that the `losses` command counts each request once, with its reason.

#![allow(missing_docs, clippy::unwrap_used)]

use gooseberryctl::loss::Losses;
use gooseberryctl::story::Line;

const LOG: &str = "\
d-1 1700000000000 INFO relay::request: request admitted request=a route=r-1 service=e
d-1 1700000000000 INFO relay::request: request admitted request=b route=r-1 service=e
d-1 1700000000000 INFO relay::request: request admitted request=c route=r-1 service=e
d-1 1700000000000 INFO relay::request: request admitted request=d route=r-2 service=e
d-1 1700000000000 INFO relay::request: request admitted request=e route=r-2 service=e
d-1 1700000000000 INFO relay::request: request admitted request=f route=r-2 service=e
d-2 1700000000300 INFO relay::dispatcher::call: stage call answered requests=a,b,c,e service=s took_ms=400
d-2 1700000000400 INFO relay::dispatcher::call: stage call failed requests=d,elsewhere service=s took_ms=100
d-1 1700000000500 INFO relay::dispatcher: expired in the queue: Full(Millis(5000)) request=c service=s targets=5
d-1 1700000000500 INFO relay::request: request refused request=c end=queue-full outcome=not-run took_ms=500
d-1 1700000000600 INFO relay::forward: request answered request=a status=200 late=no is_on_time=true
d-1 1700000000600 INFO relay::forward: request answered request=b status=200 late=gap is_on_time=false
d-1 1700000000700 INFO relay::request: request refused request=d end=target-failed outcome=unknown took_ms=700
d-1 1700000000800 INFO relay::request: request refused request=g end=not-ready outcome=not-run took_ms=0
d-1 1700000000900 INFO relay::forward: a stream ended before its last event was passed on request=f sends=1
";

fn losses(log: &str) -> Losses {
    let lines: Vec<Line> = log
        .lines()
        .filter_map(|line| Line::read(line, "file"))
        .collect();
    Losses::count(&lines)
}

#[test]
fn the_counts_of_all_endings_add_up_to_the_requests() {
    let losses = losses(LOG);
    // The request that only a stage call names was served by a daemon whose log is missing.
    assert_eq!(losses.requests(), 7);
    let text = losses.to_string();
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    let row = |name: &str| rows.iter().find(|row| row[0] == name).unwrap()[1..].to_vec();
    // Requests, then on time, late, gap, failed, refused, cut, left, open.
    assert_eq!(row("r-1"), ["3", "1", "0", "1", "0", "1", "0", "0", "0"]);
    assert_eq!(row("r-2"), ["3", "0", "0", "0", "1", "0", "1", "0", "1"]);
    assert_eq!(row("-"), ["1", "0", "0", "0", "0", "1", "0", "0", "0"]);
    assert_eq!(row("all"), ["7", "1", "0", "1", "1", "2", "1", "0", "1"]);
    // The call for c was spent on a refused request, that for e on one without an end.
    let stage_work = text.lines().find(|line| line.starts_with("stage work"));
    let stage_work: Vec<&str> = stage_work.unwrap().split_whitespace().skip(3).collect();
    assert_eq!(
        stage_work,
        [
            "0.5", "0.1", "0.0", "0.1", "0.1", "0.1", "0.0", "0.0", "0.1"
        ]
    );
    assert!(text.contains("refused  queue-full: expired in the queue: Full"));
    assert!(text.contains("refused  not-ready"));
    assert!(text.contains("failed   target-failed"));
}

#[test]
fn logs_without_requests_have_no_losses() {
    assert_eq!(losses("").requests(), 0);
    assert_eq!(
        losses("1700000000000 INFO relay: started name=d-1").requests(),
        0
    );
}
