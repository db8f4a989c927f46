//! Requesters take their streams up again after all daemons were killed and are back.

use std::io;
use std::net::SocketAddr;
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
use crate::client;
use crate::client::Request;
use crate::daemon;
use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

const EVENTS: u64 = 80;
const INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(15);
const STREAMS: usize = 16;
/// When the daemons are killed, after the streams began; how long until they are started again.
const KILLED_AFTER: Duration = Duration::from_secs(3);
const DOWN_TIME: Duration = Duration::from_millis(500);
/// When the requesters try to take their streams up, after the end of their channels.
const TRIES_AT: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(1500),
    Duration::from_millis(4000),
    Duration::from_millis(6500),
];
/// From when on the daemons are in touch: `contact_ms` after they were started again.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3600);
/// When new streams begin.
const NEW_AFTER: Duration = Duration::from_millis(5500);

/// What an engine holds: the requests that it works on with their events, and the parts of the
/// prompts that it has read with their tokens.
#[derive(Default)]
struct Held {
    runs: Vec<(String, u64)>,
    parts: Vec<(String, String)>,
}

fn handle(
    held: &Mutex<Held>,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let born = server.about().born;
    let json = "Content-Type: application/json\r\n";
    match request.path() {
        "/v1/report" => {
            let held = held.lock().expect("not poisoned");
            let runs = held.runs.iter();
            let runs = runs.map(|(attempt, events)| format!("[\"{attempt}\",400,{events},5]"));
            let runs = runs.collect::<Vec<_>>().join(",");
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":2,\"waiting\":0,\"running\":{},\"kv_used\":41000,\
                 \"kv_total\":840204,\"handles\":0,\"state\":\"ready\",\"next\":0,\"born\":{born},\
                 \"runs\":[{runs}]}}",
                held.runs.len()
            );
            return connection.answer("200 OK", json, &body);
        }
        "/v1/kv-list" => {
            let held = held.lock().expect("not poisoned");
            let parts = held.parts.iter();
            let parts = parts.map(|(id, tokens)| format!("[\"\",\"{id}\",{tokens},\"m\"]"));
            let parts = parts.collect::<Vec<_>>().join(",");
            let body = format!("{{\"epoch\":1,\"next\":1,\"born\":{born},\"held\":[{parts}]}}");
            return connection.answer("200 OK", json, &body);
        }
        _ => {}
    }
    let attempt = request.header("Attempt-Id").to_owned();
    {
        let mut held = held.lock().expect("not poisoned");
        for part in request.header("Prompt-Prefix").split(',') {
            if let Some((id, tokens)) = part.split_once(':') {
                held.parts.retain(|(known, _)| known != id);
                held.parts.push((id.to_owned(), tokens.to_owned()));
            }
        }
        held.runs.push((attempt.clone(), 0));
    }
    let result = stream(held, &attempt, server, request, connection);
    // It drops a request when its channel closes.
    let mut held = held.lock().expect("not poisoned");
    held.runs.retain(|(known, _)| *known != attempt);
    result
}

fn stream(
    held: &Mutex<Held>,
    attempt: &str,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let about = server.about();
    let after: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
    let headers = server.success_headers(request);
    connection.write(&format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))?;
    for event in after + 1..=EVENTS {
        thread::sleep(INTERVAL);
        if connection.is_closed() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        connection.chunk(&format!(
            "id: {event}\ndata: {} {}\n\n",
            about.id, about.version
        ))?;
        let mut held = held.lock().expect("not poisoned");
        for (known, events) in &mut held.runs {
            if known == attempt {
                *events += 1;
            }
        }
    }
    connection.end_chunks()
}

