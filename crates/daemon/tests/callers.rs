//! A daemon's callers: the page of faulty requests, and what each answer says.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use gooseberry_kernel::settings::Local;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::site;
use gooseberry_standin::site::Named;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::daemon::Daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Short limits, so that the page is soon through.
const FLEET: &str = r#"{
  "freshness_ms": 1000,
  "exchange_ms": 100,
  "max_body_bytes": 4096,
  "send_timeout_ms": 300
}"#;
const STOCK: &str = "/v1/workspaces/desk.trekkers/pipelines/stock-lookup";
const LEDGER: &str = "/v1/workspaces/desk.trekkers/pipelines/booking-ledger";

struct Fleet {
    daemon: Daemon,
    _platform: Platform,
    _targets: Vec<Named>,
}

impl Fleet {
    async fn start() -> Self {
        let platform = Platform::start().await.unwrap();
        site::HUARAZ.publish(&platform);
        platform.put("/fleet", FLEET);
        let targets = site::HUARAZ.start_targets(&platform).await.unwrap();
        let text = format!(
            r#"{{ "instance": "entry-1", "domain": "huaraz", "callers": "127.0.0.1:0",
              "data": "127.0.0.1:0", "control": "127.0.0.1:0",
              "operators": "127.0.0.1:0", "platform": "{}" }}"#,
            platform.address()
        );
        let daemon = Daemon::start(Local::parse(&text).unwrap()).await.unwrap();
        let local = daemon.local();
        platform.add_instance(Instance {
            id: local.instance.as_str().into(),
            domain: local.domain.as_str().into(),
            control: local.control,
            data: local.data,
            state: State::Live,
        });
        let context = daemon.context().clone();
        while !context
            .node
            .look(|node, now| node.ready().is_ok() && node.holds_rights(now))
            .await
            .unwrap()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let fleet = Self {
            daemon,
            _platform: platform,
            _targets: targets,
        };
        fleet.serve_first().await;
        fleet
    }

    /// Waits until the targets take work: a new owner gives them none while
    /// calls of a former one may be running.
    async fn serve_first(&self) {
        let path = STOCK.replace("trekkers", "guides");
        let stock = request(&path, "desk.guides", &[], "x");
        while status(&send(self.callers(), &stock, false).await) != "200" {}
    }

    fn callers(&self) -> SocketAddr {
        self.daemon.local().callers
    }

    async fn metric(&self, line: &str) -> u64 {
        let text = get(self.daemon.local().operators, "/metrics").await;
        let found = text.lines().find_map(|one| one.strip_prefix(line));
        found.map_or(0, |value| value.trim().parse().unwrap())
    }
}

/// Sends the bytes on a connection of their own and reads all that comes back
/// until the daemon closes it or a whole answer is there.
async fn send(address: SocketAddr, bytes: &[u8], is_closing: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The daemon may answer and close before it has read everything.
    stream.write_all(bytes).await.ok();
    if is_closing {
        stream.shutdown().await.ok();
    }
    let mut read = Vec::new();
    while !is_whole(&read) {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

fn is_whole(read: &[u8]) -> bool {
    let text = String::from_utf8_lossy(read);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = field(head, "content-length").and_then(|length| length.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length || status(head) == "405")
}

fn field<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let head = answer.split("\r\n\r\n").next()?;
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("closed")
}

fn request(path: &str, workspace: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let extra: String = headers.iter().flat_map(|line| [*line, "\r\n"]).collect();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        site::credential(workspace),
        body.len()
    )
    .into_bytes()
}

async fn get(address: SocketAddr, path: &str) -> String {
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send(address, bytes.as_bytes(), false).await
}

fn page() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/requests");
    let entries = fs::read_dir(directory).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = files
        .filter(|file| file.extension().is_some_and(|one| one == "http"))
        .collect();
    files.sort();
    files
}

