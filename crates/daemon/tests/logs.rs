//! The format of log lines, and that they hold no credential, key or body.

#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;

use gooseberry_kernel::id::Digest;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::site;
use gooseberry_standin::target::Fault;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::logs;
use log::Level;
use log::Record;
use serde_json::Value;
use serde_json::json;

const BODY: &str = "a-body-that-nobody-else-may-read";
const KEY: &str = "a-key-that-nobody-else-may-read";
const WRONG_CREDENTIAL: &str = "a-mistyped-credential";

#[test]
fn text_and_json_lines_hold_the_fields() {
    let fields = [
        ("stage", log::kv::Value::from("read")),
        ("attempt", 2.into()),
    ];
    let field_with_space = [("what", log::kv::Value::from("two words"))];
    let write = |kvs: &dyn log::kv::Source, write: fn(&Record<'_>, u64) -> String| {
        let record = Record::builder()
            .level(Level::Info)
            .target("gooseberryd::test")
            .key_values(&kvs)
            .args(format_args!("first\nsecond"))
            .build();
        write(&record, 7)
    };
    let line = write(&fields, logs::format_text);
    assert_eq!(
        line,
        "7 INFO  gooseberryd::test: first\\nsecond stage=read attempt=2"
    );
    assert!(write(&field_with_space, logs::format_text).ends_with(" what=\"two words\""));
    let line: Value = serde_json::from_str(&write(&fields, logs::format_json)).unwrap();
    let expected = json!({
        "time_ms": 7, "level": "INFO", "target": "gooseberryd::test",
        "message": "first\nsecond", "stage": "read", "attempt": 2,
    });
    assert_eq!(line, expected);
}

/// The queue of lines is bounded by their number, so each has to be bounded, too.
#[test]
fn a_line_stays_short_whatever_it_quotes() {
    let text = "\u{e9}".repeat(1 << 20);
    let fields = [("target", log::kv::Value::from(text.as_str()))];
    for format in [logs::format_text, logs::format_json] {
        let mut record = Record::builder();
        record.key_values(&fields);
        let line = format(
            &record.args(format_args!("unknown state `{text}`")).build(),
            7,
        );
        assert!(line.len() < 20_000, "{} bytes", line.len());
        assert!(line.contains("unknown state `\u{e9}\u{e9}"));
    }
}

/// Returns addresses that no other test uses: the loopback address is derived
/// from the process id, and the ports are below the ephemeral range.
fn addresses() -> [SocketAddr; 4] {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 128 | high, middle, low);
    [21_001, 21_002, 21_003, 21_004].map(|port| SocketAddr::from((host, port)))
}

fn start(platform: SocketAddr, addresses: [SocketAddr; 4]) -> Child {
    let [callers, data, control, operators] = addresses;
    let settings = json!({
        "instance": "entry-1", "domain": "huaraz", "callers": callers, "data": data,
        "control": control, "operators": operators, "platform": platform,
        "log_level": "trace", "log_format": "json",
    });
    let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
        .args(["--settings", "-"])
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(settings.to_string().as_bytes()).unwrap();
    child
}

/// Sends a request and returns the status, or `None` if the connection failed.
fn send(address: SocketAddr, head: &str, credential: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let length = BODY.len();
    let bytes = format!(
        "{head}Authorization: Bearer {credential}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{BODY}"
    );
    stream.write_all(bytes.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1).map(ToOwned::to_owned)
}

fn head(pipeline: &str) -> String {
    format!(
        "POST /v1/workspaces/desk.trekkers/pipelines/{pipeline} HTTP/1.1\r\n\
         Idempotency-Key: {KEY}\r\nIdempotency-Attempt: 1\r\n"
    )
}

/// Sends requests that succeed, are refused and fail, and returns the log.
fn run_daemon_and_collect_log(platform: &Platform, targets: &[site::ListedTarget]) -> String {
    let addresses = addresses();
    let [callers, data, control, _] = addresses;
    let mut child = start(platform.address(), addresses);
    let mut stderr = child.stderr.take().unwrap();
    let reader = thread::spawn(move || {
        let mut log = String::new();
        stderr.read_to_string(&mut log).unwrap();
        log
    });
    platform.add_instance(Instance {
        id: "entry-1".into(),
        domain: "huaraz".into(),
        control,
        data,
        state: State::Live,
    });
    let credential = site::credential("desk.trekkers");
    while send(callers, &head("stock-lookup"), &credential).as_deref() != Some("200") {}
    let denied = send(callers, &head("stock-lookup"), WRONG_CREDENTIAL);
    assert_eq!(denied.as_deref(), Some("401"));
    send(callers, &head("booking-ledger"), &credential);
    for fault in [Fault::Fail, Fault::Break, Fault::Cross] {
        for named_target in targets {
            named_target.target.set_fault(fault.clone());
        }
        send(callers, &head("stock-lookup"), &credential);
        send(callers, &head("route-briefing"), &credential);
    }
    // No request is in progress, so killing the process loses no line.
    child.kill().unwrap();
    child.wait().unwrap();
    reader.join().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn credentials_keys_and_bodies_are_not_logged() {
    let platform = Platform::start().await.unwrap();
    site::HUARAZ.publish(&platform);
    let targets = site::HUARAZ.start_targets(&platform).await.unwrap();
    let log_task =
        tokio::task::spawn_blocking(move || run_daemon_and_collect_log(&platform, &targets));
    let log = log_task.await.unwrap();

    let credential = site::credential("desk.trekkers");
    let digest = Digest::of(credential.as_bytes()).to_string();
    for secret in [
        BODY,
        KEY,
        WRONG_CREDENTIAL,
        &credential,
        &digest,
        &Digest::of(WRONG_CREDENTIAL.as_bytes()).to_string(),
    ] {
        assert!(!log.contains(secret), "{secret} is logged:\n{log}");
    }
    let lines = log
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    let lines: Vec<Value> = lines.filter(|line| line.get("request").is_some()).collect();
    for message in ["answered", "retrying"] {
        assert!(
            lines.iter().any(|line| line["message"] == message),
            "{message}:\n{log}"
        );
    }
    for line in &lines {
        assert_eq!(line["request"].as_str().unwrap().len(), 32);
        assert!(line["workspace"].is_string(), "{line}");
        assert!(line["pipeline"].is_string(), "{line}");
        assert!(line["attempt"].is_u64(), "{line}");
        assert!(line.get("stage").is_some(), "{line}");
    }
}
