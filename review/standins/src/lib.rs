//! Small stand-ins of the users' platform for the cases of the review: the store, HTTP
//! servers whose answers are written byte by byte, clients, and daemons as processes.
//!
//! Everything runs on loopback addresses with free ports and on the real clock.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is to be caused: `TROUBLE=0` leaves it out.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the record that the first argument of the program names.
    #[must_use]
    pub fn open() -> Self {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into());
        let file =
            File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{:>4}.{:03} s  {text}", now / 1000, now % 1000).ok();
    }
}

/// The processes of daemons that have not been ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the program since the case could not run, and the daemons that it started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    if let Ok(running) = RUNNING.lock() {
        for id in running.iter() {
            let kill = format!("kill -KILL {id}");
            Command::new("sh").arg("-c").arg(kill).status().ok();
        }
    }
    std::process::exit(NOT_RUN)
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// Reads a start line and headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((start.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a chunked body; empty at its end.
fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (start, headers) = read_head(reader)?;
    let mut words = start.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = Vec::new();
    if find_header(&headers, "Transfer-Encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Ok(size) = find_header(&headers, "Content-Length").parse() {
        body = vec![0; size];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Serves on a free port of an address: `handle` gets each request, the number of the
/// connection and the connection, writes the answer, and returns whether the connection stays open.
pub fn serve<H>(ip: Ipv4Addr, handle: H) -> SocketAddr
where
    H: Fn(Request, u64, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener
        .local_addr()
        .unwrap_or_else(|error| cannot_run(&error.to_string()));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (Ok(stream), handle) = (stream, handle.clone()) else {
                continue;
            };
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handle(request, number as u64, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the bytes of an answer with a length.
#[must_use]
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Writes bytes; returns false if the connection is gone.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream
        .write_all(bytes)
        .and_then(|()| stream.flush())
        .is_ok()
}

/// An answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; 0 if the channel ended without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether it was received to its end.
    pub is_complete: bool,
}

/// Sends a request on a new channel and reads the answer, for `patience` at most.
#[must_use]
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Answer {
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: String::new(),
        is_complete: false,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    stream.set_read_timeout(Some(patience)).ok();
    stream.set_nodelay(true).ok();
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    if !write(&mut stream, text.as_bytes()) {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some((start, head)) = read_head(&mut reader) else {
        return answer;
    };
    answer.status = start
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    answer.headers = head;
    let mut bytes = Vec::new();
    if find_header(&answer.headers, "Transfer-Encoding").contains("chunked") {
        while let Some(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            bytes.extend(chunk);
        }
    } else if let Ok(size) = find_header(&answer.headers, "Content-Length").parse::<usize>() {
        bytes = vec![0; size];
        answer.is_complete = reader.read_exact(&mut bytes).is_ok();
    } else {
        answer.is_complete = reader.read_to_end(&mut bytes).is_ok();
    }
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    answer
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Value>,
    revision: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    #[must_use]
    pub fn start(ip: Ipv4Addr) -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        state.0.lock().expect("not poisoned").revision = 1;
        let shared = state.clone();
        let address = serve(ip, move |request, _, stream| {
            let (status, body) = store_answer(&shared, &request.path);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            write(
                stream,
                &answer(status, &headers, body.to_string().as_bytes()),
            )
        });
        Self { address, state }
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.0.lock().expect("not poisoned");
        state.revision += 1;
        let (revision, text) = (state.revision, STANDARD.encode(value.to_string()));
        state.items.insert(key.to_owned(), (text.clone(), revision));
        state.history.push(item(key, &text, revision));
        self.state.1.notify_all();
    }
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"key": key, "value": value, "rev": revision, "created": 1, "lease": 0})
}

fn store_answer(state: &(Mutex<StoreState>, Condvar), path: &str) -> (u16, Value) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let query = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.replace("%2F", "/"))
            .unwrap_or_default()
    };
    let mut held = state.0.lock().expect("not poisoned");
    match path {
        "/v1/kv-range" => {
            let after = query("after");
            let items = held.items.iter().filter(|(key, _)| **key > after);
            let items: Vec<Value> = items
                .map(|(key, (value, revision))| item(key, value, *revision))
                .collect();
            (
                200,
                json!({"items": items, "truncated": false, "current_rev": held.revision}),
            )
        }
        "/v1/kv-watch" => {
            let after: u64 = query("after").parse().unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
            loop {
                let events = held
                    .history
                    .iter()
                    .filter(|event| event["rev"].as_u64() > Some(after));
                let events: Vec<Value> = events.cloned().collect();
                let now = Instant::now();
                if !events.is_empty() || now >= end {
                    return (200, json!({"events": events, "current_rev": held.revision}));
                }
                held = state
                    .1
                    .wait_timeout(held, end - now)
                    .expect("not poisoned")
                    .0;
            }
        }
        _ => (404, json!({"error": "no such call"})),
    }
}

