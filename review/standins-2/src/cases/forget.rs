//! A part of prompts crashes servers again after all daemons, which knew it, were killed.

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
use crate::server::stream_events;
use crate::store::Store;

const SERVERS: usize = 12;
const DOWN_TIME: Duration = Duration::from_secs(2);
const CONTACT_MS: u64 = 3000;
const REACHED_MAX: usize = 3;

fn handle(server: &Server, request: &Message, connection: &mut Connection) -> io::Result<()> {
    if !request.header("Prompt-Prefix").contains("bad") {
        return stream_events(server, request, connection, 10, Duration::from_millis(60));
    }
    let headers = server.success_headers(request);
    connection.write(&format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))?;
    thread::sleep(Duration::from_millis(60));
    connection.chunk("id: 1\ndata")?;
    thread::sleep(Duration::from_millis(20));
    server.crash();
    let server = server.clone();
    thread::spawn(move || {
        thread::sleep(DOWN_TIME);
        server.start_again(|_| ());
    });
    Err(io::ErrorKind::ConnectionReset.into())
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-stream\",\"host\":\"a.example\",\"prefix\":\"/stream/\",\
        \"kind\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":820,\"priority\":2,\
        \"service\":\"engine\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\
        \"target_gap_ms\":200}";
    let service = "{\"name\":\"engine\",\"health_path\":\"/health\",\"max_conns\":300,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":48,\"kv_capacity\":840204}}";
    store.put("op/config", &settings(route, service));
    let zones = ["z-a", "z-b", "z-c"];
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let id = format!("i-{number}");
            let zone = zones[number % 3];
            Server::start(&store, record, &id, "engine", zone, "v1", Arc::new(handle))
        })
        .collect();
    let folder = daemon::Folder::new();
    let mut daemons = daemon::start(&case.program, &folder, store.address, &zones);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let request = |middle: &str| {
        let mut request = Request::new("POST", "/stream/a", Duration::from_secs(4));
        request.headers = format!(
            "Model: m\r\nToken-Counts: 300,200\r\nPrompt-Prefix: aa:100,{middle}:100,{}:100\r\n",
            request.attempt
        );
        request
    };
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let is_over = is_over.clone();
            let front = fronts[number % fronts.len()];
            thread::spawn(move || {
                let (mut served, mut others) = (0_u32, 0_u32);
                while !is_over.load(Ordering::Relaxed) {
                    let (answer, _) = request(&format!("ok{number}")).send(front);
                    let is_served = answer.status() == 200 && answer.is_complete;
                    served += u32::from(is_served);
                    others += u32::from(!is_served);
                    thread::sleep(Duration::from_millis(50));
                }
                (served, others)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut attempts = Vec::new();
    let bad = |number: usize, record: &crate::record::Record| {
        let request = request("bad");
        let id = request.attempt.clone();
        let (front, record) = (fronts[number % fronts.len()], record.clone());
        let sending = thread::spawn(move || {
            let (answer, _) = request.send(front);
            record.add(format!(
                "{}: bad, status {}",
                request.attempt,
                answer.status()
            ));
        });
        (id, sending)
    };
    for round in 0..3 {
        let sent: Vec<_> = (0..3).map(|n| bad(n + round, record)).collect();
        for (id, sending) in sent {
            attempts.push(id);
            sending.join().ok();
        }
        thread::sleep(Duration::from_millis(2500));
    }
    if case.has_trouble {
        for daemon in &mut daemons {
            daemon.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for daemon in &mut daemons {
            daemon.start_again();
        }
    }
    let restarted = record.ms();
    record.add("from now on all daemons are new, unless TROUBLE=0");
    thread::sleep(Duration::from_millis(3500));
    for number in 0..14 {
        let (id, sending) = bad(number, record);
        attempts.push(id);
        sending.join().ok();
        thread::sleep(Duration::from_millis(3700));
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
    let fifth = arrivals.get(4).map_or(u64::MAX, |(at, _)| *at);
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > fifth.saturating_add(CONTACT_MS) && *at > restarted + 3000)
        .count();
    record.add(format!("sound requests: {served} served, {others} not"));
    record.add(format!("{} bad requests reached servers, {late} later than contact_ms after the fifth (allowed: {REACHED_MAX})", arrivals.len()));
    match late {
        _ if served < 100 => Verdict::NotRun,
        0..=REACHED_MAX => Verdict::Held,
        _ => Verdict::Broken,
    }
}