#[tokio::test(flavor = "multi_thread")]
async fn each_faulty_request_gets_its_answer_and_hurts_nobody() {
    let fleet = Fleet::start().await;
    let mut wrong = Vec::new();
    let files = page();
    assert!(files.len() >= 20, "the page holds {} requests", files.len());
    for file in &files {
        let expected = fs::read_to_string(file.with_extension("expect")).unwrap();
        let (expected, end) = expected.trim().split_once('\n').unwrap();
        let answer = send(fleet.callers(), &fs::read(file).unwrap(), end == "close").await;
        let found = match status(&answer) {
            "closed" => "closed".to_owned(),
            status => {
                let label = field(&answer, "gooseberry-error").unwrap_or("-");
                format!("{status} {label}")
            }
        };
        if found != expected {
            wrong.push(format!(
                "{:?}: expected {expected}, found {found}",
                file.file_name()
            ));
        }
        let next = request(STOCK, "desk.trekkers", &[], "7 tents");
        let next = send(fleet.callers(), &next, false).await;
        assert_eq!(status(&next), "200", "the caller after {file:?}: {next}");
        assert!(next.ends_with("service(7 tents)"), "{next}");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_carry_the_headers_of_their_kind() {
    let fleet = Fleet::start().await;
    let stock = request(STOCK, "desk.trekkers", &[], "7 tents");
    let answer = send(fleet.callers(), &stock, false).await;
    assert_eq!(field(&answer, "gooseberry-outcome"), Some("run"));
    assert_eq!(field(&answer, "gooseberry-late"), Some("false"));
    assert_eq!(field(&answer, "gooseberry-attempts"), Some("1"));
    assert!(
        field(&answer, "gooseberry-cost")
            .unwrap()
            .starts_with("read;attempts=1;")
    );
    assert_eq!(field(&answer, "gooseberry-request").unwrap().len(), 32);

    // A stranger learns nothing: both answers differ in the request id alone.
    let mut strangers = Vec::new();
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
        strangers.push(lines.collect::<Vec<_>>().join("\n"));
    }
    assert_eq!(strangers[0], strangers[1]);
    assert_eq!(field(&strangers[0], "www-authenticate"), Some("Bearer"));
    assert_eq!(field(&strangers[0], "connection"), Some("close"));
    assert!(!strangers[0].contains("desk"), "{}", strangers[0]);

    let answer = get(fleet.callers(), STOCK).await;
    assert_eq!(field(&answer, "allow"), Some("POST"));
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_serves_on_after_a_refusal_whose_body_was_read() {
    let fleet = Fleet::start().await;
    let mut stream = TcpStream::connect(fleet.callers()).await.unwrap();
    let refused = request(LEDGER, "desk.trekkers", &[], "a deposit");
    let served = request(STOCK, "desk.trekkers", &[], "7 tents");
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
async fn each_request_is_counted_once() {
    let fleet = Fleet::start().await;
    let requests = "gooseberry_requests_total ";
    let before = fleet.metric(requests).await;
    let key = ["Idempotency-Key: deposit-7", "Idempotency-Attempt: 1"];
    let asked = [
        (request(STOCK, "desk.trekkers", &[], "7 tents"), "200"),
        (request(LEDGER, "desk.trekkers", &key, "a deposit"), "200"),
        (request(LEDGER, "desk.trekkers", &key, "a deposit"), "200"),
        (request(LEDGER, "desk.trekkers", &key, "another"), "422"),
        (request(LEDGER, "desk.trekkers", &[], "a deposit"), "400"),
        (request(STOCK, "desk.guides", &[], "7 tents"), "401"),
    ];
    let mut replayed = Vec::new();
    for (bytes, expected) in &asked {
        let answer = send(fleet.callers(), bytes, false).await;
        assert_eq!(status(&answer), *expected, "{answer}");
        replayed.push(field(&answer, "gooseberry-replayed") == Some("true"));
    }
    assert_eq!(replayed, [false, false, true, false, false, false]);
    let labels = |pipeline| {
        format!(
            "gooseberry_answers_total{{late=\"false\",pipeline=\"{pipeline}\",workspace=\"desk.trekkers\"}}"
        )
    };
    for (line, expected) in [
        (requests.to_owned(), before + 6),
        ("gooseberry_abandoned_total ".to_owned(), 0),
        (labels("stock-lookup"), 1),
        (labels("booking-ledger"), 2),
        (refusals("key-mismatch"), 1),
        (refusals("key-missing"), 1),
        (refusals("bad-credential"), 1),
        (refusals("internal"), 0),
    ] {
        assert_eq!(fleet.metric(&line).await, expected, "{line}");
    }
    fleet.daemon.shut_down().await;
}

fn refusals(kind: &str) -> String {
    format!("gooseberry_refusals_total{{kind=\"{kind}\"}}")
}
