//! One service serves a stage and a route whose requests must not run twice. A server that is
//! full turns a call of the stage away, and sends a second copy of that answer late, at the
//! point where the next answer on the channel is expected. How often does each request run?

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::*;
use serde_json::Value;
use serde_json::json;

/// What a server works on at the same time, and how much more may wait.
const SLOTS: usize = 1;
const QUEUE: usize = 2;
/// A faulty server sends at most one in this many of its answers twice.
const COPY_EVERY: usize = 34;
const HOLDS: usize = 700;
/// When holds come in each interval, in milliseconds: six at once, and some after them.
const OFFSETS: [u64; 10] = [0, 0, 0, 0, 0, 0, 160, 165, 200, 205];
const HOLD_INTERVAL: Duration = Duration::from_millis(700);
const BRIEFINGS: usize = 70;
const BRIEFING_INTERVAL: Duration = Duration::from_millis(700);

#[derive(Default)]
struct Shared {
    /// The servers that ran each request, in order.
    runs: Mutex<BTreeMap<String, Vec<&'static str>>>,
    handles: Mutex<BTreeMap<String, String>>,
    copies: AtomicUsize,
    answers: AtomicUsize,
}

fn main() {
    let record = Record::open();
    let site = Site::new();
    let store = Store::start(site.ip(100));
    let shared: Arc<Shared> = Arc::default();
    for (number, id, zone, is_faulty) in [
        (101, "i-51a7e001", "huaraz", has_trouble()),
        (102, "i-51a7e002", "caraz", false),
    ] {
        let address = server(&site, number, id, is_faulty, &shared, &record);
        store.put(
            &format!("servers/{id}"),
            &server_entry("returns", address, zone, 1),
        );
    }
    let engine = serve(site.ip(103), move |request, _, stream| {
        if request.path.starts_with("/v1/") {
            return write(
                stream,
                &answer(200, &[], b"{\"runs\":[],\"waiting\":0,\"running\":0}"),
            );
        }
        let attempt = request.header("Attempt-Id").to_owned();
        let events: String = (1..=4)
            .map(|id| format!("id: {id}\ndata: {attempt}\n\n"))
            .collect();
        let head = [
            ("Attempt-Id", attempt.as_str()),
            ("Response-Seal", "seal"),
            ("Content-Type", "text/event-stream"),
        ];
        write(stream, &answer(200, &head, events.as_bytes()))
    });
    store.put(
        "servers/i-e1000001",
        &server_entry("guia-llm", engine, "huaraz", 128),
    );
    store.put("op/config", &json!({
        "version": 7,
        "routes": [
            {"name": "trek", "host": "trek.example", "prefix": "/t/", "kind": "streaming", "timeout_ms": 15000,
             "target_latency_ms": 1400, "priority": 1, "service": "guia-llm", "max_attempts": 1, "target_gap_ms": 300,
             "stages": [{"service": "returns", "after": [], "bytes": 100_000}]},
            {"name": "hold", "host": "hold.example", "prefix": "/h/", "kind": "non_idempotent", "timeout_ms": 2500,
             "target_latency_ms": 150, "priority": 2, "service": "returns", "max_attempts": 2}],
        "services": [
            {"name": "guia-llm", "max_conns": 500, "health_path": "/h", "engine": {"slots": 128, "kv_capacity": 621_712, "stride": 6}},
            {"name": "returns", "max_conns": 500, "health_path": "/h", "pieces": {"slots": 1, "queue": 2, "batch": 14,
                "call_ms": 120, "item_ms": 4, "headroom_mb": 17, "handle_s": 4, "link_mbps": 10000}}],
        "limits": limits(),
        "tenants": [{"name": "w-1", "api_keys": ["key-1"], "priority": 1}],
    }));
    let daemons = site.start_daemons(&["front-huaraz-1", "front-caraz-1"], store.address);
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    record.line("the daemons are ready");
    let begun = Instant::now();
    let mut clients = Vec::new();
    for number in 0..HOLDS + BRIEFINGS {
        let daemon = &daemons[number % daemons.len()];
        let (front, name, record) = (daemon.front, daemon.name.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let is_hold = number < HOLDS;
            let at = if is_hold {
                HOLD_INTERVAL * u32::try_from(number / OFFSETS.len()).unwrap_or(0)
                    + Duration::from_millis(OFFSETS[number % OFFSETS.len()])
            } else {
                BRIEFING_INTERVAL * u32::try_from(number - HOLDS).unwrap_or(0)
                    + Duration::from_millis(15)
            };
            thread::sleep((begun + at).saturating_duration_since(Instant::now()));
            let attempt = format!("{:016x}", 0xb000_0000_0000_0000_u64 + number as u64);
            let (host, path, deadline) = if is_hold {
                ("hold.example", "/h/deposit", "2500")
            } else {
                ("trek.example", "/t/x", "15000")
            };
            let key = format!("{number:012x}");
            let prefix = format!("5c1e07a2:800,{:08x}:250", 0x9000_0000_u64 + number as u64);
            let mut headers = vec![
                ("Host", host),
                ("Attempt-Id", &attempt),
                ("Deadline-Ms", deadline),
                ("X-Api-Key", "key-1"),
                ("Connection", "close"),
            ];
            if !is_hold {
                headers.extend([
                    ("Model", "m"),
                    ("Token-Counts", "1050,80"),
                    ("Prompt-Prefix", &prefix),
                    ("Pieces", "3"),
                    ("Piece-Key", &key),
                ]);
            }
            record.line(&format!(
                "client: {} {attempt} sent to {name}",
                if is_hold { "hold" } else { "briefing" }
            ));
            let answer = ask(
                front,
                "POST",
                path,
                &headers,
                "{\"amount\":40}",
                Duration::from_secs(15),
            );
            record.line(&format!(
                "client: {attempt} gets {} {}",
                answer.status,
                answer.body.trim_end().replace('\n', " ")
            ));
            answer.status == 200 && answer.is_complete
        }));
    }
    let served = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|is_served| *is_served)
        .count();
    thread::sleep(Duration::from_millis(500));
    drop(daemons);
    let runs = shared.runs.lock().expect("not poisoned");
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    for (attempt, servers) in &twice {
        record.line(&format!(
            "{attempt} was sent once and ran at {}",
            servers.join(" and at ")
        ));
    }
    let text = format!(
        "{HOLDS} holds and {BRIEFINGS} briefings, {served} served; the faulty server gave {} answers and {} second copies; {} holds ran twice",
        shared.answers.load(Ordering::SeqCst),
        shared.copies.load(Ordering::SeqCst),
        twice.len()
    );
    record.line(&text);
    println!("{text}");
    site.end();
    if served < (HOLDS + BRIEFINGS) / 2 {
        cannot_run("most requests were not served");
    }
    std::process::exit(if twice.is_empty() { HELD } else { BROKEN });
}