/// A daemon as a process; it is killed when this is dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// The addresses and the temporary folder of a run.
pub struct Site {
    pub folder: PathBuf,
    second_octet: u8,
}

impl Site {
    /// Creates the temporary folder.
    #[must_use]
    pub fn new() -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("gooseberry-review-{id}"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self {
            folder,
            second_octet: 20 + u8::try_from(id % 200).unwrap_or(0),
        }
    }

    /// Returns a loopback address of this run.
    #[must_use]
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_octet, 7, number)
    }

    /// Starts daemons, each at an address of its own, with the command of the deploy file. The
    /// names tell the zones: `front-ZONE-N`. The bounds are those of the small sites.
    #[must_use]
    pub fn start_daemons(&self, names: &[&str], store: SocketAddr) -> Vec<Daemon> {
        let numbers = 1..=u8::try_from(names.len()).unwrap_or(1);
        let ports = free_ports(self.ip(1), 8);
        let seeds: Vec<String> = numbers
            .clone()
            .map(|number| format!("\"{}:{}\"", self.ip(number), ports[2]))
            .collect();
        let seeds = seeds.into_iter().take(3).collect::<Vec<_>>().join(",");
        numbers.zip(names).map(|(number, name)| {
            let ip = self.ip(number);
            let zone = name.split('-').nth(1).unwrap_or("z");
            let text = format!(
                "node = \"{name}\"\nrole = \"daemon\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"ancash\"\nport_range = [{}, {}]\nseeds = [{seeds}]\nbootstrap = true\n\
                 discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
                 [listen]\nfront = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
                 [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\nlink_mbps = 1000.0\n\
                 [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
                 retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_budget_slack = 52\ncold_overshoot = 1.5\ncold_slack = 5\n\
                 [platform]\naddress = \"{store}\"\nform = \"read\"\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n",
                ports[3], ports[3], ports[0], ports[1], ports[2]);
            let boot = self.folder.join(format!("{name}.toml"));
            std::fs::write(&boot, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
            let log = File::create(self.folder.join(format!("{name}.log"))).unwrap_or_else(|error| cannot_run(&error.to_string()));
            let errors = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
            let child = Command::new("target/release/gooseberryd")
                .arg("--platform")
                .env("GOOSEBERRYARCH_BOOT", &boot)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn();
            let child = child.unwrap_or_else(|error| cannot_run(&format!("target/release/gooseberryd: {error}")));
            if let Ok(mut running) = RUNNING.lock() {
                running.push(child.id());
            }
            Daemon { name: (*name).to_owned(), front: (ip, ports[0]).into(), ready: (ip, ports[1]).into(), child }
        }).collect()
    }

    /// Prints where the logs are and leaves the folder if `KEEP` is set; else removes it.
    pub fn end(&self) {
        if std::env::var("KEEP").is_ok() {
            eprintln!("the logs of the daemons are in {}", self.folder.display());
        } else {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Default for Site {
    fn default() -> Self {
        Self::new()
    }
}

impl Daemon {
    /// Returns whether it says that it is ready, as the platform asks it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let host = self.ready.to_string();
        ask(
            self.ready,
            "GET",
            "/v1/ready",
            &[("Host", &host), ("Connection", "close")],
            "",
            Duration::from_secs(1),
        )
        .status
            == 200
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a daemon did not become ready")
    }

    /// Sends it a signal by its process id.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{signal} {}", self.child.id()))
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("a signal could not be sent");
        }
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.child.id());
        }
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns free ports; all are free at the same time.
fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .filter_map(|_| TcpListener::bind((ip, 0)).ok())
        .collect();
    let ports = listeners
        .iter()
        .filter_map(|listener| listener.local_addr().ok())
        .map(|address| address.port());
    let ports: Vec<u16> = ports.collect();
    if ports.len() < count {
        cannot_run("there are no free ports");
    }
    ports
}

/// Returns the store entry of a server.
#[must_use]
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": zone, "version": "1.0",
           "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1_764_900_000_000_u64})
}

/// Returns the limits of the settings of a small site.
#[must_use]
pub fn limits() -> Value {
    json!({"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
}
