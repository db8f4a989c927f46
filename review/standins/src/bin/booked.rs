//! The servers of a service are in need and name a `Server-Limit`. Requests wait their turn at a
//! machine that the platform then stops (SIGTERM). Does each request that the machine has read
//! get an answer?

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins::*;
use serde_json::json;

/// What each server takes a second from all machines together.
const LIMIT: &str = "1.0";
/// How many requests come at once.
const REQUESTS: usize = 18;

fn main() {
    let record = Record::open();
    let site = Site::new();
    let store = Store::start(site.ip(100));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (number, id) in [(101, "i-e1000001"), (102, "i-e1000002")] {
        let (log, runs) = (record.clone(), runs.clone());
        let engine = serve(site.ip(number), move |request, _, stream| {
            if request.path.starts_with("/v1/") {
                return write(
                    stream,
                    &answer(200, &[], b"{\"runs\":[],\"waiting\":0,\"running\":0}"),
                );
            }
            let attempt = request.header("Attempt-Id").to_owned();
            log.line(&format!("{id}: runs {attempt}"));
            runs.lock().expect("not poisoned").push(attempt.clone());
            thread::sleep(Duration::from_millis(100));
            let events: String = (1..=4)
                .map(|id| format!("id: {id}\ndata: {attempt}\n\n"))
                .collect();
            let head = [
                ("Attempt-Id", attempt.as_str()),
                ("Response-Seal", "seal"),
                ("Content-Type", "text/event-stream"),
                ("Server-Load", "1,0,128"),
                ("Server-Limit", LIMIT),
            ];
            write(stream, &answer(200, &head, events.as_bytes()))
        });
        store.put(
            &format!("servers/{id}"),
            &server_entry("guia-llm", engine, "huaraz", 128),
        );
    }
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{"name": "trek", "host": "trek.example", "prefix": "/t/", "kind": "streaming", "timeout_ms": 15000,
            "target_latency_ms": 2400, "priority": 1, "service": "guia-llm", "max_attempts": 1, "target_gap_ms": 300}],
        "services": [{"name": "guia-llm", "max_conns": 500, "health_path": "/h", "engine": {"slots": 128, "kv_capacity": 621_712, "stride": 6}}],
        "limits": limits(),
        "tenants": [{"name": "w-1", "api_keys": ["key-1"], "priority": 1}],
    }));
    let daemons = site.start_daemons(&["front-huaraz-1"], store.address);
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    record.line("the daemon is ready");
    let front = daemons[0].front;
    // These bring the first answers that name the limit.
    let first: Vec<_> = (0..8)
        .map(|number| client(&record, front, number, 200 * number as u64))
        .collect();
    thread::sleep(Duration::from_millis(2_500));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| client(&record, front, 100 + number, 10 * number as u64))
        .collect();
    thread::sleep(Duration::from_millis(400));
    let stopped = record.now();
    if has_trouble() {
        record.line("platform: SIGTERM to front-huaraz-1");
        daemons[0].signal("TERM");
    }
    for client in first {
        client.join().ok();
    }
    let mut lost = 0;
    let mut served = 0;
    let mut refused = 0;
    for client in clients {
        match client.join() {
            Ok((_, 200, true)) => served += 1,
            Ok((attempt, 0, _)) | Ok((attempt, 200, false)) => {
                lost += 1;
                record.line(&format!("LOST: {attempt}: was read whole, and its channel ended without a complete answer {} ms after SIGTERM", record.now() - stopped));
            }
            Ok(_) => refused += 1,
            Err(_) => cannot_run("a client failed"),
        }
    }
    drop(daemons);
    let text = format!(
        "{REQUESTS} requests in the queue: {served} served, {refused} refused, {lost} with a channel that ended without an answer"
    );
    record.line(&text);
    println!("{text}");
    site.end();
    if served == 0 {
        cannot_run("no request was served");
    }
    std::process::exit(if lost == 0 { HELD } else { BROKEN });
}

fn client(
    record: &Record,
    front: std::net::SocketAddr,
    number: usize,
    after_ms: u64,
) -> thread::JoinHandle<(String, u16, bool)> {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(after_ms));
        let attempt = format!("d0000000000{number:05x}");
        let prefix = format!("5c1e07a2:800,{:08x}:250", 0x9000_0000_u64 + number as u64);
        let headers = [
            ("Host", "trek.example"),
            ("Attempt-Id", &*attempt),
            ("Deadline-Ms", "15000"),
            ("X-Api-Key", "key-1"),
            ("Model", "m"),
            ("Token-Counts", "1050,80"),
            ("Prompt-Prefix", &prefix),
        ];
        record.line(&format!("client: {attempt} sent to front-huaraz-1"));
        let answer = ask(
            front,
            "POST",
            "/t/x",
            &headers,
            "{}",
            Duration::from_secs(15),
        );
        let end = match (answer.status, answer.is_complete) {
            (0, _) => "nothing, its channel has ended".to_owned(),
            (status, true) => format!("{status}"),
            (status, false) => format!("{status}, not complete"),
        };
        record.line(&format!("client: {attempt} gets {end}"));
        (attempt, answer.status, answer.is_complete)
    })
}
