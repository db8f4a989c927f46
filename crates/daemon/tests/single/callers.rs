//! Answers to callers: the faulty requests in `tests/data/requests`, the headers
//! of answers, and bad bytes on every port.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::fleet::LEDGER_PATH;
use crate::fleet::STOCK_PATH;
use crate::fleet::get;
use crate::fleet::header_value;
use crate::fleet::is_whole;
use crate::fleet::request;
use crate::fleet::send;
use crate::fleet::status;

fn faulty_request_files() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/requests");
    let entries = fs::read_dir(directory).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = files
        .filter(|file| {
            file.extension()
                .is_some_and(|extension| extension == "http")
        })
        .collect();
    files.sort();
    files
}

#[tokio::test(flavor = "multi_thread")]
async fn each_faulty_request_gets_its_answer_and_the_next_one_is_served() {
    let fleet = Fleet::start().await;
    let mut mismatches = Vec::new();
    let files = faulty_request_files();
    assert!(
        files.len() >= 20,
        "only {} faulty requests were found",
        files.len()
    );
    for file in &files {
        let expected = fs::read_to_string(file.with_extension("expect")).unwrap();
        let (expected, end) = expected.trim().split_once('\n').unwrap();
        let answer = send(fleet.callers(), &fs::read(file).unwrap(), end == "close").await;
        let actual = match status(&answer) {
            "closed" => "closed".to_owned(),
            status => {
                let label = header_value(&answer, "gooseberry-error").unwrap_or("-");
                format!("{status} {label}")
            }
        };
        if actual != expected {
            mismatches.push(format!(
                "{:?}: expected {expected}, found {actual}",
                file.file_name()
            ));
        }
        let next = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
        let next = send(fleet.callers(), &next, false).await;
        assert_eq!(status(&next), "200", "the caller after {file:?}: {next}");
        assert!(next.ends_with("service(7 tents)"), "{next}");
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_carry_the_headers_of_their_kind() {
    let fleet = Fleet::start().await;
    let stock = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    let answer = send(fleet.callers(), &stock, false).await;
    assert_eq!(header_value(&answer, "gooseberry-outcome"), Some("run"));
    assert_eq!(header_value(&answer, "gooseberry-late"), Some("false"));
    assert_eq!(header_value(&answer, "gooseberry-attempts"), Some("1"));
    assert!(
        header_value(&answer, "gooseberry-cost")
            .unwrap()
            .starts_with("read;attempts=1;")
    );
    assert_eq!(
        header_value(&answer, "gooseberry-request").unwrap().len(),
        32
    );

    // A wrong credential must not reveal whether the workspace exists: the
    // answers for both workspaces differ only in the request id.
    let mut unauthorized = Vec::new();
    for workspace in ["desk.trekkers", "desk.nobody"] {
        let path = format!("/v1/workspaces/{workspace}/pipelines/stock-lookup");
        let answer = send(
            fleet.callers(),
            &request(&path, "desk.guides", &[], "x"),
            false,
        )
        .await;
        let lines = answer
            .lines()
            .filter(|line| !line.starts_with("gooseberry-request") && !line.starts_with("date"));
        unauthorized.push(lines.collect::<Vec<_>>().join("\n"));
    }
    assert_eq!(unauthorized[0], unauthorized[1]);
    assert_eq!(
        header_value(&unauthorized[0], "www-authenticate"),
        Some("Bearer")
    );
    assert_eq!(header_value(&unauthorized[0], "connection"), Some("close"));
    assert!(!unauthorized[0].contains("desk"), "{}", unauthorized[0]);

    let answer = get(fleet.callers(), STOCK_PATH).await;
    assert_eq!(header_value(&answer, "allow"), Some("POST"));
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_serves_on_after_a_refusal_whose_body_was_read() {
    let fleet = Fleet::start().await;
    let mut stream = TcpStream::connect(fleet.callers()).await.unwrap();
    let refused = request(LEDGER_PATH, "desk.trekkers", &[], "a deposit");
    let served = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    for (bytes, expected) in [(refused, "400"), (served, "200")] {
        stream.write_all(&bytes).await.unwrap();
        let mut read = Vec::new();
        while !is_whole(&read) {
            assert!(stream.read_buf(&mut read).await.unwrap() > 0);
        }
        assert_eq!(status(&String::from_utf8(read).unwrap()), expected);
    }
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_bytes_at_the_internal_ports_do_not_stop_serving() {
    let fleet = Fleet::start().await;
    let local = fleet.daemon.local().clone();
    let long = vec![0xff; 64 << 10];
    for port in [local.data, local.control, local.operators] {
        for bytes in [
            &b"\x16\x03\x01\x02\x00\x01\r\n\r\n"[..],
            b"\0\0\0\x04oops",
            &long,
        ] {
            send(port, bytes, true).await;
        }
    }
    for (port, path, expected) in [
        (local.data, "/v1/stage", "400"),
        (local.data, "/v1/keyed", "400"),
        (local.data, "/v1/other", "404"),
        (local.operators, "/v1/other", "404"),
        (local.operators, "/v1/status", "405"),
        (local.operators, "/v1/explain", "400"),
    ] {
        let answer = send(port, &request(path, "desk.trekkers", &[], "x"), false).await;
        assert_eq!(status(&answer), expected, "{path}: {answer}");
    }
    let next = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    assert_eq!(status(&send(fleet.callers(), &next, false).await), "200");
    fleet.daemon.shut_down().await;
}
