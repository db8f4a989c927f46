//! Three of six servers are replaced in place while the store is down: each one ends, and
//! starts again under its id with the next version of its software.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::cases::settings;
use crate::client::Request;
use crate::daemon;
use crate::server::Server;
use crate::server::stream_events;
use crate::store::Store;

const EVENTS: u64 = 20;
const INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(9);
const CLIENTS: usize = 120;
const SERVERS: usize = 6;
/// When the servers are replaced, after the store went down, and how long each is down.
const REPLACED_AT: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(1600),
    Duration::from_millis(6200),
];
const DOWN_TIME: Duration = Duration::from_millis(1200);
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(7600);
/// More streams than these that join versions break the rule.
const JOINED_MAX: usize = 2;

/// A stream: its first attempt, and its events with their servers and versions.
type Session = (String, Vec<(u64, String, String)>);

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-stream\",\"host\":\"a.example\",\"prefix\":\"/stream/\",\
        \"kind\":\"streaming\",\"timeout_ms\":9000,\"target_latency_ms\":820,\"priority\":2,\
        \"service\":\"engine\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
        \"target_gap_ms\":200}";
    let service = "{\"name\":\"engine\",\"health_path\":\"/health\",\"max_conns\":300,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":48,\"kv_capacity\":840204}}";
    store.put("op/config", &settings(route, service));
    let zones = ["z-a", "z-b", "z-c"];
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let id = format!("i-{number}");
            let zone = zones[number % 3];
            let handler = |server: &Server, request: &_, connection: &mut _| {
                stream_events(server, request, connection, EVENTS, INTERVAL)
            };
            Server::start(&store, record, &id, "engine", zone, "v1", Arc::new(handler))
        })
        .collect();
    let folder = daemon::Folder::new();
    let daemons = daemon::start(&case.program, &folder, store.address, &zones);
    // Requesters are allowed to come; the daemons are in touch.
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let sessions: Arc<Mutex<Vec<Session>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, sessions, record) = (is_over.clone(), sessions.clone(), record.clone());
            let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
            thread::spawn(move || {
                let mut turn = number;
                while !is_over.load(Ordering::Relaxed) {
                    let (name, events) = session(&fronts, &mut turn, &record);
                    sessions.lock().expect("not poisoned").push((name, events));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if case.has_trouble {
        store.set_busy(true);
        record.add("the store is down");
    }
    let down_at = Instant::now();
    for (server, at) in servers.iter().zip(REPLACED_AT) {
        thread::sleep(at.saturating_sub(down_at.elapsed()));
        server.crash();
        thread::sleep(DOWN_TIME);
        server.start_again(|about| "v2".clone_into(&mut about.version));
    }
    thread::sleep(OUTAGE.saturating_sub(down_at.elapsed()));
    if case.has_trouble {
        store.set_busy(false);
        record.add("the store is back");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    drop(daemons);
    let sessions = sessions.lock().expect("not poisoned");
    let mut joined = 0;
    let mut complete = 0;
    for (name, events) in sessions.iter() {
        let versions: BTreeSet<&str> = events
            .iter()
            .map(|(_, _, version)| version.as_str())
            .collect();
        complete += usize::from(events.last().is_some_and(|(id, _, _)| *id == EVENTS));
        if versions.len() > 1 {
            joined += 1;
            let parts: Vec<String> = events
                .chunk_by(|a, b| (&a.1, &a.2) == (&b.1, &b.2))
                .map(|part| {
                    let (first, server, version) = &part[0];
                    let last = part[part.len() - 1].0;
                    format!("events {first} to {last} of {server} {version}")
                })
                .collect();
            record.add(format!("JOINED: stream {name}: {}", parts.join(", ")));
        }
    }
    record.add(format!(
        "{} streams, {complete} complete, {joined} hold events of two versions (allowed: {JOINED_MAX})",
        sessions.len()
    ));
    match joined {
        _ if complete < CLIENTS => Verdict::NotRun,
        0..=JOINED_MAX => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Opens a stream, and takes it up again at other daemons until it is complete or the deadline
/// has passed. Returns the first attempt, and the events.
fn session(
    fronts: &[std::net::SocketAddr],
    turn: &mut usize,
    record: &crate::record::Record,
) -> (String, Vec<(u64, String, String)>) {
    let began = Instant::now();
    let mut events: Vec<(u64, String, String)> = Vec::new();
    let mut first: Option<String> = None;
    let mut name = String::new();
    while began.elapsed() + Duration::from_millis(200) < DEADLINE {
        let left = DEADLINE - began.elapsed();
        let mut request = Request::new("POST", "/stream/a", left);
        let attempt = request.attempt.clone();
        if name.is_empty() {
            name.clone_from(&attempt);
        }
        request.body = format!("prompt {name}");
        request.headers = format!(
            "Model: m\r\nToken-Counts: 400,200\r\nPrompt-Prefix: aa:100,{}:100,{name}:200\r\n",
            &name[name.len() - 2..]
        );
        if let (Some(first), Some((last, _, _))) = (&first, events.last()) {
            request.headers += &format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        *turn += 1;
        let daemon = fronts[*turn % fronts.len()];
        let (answer, _) = request.send(daemon);
        let received = answer.events();
        record.add(format!(
            "{attempt} at {daemon}, stream {name}: sent with last event {}, status {}, {} events, complete {}, {} ms",
            events.last().map_or(0, |(id, _, _)| *id),
            answer.status(),
            received.len(),
            answer.is_complete,
            answer.took.as_millis()
        ));
        if !received.is_empty() {
            first.get_or_insert(attempt);
        }
        if answer.status() == 200 {
            events.extend(received);
        }
        if answer.status() == 200 && answer.is_complete {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    (name, events)
}