fn request(name: &str, left: Duration) -> Request {
    let mut request = Request::new("POST", "/stream/a", left);
    let name = if name.is_empty() {
        request.attempt.clone()
    } else {
        name.to_owned()
    };
    request.body = format!("prompt {name}");
    request.headers =
        format!("Model: m\r\nToken-Counts: 400,800\r\nPrompt-Prefix: aa:100,{name}:300\r\n");
    request
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-stream\",\"host\":\"a.example\",\"prefix\":\"/stream/\",\
        \"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2200,\"priority\":1,\
        \"service\":\"engine\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
        \"target_gap_ms\":200}";
    let service = "{\"name\":\"engine\",\"health_path\":\"/health\",\"max_conns\":300,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":48,\"kv_capacity\":840204}}";
    store.put("op/config", &settings(route, service));
    let zones = ["z-a", "z-b", "z-c"];
    let _servers: Vec<Server> = (0..4)
        .map(|number| {
            let held: Arc<Mutex<Held>> = Arc::default();
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                handle(&held, server, request, connection)
            };
            let id = format!("i-{number}");
            let zone = zones[number % zones.len()];
            Server::start(&store, record, &id, "engine", zone, "v1", Arc::new(handler))
        })
        .collect();
    let folder = daemon::Folder::new();
    let mut daemons = daemon::start(&case.program, &folder, store.address, &zones);
    // Daemons, engines and the list have been the same for a while.
    thread::sleep(Duration::from_secs(35));
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let cut = Arc::new(AtomicBool::new(false));
    let went_on = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            let (cut, went_on) = (cut.clone(), went_on.clone());
            let is_killed = case.has_trouble;
            thread::spawn(move || {
                let goes_on = session(number, &fronts, &cut, is_killed, &record);
                went_on.lock().expect("not poisoned").extend(goes_on);
            })
        })
        .collect();
    thread::sleep(KILLED_AFTER);
    let killed_at = Instant::now();
    if case.has_trouble {
        for daemon in &mut daemons {
            daemon.kill();
        }
        record.add("all daemons are killed");
        thread::sleep(DOWN_TIME);
        for daemon in &mut daemons {
            daemon.start_again();
        }
        record.add("all daemons are started again");
    } else {
        cut.store(true, Ordering::Relaxed);
        record.add("the requesters close their channels");
    }
    thread::sleep(NEW_AFTER.saturating_sub(killed_at.elapsed()));
    // New streams begin at the same time.
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let record = record.clone();
            thread::spawn(move || {
                let mut request = request("", Duration::from_secs(3));
                request.deadline = Duration::from_secs(3);
                let (answer, _) = request.send(front);
                let events = answer.events().len();
                record.add(format!(
                    "{}: new stream at {front}: status {}, {events} events",
                    request.attempt,
                    answer.status()
                ));
                events > 0
            })
        })
        .collect();
    for client in clients {
        client.join().ok();
    }
    let begun = new
        .into_iter()
        .filter_map(|client| client.join().ok())
        .filter(|begun| *begun)
        .count();
    drop(daemons);
    let went_on = went_on.lock().expect("not poisoned");
    let taken_up = went_on.len();
    let on = went_on.iter().filter(|goes_on| **goes_on).count();
    record.add(format!("{begun} of {STREAMS} new streams began"));
    record.add(format!(
        "{on} of {taken_up} streams that were taken up went on"
    ));
    match 2 * on * STREAMS < begun * taken_up {
        _ if taken_up < 12 || begun < 8 => Verdict::NotRun,
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Opens a stream, and takes it up again after it broke off. Returns whether it went on; `None`
/// if it was not taken up at a daemon in touch.
fn session(
    number: usize,
    fronts: &[SocketAddr],
    cut: &AtomicBool,
    is_killed: bool,
    record: &Record,
) -> Option<bool> {
    let began = Instant::now();
    let first = request("", DEADLINE);
    let front = fronts[number % fronts.len()];
    let mut connection = client::connect(front).ok()?;
    let socket = connection.stream.try_clone().ok()?;
    let answer = thread::scope(|scope| {
        let sending = scope.spawn(|| first.send_on(&mut connection).0);
        while !sending.is_finished() {
            if cut.load(Ordering::Relaxed) {
                socket.shutdown(std::net::Shutdown::Both).ok();
            }
            thread::sleep(Duration::from_millis(5));
        }
        sending.join()
    });
    let broke_at = Instant::now();
    let answer = answer.ok()?;
    let last = answer.events().last().map(|(id, _, _)| *id)?;
    record.add(format!(
        "{} at {front}: status {}, {last} events, complete {}",
        first.attempt,
        answer.status(),
        answer.is_complete
    ));
    if answer.is_complete {
        return None;
    }
    let mut goes_on = None;
    for (turn, at) in TRIES_AT.iter().enumerate() {
        thread::sleep(at.saturating_sub(broke_at.elapsed()));
        let sent_after = broke_at.elapsed();
        let is_in_touch = !is_killed || sent_after >= IN_TOUCH_AFTER;
        let mut again = request(&first.attempt, DEADLINE.saturating_sub(began.elapsed()));
        again.headers += &format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", first.attempt);
        let front = fronts[(number + 1 + turn) % fronts.len()];
        let (answer, _) = again.send(front);
        let events = answer.events();
        record.add(format!(
            "{} takes up {} after event {last} at {front}, {} ms after it broke off: status {}, {} events",
            again.attempt,
            first.attempt,
            sent_after.as_millis(),
            answer.status(),
            events.len()
        ));
        let has_gone_on = events.first().is_some_and(|(id, _, _)| *id == last + 1);
        if is_in_touch || has_gone_on {
            goes_on = Some(has_gone_on);
        }
        if has_gone_on {
            break;
        }
    }
    goes_on
}
