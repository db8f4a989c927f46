//! A server of a stage service sends a second copy of an answer late, at the point where the
//! next answer is expected. Which results does each request read?

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::*;
use serde_json::Value;
use serde_json::json;

/// Pieces of each request.
const PIECES: usize = 14;
/// Of this many answers of a server, one says that a piece failed; its copy follows.
const ERROR_EVERY: usize = 40;
const REQUESTS: usize = 150;
const INTERVAL: Duration = Duration::from_millis(260);

fn main() {
    let record = Record::open();
    let site = Site::new();
    let store = Store::start(site.ip(100));
    // Handle of each result: the request and the piece that it was made for.
    let made: Arc<Mutex<BTreeMap<String, (String, u64)>>> = Arc::default();
    let copies = Arc::new(AtomicUsize::new(0));
    let answers = Arc::new(AtomicUsize::new(0));
    let mixed = Arc::new(AtomicUsize::new(0));
    for (id, zone, is_faulty) in [
        ("i-51a7e001", "huaraz", has_trouble()),
        ("i-51a7e002", "caraz", false),
    ] {
        let address = stage_server(&site, id, is_faulty, &made, &copies, &answers, &record);
        store.put(
            &format!("servers/{id}"),
            &server_entry("ranger-desk", address, zone, 1),
        );
    }
    let (seen, shared, log) = (made.clone(), mixed.clone(), record.clone());
    let engine = serve(site.ip(103), move |request, _, stream| {
        if request.path.starts_with("/v1/") {
            return write(
                stream,
                &answer(200, &[], b"{\"runs\":[],\"waiting\":0,\"running\":0}"),
            );
        }
        let attempt = request.header("Attempt-Id").to_owned();
        let handles: Vec<&str> = request.header("Inputs").split(',').collect();
        let known = seen.lock().expect("not poisoned");
        let inputs: Vec<Option<(String, u64)>> = handles
            .iter()
            .map(|handle| known.get(*handle).cloned())
            .collect();
        drop(known);
        if inputs.iter().any(Option::is_none) {
            log.line(&format!(
                "model server: {attempt}: an input does not exist; 409, not run"
            ));
            return write(
                stream,
                &answer(409, &[("Attempt-Id", &attempt), ("Not-Executed", "1")], b""),
            );
        }
        let mut inputs: Vec<(String, u64)> = inputs.into_iter().flatten().collect();
        inputs.sort();
        let expected: Vec<(String, u64)> = (0..PIECES as u64)
            .map(|piece| (attempt.clone(), piece))
            .collect();
        let is_right = inputs == expected;
        log.line(&format!(
            "model server: runs {attempt} with results of {inputs:?}{}",
            if is_right { "" } else { "  <- NOT ITS OWN" }
        ));
        if !is_right {
            shared.fetch_add(1, Ordering::SeqCst);
        }
        let events: String = (1..=4)
            .map(|id| format!("id: {id}\ndata: {attempt}\n\n"))
            .collect();
        let head = [
            ("Attempt-Id", attempt.as_str()),
            ("Response-Seal", "seal"),
            ("Content-Type", "text/event-stream"),
            ("Server-Load", "1,0,128"),
        ];
        write(stream, &answer(200, &head, events.as_bytes()))
    });
    store.put(
        "servers/i-e1000001",
        &server_entry("guia-llm", engine, "huaraz", 128),
    );
    store.put("op/config", &json!({
        "version": 7,
        "routes": [{"name": "trek", "host": "trek.example", "prefix": "/t/", "kind": "streaming", "timeout_ms": 15000,
            "target_latency_ms": 1400, "priority": 1, "service": "guia-llm", "max_attempts": 1, "target_gap_ms": 300,
            "stages": [{"service": "ranger-desk", "after": [], "bytes": 100_000}]}],
        "services": [
            {"name": "guia-llm", "max_conns": 500, "health_path": "/h", "engine": {"slots": 128, "kv_capacity": 621_712, "stride": 6}},
            {"name": "ranger-desk", "max_conns": 500, "health_path": "/h", "pieces": {"slots": 1, "queue": 2, "batch": 14,
                "call_ms": 240, "item_ms": 15, "headroom_mb": 17, "handle_s": 4, "link_mbps": 10000}}],
        "limits": limits(),
        "tenants": [{"name": "w-1", "api_keys": ["key-1"], "priority": 1}],
    }));
    let daemons = site.start_daemons(&["front-huaraz-1", "front-caraz-1"], store.address);
    daemons.iter().for_each(Daemon::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    record.line("the daemons are ready");
    let begun = Instant::now();
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, name) = {
                let daemon = &daemons[number % daemons.len()];
                (daemon.front, daemon.name.clone())
            };
            let (record, served) = (record.clone(), served.clone());
            thread::spawn(move || {
                let at = begun + INTERVAL * u32::try_from(number).unwrap_or(0);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let attempt = format!("{:016x}", 0xa000_0000_0000_0000_u64 + number as u64);
                let key = format!("{number:012x}");
                let prefix = format!("5c1e07a2:800,{:08x}:250", 0x9000_0000_u64 + number as u64);
                let headers = [
                    ("Host", "trek.example"),
                    ("Attempt-Id", &attempt),
                    ("Deadline-Ms", "15000"),
                    ("X-Api-Key", "key-1"),
                    ("Model", "m"),
                    ("Token-Counts", "1050,80"),
                    ("Prompt-Prefix", &prefix),
                    ("Pieces", "14"),
                    ("Piece-Key", &key),
                    ("Connection", "close"),
                ];
                record.line(&format!("client: {attempt} sent to {name}"));
                let answer = ask(
                    front,
                    "POST",
                    "/t/x",
                    &headers,
                    "{}",
                    Duration::from_secs(15),
                );
                record.line(&format!(
                    "client: {attempt} gets {}{}",
                    answer.status,
                    if answer.is_complete {
                        ""
                    } else {
                        ", not complete"
                    }
                ));
                if answer.status == 200 && answer.is_complete {
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().ok();
    }
    drop(daemons);
    let (mixed, served) = (mixed.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    let text = format!(
        "{REQUESTS} requests, {served} served; the stage servers gave {} answers and {} second copies; {mixed} requests ran with results of other requests",
        answers.load(Ordering::SeqCst),
        copies.load(Ordering::SeqCst)
    );
    record.line(&text);
    println!("{text}");
    site.end();
    if served < REQUESTS / 2 {
        cannot_run("most requests were not served");
    }
    std::process::exit(if mixed > 0 { BROKEN } else { HELD });
}

/// Starts a server of the stage service. It works on one call at a time.
fn stage_server(
    site: &Site,
    id: &'static str,
    is_faulty: bool,
    made: &Arc<Mutex<BTreeMap<String, (String, u64)>>>,
    copies: &Arc<AtomicUsize>,
    answers: &Arc<AtomicUsize>,
    record: &Record,
) -> std::net::SocketAddr {
    let (made, copies, answers, record) = (
        made.clone(),
        copies.clone(),
        answers.clone(),
        record.clone(),
    );
    let turn = Mutex::new(());
    let own_answers = AtomicUsize::new(0);
    let is_busy = AtomicBool::new(false);
    // The copy that follows on a connection where the next answer is expected.
    let pending: Mutex<BTreeMap<u64, Vec<u8>>> = Mutex::default();
    let own = Arc::new(std::sync::OnceLock::new());
    let shared = own.clone();
    let address = serve(
        site.ip(if id.ends_with('1') { 101 } else { 102 }),
        move |request, channel, stream| {
            let copy = pending.lock().expect("not poisoned").remove(&channel);
            if let Some(copy) = copy {
                copies.fetch_add(1, Ordering::SeqCst);
                record.line(&format!(
                    "{id}: channel {channel}: sends the last answer a second time, as {} comes",
                    request.path
                ));
                if !write(stream, &copy) {
                    return false;
                }
            }
            if request.header("Expect-Instance") != id {
                return write(stream, &answer(421, &[], b""));
            }
            let json = [
                ("Content-Type", "application/json"),
                ("Server-Load", "0,0,1"),
            ];
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            match request.path.as_str() {
                "/v1/report" => {
                    let text = json!({"waiting": 0, "busy": is_busy.load(Ordering::SeqCst), "free_mb": 15}).to_string();
                    return write(stream, &answer(200, &json, text.as_bytes()));
                }
                "/v1/stage-free" => {
                    for handle in body["handles"].as_array().into_iter().flatten() {
                        made.lock()
                            .expect("not poisoned")
                            .remove(handle.as_str().unwrap_or_default());
                    }
                    return write(stream, &answer(200, &json, b"{}"));
                }
                _ => {}
            }
            let items = body["items"].as_array().cloned().unwrap_or_default();
            let names: Vec<String> = items
                .iter()
                .map(|item| {
                    format!(
                        "{} piece {}",
                        item["id"].as_str().unwrap_or_default(),
                        item["piece"]
                    )
                })
                .collect();
            record.line(&format!(
                "{id}: channel {channel}: call for {}",
                names.join(", ")
            ));
            let guard = turn.lock().expect("not poisoned");
            is_busy.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(240 + 15 * items.len() as u64));
            is_busy.store(false, Ordering::SeqCst);
            let number = own_answers.fetch_add(1, Ordering::SeqCst) + 1;
            answers.fetch_add(1, Ordering::SeqCst);
            let has_failed = number % ERROR_EVERY == ERROR_EVERY / 2;
            let address: &std::net::SocketAddr = shared.wait();
            let mut made = made.lock().expect("not poisoned");
            let results = items.iter().enumerate().map(|(index, item)| {
                if has_failed {
                    return json!({"reason": "error"});
                }
                let handle = format!("{address}/{number:06x}{index:02x}");
                let maker = (
                    item["id"].as_str().unwrap_or_default().to_owned(),
                    item["piece"].as_u64().unwrap_or(0),
                );
                made.insert(handle.clone(), maker);
                json!({"handle": handle})
            });
            let text = json!({"items": results.collect::<Vec<_>>()}).to_string();
            drop(made);
            drop(guard);
            let bytes = answer(200, &json, text.as_bytes());
            record.line(&format!(
                "{id}: channel {channel}: answers {}",
                if has_failed {
                    "that they failed (error)"
                } else {
                    "with handles"
                }
            ));
            if has_failed && is_faulty {
                pending
                    .lock()
                    .expect("not poisoned")
                    .insert(channel, bytes.clone());
            }
            write(stream, &bytes)
        },
    );
    own.set(address).ok();
    address
}
