//! One daemon with the stand-ins of the site Huaraz, and a raw TCP client.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_kernel::settings::Local;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::site;
use gooseberry_standin::site::ListedTarget;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::daemon::Daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The fleet's settings document, with short limits, so that tests of timeouts
/// and large bodies are fast.
pub const FLEET_SETTINGS: &str = r#"{
  "freshness_ms": 1000,
  "exchange_ms": 100,
  "max_body_bytes": 4096,
  "send_timeout_ms": 300
}"#;
pub const STOCK_PATH: &str = "/v1/workspaces/desk.trekkers/pipelines/stock-lookup";
pub const LEDGER_PATH: &str = "/v1/workspaces/desk.trekkers/pipelines/booking-ledger";

pub struct Fleet {
    pub daemon: Daemon,
    pub platform: Platform,
    pub targets: Vec<ListedTarget>,
}

impl Fleet {
    pub async fn start() -> Self {
        let platform = Platform::start().await.unwrap();
        site::HUARAZ.publish(&platform);
        platform.put("/fleet", FLEET_SETTINGS);
        let targets = site::HUARAZ.start_targets(&platform).await.unwrap();
        let daemon = daemon(&platform).await;
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
            .read(|node, now| node.ready().is_ok() && node.holds_leases(now))
            .await
            .unwrap()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let fleet = Self {
            daemon,
            platform,
            targets,
        };
        fleet.wait_until_targets_serve().await;
        fleet
    }

    /// Waits until requests are served: a new owner sends its targets no calls
    /// while calls of a former owner may be running.
    async fn wait_until_targets_serve(&self) {
        let path = STOCK_PATH.replace("trekkers", "guides");
        let stock = request(&path, "desk.guides", &[], "x");
        wait_until("the first request is served", async || {
            status(&send(self.callers(), &stock, false).await) == "200"
        })
        .await;
    }

    pub fn callers(&self) -> SocketAddr {
        self.daemon.local().callers
    }

    /// Returns the value on the metric line with the prefix; zero if there is none.
    pub async fn metric(&self, prefix: &str) -> u64 {
        let text = get(self.daemon.local().operators, "/metrics").await;
        let value = text
            .lines()
            .find_map(|metric_line| metric_line.strip_prefix(prefix));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }
}

/// Starts a daemon that reads this platform.
pub async fn daemon(platform: &Platform) -> Daemon {
    let text = format!(
        r#"{{ "instance": "entry-1", "domain": "huaraz", "callers": "127.0.0.1:0",
          "data": "127.0.0.1:0", "control": "127.0.0.1:0",
          "operators": "127.0.0.1:0", "platform": "{}" }}"#,
        platform.address()
    );
    Daemon::start(Local::parse(&text).unwrap()).await.unwrap()
}

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the condition holds, and fails after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) {
    let started = std::time::Instant::now();
    while !holds().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends the bytes on a new connection and reads until the daemon closes it or a
/// complete answer is there.
pub async fn send(address: SocketAddr, bytes: &[u8], is_closing: bool) -> String {
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

pub fn is_whole(read: &[u8]) -> bool {
    let text = String::from_utf8_lossy(read);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = header_value(head, "content-length").and_then(|length| length.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length || status(head) == "405")
}

pub fn header_value<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let head = answer.split("\r\n\r\n").next()?;
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let value = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
    value.map(|(_, value)| value.trim())
}

pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("closed")
}

pub fn request(path: &str, workspace: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let extra: String = headers.iter().flat_map(|line| [*line, "\r\n"]).collect();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        site::credential(workspace),
        body.len()
    )
    .into_bytes()
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send(address, bytes.as_bytes(), false).await
}
