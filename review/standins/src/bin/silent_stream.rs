//! A server preempts a running stream and goes on with it two seconds later, while the machine
//! that passes the stream on is being stopped by the platform (SIGTERM). Does the stream end
//! with its last event?

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins::*;
use serde_json::json;

/// Events of each stream, and the pause between them.
const EVENTS: u64 = 40;
const EVENT_MS: u64 = 60;
/// How long the server leaves a preempted request without an event.
const PREEMPTED_MS: u64 = 1_900;
/// Before which event it is preempted.
const PREEMPTED_AT: u64 = 20;
const STREAMS: usize = 6;

fn main() {
    let record = Record::open();
    let site = Site::new();
    let store = Store::start(site.ip(100));
    // The attempts that the server has written to the last event.
    let finished: Arc<Mutex<Vec<String>>> = Arc::default();
    // The server of version 2.0 gets new streams, too; one that began at 1.0 may not go on there.
    for (number, id, version) in [(101, "i-e1000001", "1.0"), (102, "i-e1000002", "2.0")] {
        let (log, done) = (record.clone(), finished.clone());
        let engine = serve(site.ip(number), move |request, channel, stream| {
            if request.path.starts_with("/v1/") {
                return write(
                    stream,
                    &answer(200, &[], b"{\"runs\":[],\"waiting\":0,\"running\":0}"),
                );
            }
            let attempt = request.header("Attempt-Id").to_owned();
            log.line(&format!(
                "{id}: runs {attempt}, Deadline-Ms {}",
                request.header("Deadline-Ms")
            ));
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\nServer-Load: 6,0,128\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if !write(stream, head.as_bytes()) {
                return false;
            }
            for event in 1..=EVENTS {
                if event == PREEMPTED_AT && has_trouble() && attempt.ends_with('0') {
                    log.line(&format!(
                        "{id}: {attempt} is preempted before event {event}"
                    ));
                    thread::sleep(Duration::from_millis(PREEMPTED_MS));
                    log.line(&format!("{id}: {attempt} goes on with event {event}"));
                }
                thread::sleep(Duration::from_millis(EVENT_MS));
                let bytes = format!("id: {event}\ndata: {attempt}\n\n");
                let chunk = format!("{:x}\r\n{bytes}\r\n", bytes.len());
                if !write(stream, chunk.as_bytes()) {
                    log.line(&format!(
                        "{id}: {attempt}: channel {channel} is gone at event {event}"
                    ));
                    return false;
                }
            }
            done.lock().expect("not poisoned").push(attempt.clone());
            log.line(&format!("{id}: {attempt} is complete"));
            write(stream, b"0\r\n\r\n")
        });
        let mut entry = server_entry("guia-llm", engine, "huaraz", 128);
        entry["version"] = version.into();
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{"name": "trek", "host": "trek.example", "prefix": "/t/", "kind": "streaming", "timeout_ms": 15000,
            "target_latency_ms": 2000, "priority": 1, "service": "guia-llm", "max_attempts": 2, "target_gap_ms": 300, "resumable": true}],
        "services": [{"name": "guia-llm", "max_conns": 500, "health_path": "/h", "engine": {"slots": 128, "kv_capacity": 621_712, "stride": 6}}],
        "limits": limits(),
        "tenants": [{"name": "w-1", "api_keys": ["key-1"], "priority": 1}],
    }));
    let mut daemons = site.start_daemons(&["front-huaraz-1", "front-caraz-1"], store.address);
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    record.line("the daemons are ready");
    let front = daemons[0].front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20) * u32::try_from(number).unwrap_or(0));
                // The last digit tells the server which one it preempts.
                let attempt = format!("c00000000000{:03x}{}", number, usize::from(number > 0));
                let prefix = format!("5c1e07a2:800,{:08x}:250", 0x9000_0000_u64 + number as u64);
                let headers = [
                    ("Host", "trek.example"),
                    ("Attempt-Id", &*attempt),
                    ("Deadline-Ms", "15000"),
                    ("X-Api-Key", "key-1"),
                    ("Model", "m"),
                    ("Token-Counts", "1050,400"),
                    ("Prompt-Prefix", &prefix),
                ];
                record.line(&format!("client: {attempt} sent to front-huaraz-1"));
                let answer = ask(
                    front,
                    "POST",
                    "/t/x",
                    &headers,
                    "{}",
                    Duration::from_secs(8),
                );
                let events = answer.body.matches("\n\n").count() as u64;
                let is_whole = answer.status == 200 && answer.is_complete && events == EVENTS;
                record.line(&format!(
                    "client: {attempt} gets {}, {events} events, {}",
                    answer.status,
                    if is_whole {
                        "complete"
                    } else {
                        "its channel ended before the end"
                    }
                ));
                (attempt, is_whole)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    record.line("platform: SIGTERM to front-huaraz-1");
    let stopped = record.now();
    daemons[0].signal("TERM");
    let mut lost = Vec::new();
    for client in clients {
        let (attempt, is_whole) = client
            .join()
            .unwrap_or_else(|_| cannot_run("a client failed"));
        if !is_whole {
            lost.push((attempt, record.now() - stopped));
        }
    }
    let mut has_ended = false;
    while record.now() < stopped + 9_000 && !has_ended {
        has_ended = daemons[0].has_ended();
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "front-huaraz-1 {} {} ms after SIGTERM",
        if has_ended { "has ended" } else { "runs" },
        record.now() - stopped
    ));
    drop(daemons);
    for (attempt, after) in &lost {
        record.line(&format!("LOST: {attempt}: its channel ended {after} ms after SIGTERM, within grace_s + 1 s, without a complete answer; the server had not broken it off"));
    }
    let text = format!(
        "{STREAMS} streams, {} broken off by the machine",
        lost.len()
    );
    record.line(&text);
    println!("{text}");
    std::io::stdout().flush().ok();
    site.end();
    if lost.len() >= STREAMS {
        cannot_run("no stream was served");
    }
    std::process::exit(if lost.is_empty() { HELD } else { BROKEN });
}
