//! A request that crashes the servers that run it, from a requester that retries at once.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Case;
use crate::Verdict;
use crate::cases::settings;
use crate::client::Request;
use crate::daemon;
use crate::http::Connection;
use crate::http::Message;
use crate::server::Server;
use crate::store::Store;

const SERVERS: usize = 12;
const DOWN_TIME: Duration = Duration::from_secs(2);
/// How often the requester comes again, and how often it tries each time.
const ROUNDS: usize = 4;
const ROUND_INTERVAL: Duration = Duration::from_secs(4);
const TRIES: usize = 4;
const CONTACT_MS: u64 = 3000;
/// More retries than these, later than `contact_ms` after the third crash, break the rule.
const RETRIES_MAX: usize = 3;

const PATH: &str = "/read/bad";

fn handle(
    crashes: bool,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    thread::sleep(Duration::from_millis(10));
    if crashes && request.path() == PATH {
        server.crash();
        let server = server.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            server.start_again(|_| ());
        });
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    thread::sleep(Duration::from_millis(30));
    let headers = server.success_headers(request);
    connection.answer("200 OK", &headers, "the server's bytes")
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let routes = "{\"name\":\"r-hold\",\"host\":\"a.example\",\"prefix\":\"/hold/\",\
        \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
        \"service\":\"desk\",\"max_attempts\":1},{\"name\":\"r-read\",\"host\":\"a.example\",\"prefix\":\"/read/\",\
        \"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
        \"service\":\"desk\",\"max_attempts\":2}";
    let service = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    store.put("op/config", &settings(routes, service));
    let zones = ["z-a", "z-b", "z-c", "z-a"];
    let crashes = case.has_trouble;
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                handle(crashes, server, request, connection)
            };
            let id = format!("i-{number}");
            let zone = zones[number % 3];
            Server::start(&store, record, &id, "desk", zone, "v1", Arc::new(handler))
        })
        .collect();
    let folder = daemon::Folder::new();
    let daemons = daemon::start(&case.program, &folder, store.address, &zones);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|number| {
            let (is_over, record) = (is_over.clone(), record.clone());
            let front = fronts[number % fronts.len()];
            thread::spawn(move || {
                let (mut served, mut others) = (0_u32, 0_u32);
                while !is_over.load(Ordering::Relaxed) {
                    let path = format!("/hold/{served}-{number}");
                    let request = Request::new("POST", &path, Duration::from_millis(1500));
                    let (answer, _) = request.send(front);
                    let is_served = answer.status() == 200 && answer.is_complete;
                    served += u32::from(is_served);
                    others += u32::from(!is_served);
                    if !is_served {
                        record.add(format!(
                            "{}: sound request, status {}",
                            request.attempt,
                            answer.status()
                        ));
                    }
                    thread::sleep(Duration::from_millis(60));
                }
                (served, others)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut attempts = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..TRIES {
            let front = fronts[(round + number) % fronts.len()];
            let request = Request::new("GET", PATH, Duration::from_millis(1500));
            attempts.push(request.attempt.clone());
            let sent = record.ms();
            let (answer, _) = request.send(front);
            record.add(format!(
                "{}: GET {PATH} at {front}, try {} of round {}, sent at {sent} ms: status {}",
                request.attempt,
                number + 1,
                round + 1,
                answer.status()
            ));
            if answer.status() == 200 {
                break;
            }
        }
        thread::sleep(ROUND_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    let (mut served, mut others) = (0, 0);
    for client in clients {
        let counts = client.join().unwrap_or_default();
        served += counts.0;
        others += counts.1;
    }
    drop(daemons);
    let mut arrivals: Vec<(u64, String)> = servers
        .iter()
        .flat_map(Server::arrivals)
        .filter(|(_, attempt)| attempts.contains(attempt))
        .collect();
    arrivals.sort();
    for (at, attempt) in &arrivals {
        record.add(format!("{attempt} reached a server at {at} ms"));
    }
    record.add(format!("other requests: {served} served, {others} not"));
    let third = arrivals.get(2).map_or(u64::MAX, |(at, _)| *at);
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > third.saturating_add(CONTACT_MS));
    let late = late.count();
    record.add(format!(
        "{} arrivals in all, {late} later than contact_ms after the third (allowed: {RETRIES_MAX})",
        arrivals.len()
    ));
    match late {
        _ if served < 100 => Verdict::NotRun,
        _ if !case.has_trouble => Verdict::Held,
        0..=RETRIES_MAX => Verdict::Held,
        _ => Verdict::Broken,
    }
}