/// Returns whether the daemon has closed a channel.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok();
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// The work of a server: how much it has, and the number of the next that may begin.
#[derive(Default)]
struct Work {
    count: Mutex<usize>,
    turn: Mutex<bool>,
    free: Condvar,
}

/// Starts a server that works on calls of the stage and on holds, one at a time.
fn server(
    site: &Site,
    number: u8,
    id: &'static str,
    is_faulty: bool,
    shared: &Arc<Shared>,
    record: &Record,
) -> std::net::SocketAddr {
    let (shared, record) = (shared.clone(), record.clone());
    let work = Work::default();
    let results = AtomicUsize::new(0);
    let own_answers = AtomicUsize::new(0);
    let own_copies = AtomicUsize::new(0);
    let pending: Mutex<BTreeMap<u64, Vec<u8>>> = Mutex::default();
    serve(site.ip(number), move |request, channel, stream| {
        let copy = pending.lock().expect("not poisoned").remove(&channel);
        // The copy comes where the next answer is expected: directly before that answer.
        let send = |stream: &mut TcpStream, bytes: &[u8]| {
            if let Some(copy) = &copy {
                shared.copies.fetch_add(1, Ordering::SeqCst);
                record.line(&format!(
                    "{id}: channel {channel}: sends its last answer a second time, before that to {} {}",
                    request.path,
                    request.header("Attempt-Id")
                ));
                if !write(stream, copy) {
                    return false;
                }
            }
            write(stream, bytes)
        };
        let attempt = request.header("Attempt-Id").to_owned();
        let mut echo = vec![("Server-Load", "0,0,1")];
        if !attempt.is_empty() {
            echo.push(("Attempt-Id", attempt.as_str()));
        }
        if request.header("Expect-Instance") != id {
            return send(stream, &answer(421, &echo, b""));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if request.path == "/v1/report" {
            let is_busy = *work.count.lock().expect("not poisoned") > 0;
            return send(
                stream,
                &answer(
                    200,
                    &echo,
                    json!({"waiting": 0, "busy": is_busy, "free_mb": 15})
                        .to_string()
                        .as_bytes(),
                ),
            );
        }
        if request.path == "/v1/stage-free" {
            return send(stream, &answer(200, &echo, b"{}"));
        }
        let answers = own_answers.fetch_add(1, Ordering::SeqCst) + 1;
        if is_faulty {
            shared.answers.fetch_add(1, Ordering::SeqCst);
        }
        let is_full = {
            let mut count = work.count.lock().expect("not poisoned");
            let is_full = *count >= SLOTS + QUEUE;
            *count += usize::from(!is_full);
            is_full
        };
        if is_full {
            echo.push(("Not-Executed", "1"));
            let bytes = answer(503, &echo, b"full");
            record.line(&format!(
                "{id}: channel {channel}: {} {attempt}: is full; 503, not executed",
                request.path
            ));
            let may_copy = answers >= COPY_EVERY * (own_copies.load(Ordering::SeqCst) + 1);
            if is_faulty && may_copy && request.path == "/v1/stage-run" {
                own_copies.fetch_add(1, Ordering::SeqCst);
                pending
                    .lock()
                    .expect("not poisoned")
                    .insert(channel, bytes.clone());
            }
            return send(stream, &bytes);
        }
        let mut busy = work.turn.lock().expect("not poisoned");
        while *busy {
            busy = work.free.wait(busy).expect("not poisoned");
        }
        *busy = true;
        drop(busy);
        let end = || {
            *work.count.lock().expect("not poisoned") -= 1;
            *work.turn.lock().expect("not poisoned") = false;
            work.free.notify_one();
        };
        if is_closed(stream) {
            record.line(&format!("{id}: channel {channel}: {} {attempt}: dropped before it ran, its channel is closed", request.path));
            end();
            return false;
        }
        let bytes = if request.path == "/v1/stage-run" {
            let items = body["items"].as_array().cloned().unwrap_or_default();
            thread::sleep(Duration::from_millis(120 + 4 * items.len() as u64));
            let handles = items.iter().map(|item| {
                let handle = format!(
                    "{}/{:08x}",
                    request.header("Host"),
                    results.fetch_add(1, Ordering::SeqCst)
                );
                shared
                    .handles
                    .lock()
                    .expect("not poisoned")
                    .insert(handle.clone(), item["id"].to_string());
                json!({"handle": handle})
            });
            let text = json!({"items": handles.collect::<Vec<_>>()}).to_string();
            answer(200, &echo, text.as_bytes())
        } else {
            record.line(&format!("{id}: channel {channel}: runs {attempt}"));
            shared
                .runs
                .lock()
                .expect("not poisoned")
                .entry(attempt.clone())
                .or_default()
                .push(id);
            thread::sleep(Duration::from_millis(40));
            // It has no length and ends with its channel.
            let head = "HTTP/1.1 200 OK\r\nServer-Load: 0,0,1\r\nResponse-Seal: seal";
            format!("{head}\r\nAttempt-Id: {attempt}\r\n\r\nheld by {id}").into_bytes()
        };
        end();
        send(stream, &bytes) && request.path == "/v1/stage-run"
    })
}
