//! A server becomes cold while the store is down.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::cases::settings;
use crate::client::Request;
use crate::daemon;
use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

const COLD: Duration = Duration::from_secs(3);
/// `cold_per_s` x `cold_overshoot` + `cold_slack`.
const PER_SECOND_MAX: usize = 20 * 3 / 2 + 5;
const CLIENTS: usize = 21;
/// A rate well above what a cold server tolerates, at which it crashes: three times that.
const CRASH_ABOVE: usize = 60;

fn handle(
    cold_from: &AtomicU64,
    record: &Record,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let is_cold = server
        .about()
        .cold_until
        .is_some_and(|until| Instant::now() < until);
    let since = cold_from
        .load(Ordering::Relaxed)
        .max(record.ms().saturating_sub(1000));
    let arrivals = server.arrivals();
    let recent = arrivals
        .iter()
        .rev()
        .take_while(|(at, _)| *at >= since)
        .count();
    if is_cold && recent > CRASH_ABOVE {
        record.add(format!(
            "it has got {recent} requests in a second, and is cold"
        ));
        server.crash();
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    thread::sleep(Duration::from_millis(30));
    let headers = server.success_headers(request);
    connection.answer("200 OK", &headers, "the server's bytes")
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-hold\",\"host\":\"a.example\",\"prefix\":\"/hold/\",\
        \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
        \"service\":\"desk\",\"max_attempts\":1}";
    let service = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":300,\
        \"cold_start_s\":3.0,\"cold_per_s\":20.0}";
    store.put("op/config", &settings(route, service));
    let cold_since = Arc::new(AtomicU64::new(0));
    let zones = ["z-a", "z-b", "z-c"];
    let servers: Vec<Server> = zones
        .iter()
        .map(|zone| {
            let id = format!("i-{zone}");
            let (of_server, since) = (record.clone(), cold_since.clone());
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                handle(&since, &of_server, server, request, connection)
            };
            Server::start(&store, record, &id, "desk", zone, "v1", Arc::new(handler))
        })
        .collect();
    let folder = daemon::Folder::new();
    let daemons = daemon::start(&case.program, &folder, store.address, &zones);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, record) = (is_over.clone(), record.clone());
            let front = daemons[number % daemons.len()].front;
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                let (mut served, mut others) = (0_u32, 0_u32);
                while !is_over.load(Ordering::Relaxed) {
                    let request = Request::new("POST", "/hold/a", Duration::from_millis(1500));
                    let answer = match kept.take() {
                        Some(mut connection) => {
                            let (answer, is_kept) = request.send_on(&mut connection);
                            kept = is_kept.then_some(connection);
                            answer
                        }
                        None => {
                            let (answer, connection) = request.send(front);
                            kept = connection;
                            answer
                        }
                    };
                    let is_served = answer.status() == 200 && answer.is_complete;
                    served += u32::from(is_served);
                    others += u32::from(!is_served);
                    if !is_served {
                        record.add(format!("{}: status {}", request.attempt, answer.status()));
                    }
                    thread::sleep(Duration::from_millis(30));
                }
                (served, others)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if case.has_trouble {
        store.set_silent(true);
        record.add("the store is down");
    }
    thread::sleep(Duration::from_millis(500));
    let server = &servers[0];
    let cold_from = record.ms();
    cold_since.store(cold_from, Ordering::Relaxed);
    server.change(|about| about.cold_until = Some(Instant::now() + COLD));
    record.add("server i-z-a becomes cold");
    thread::sleep(COLD);
    let cold_to = record.ms();
    store.set_silent(false);
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    let (mut served, mut others) = (0, 0);
    for client in clients {
        let counts = client.join().unwrap_or_default();
        served += counts.0;
        others += counts.1;
    }
    drop(daemons);
    record.add(format!("requesters: {served} served, {others} not"));
    let arrivals = server.arrivals();
    let cold: Vec<u64> = arrivals
        .iter()
        .map(|(at, _)| *at)
        .filter(|at| (cold_from..cold_to).contains(at))
        .collect();
    for second in 0..COLD.as_secs() {
        let from = cold_from + second * 1000;
        let count = cold
            .iter()
            .filter(|at| (from..from + 1000).contains(*at))
            .count();
        record.add(format!(
            "second {second} of its cold time: {count} requests"
        ));
    }
    let busiest = cold.iter().map(|from| {
        cold.iter()
            .filter(|at| (*from..from + 1000).contains(*at))
            .count()
    });
    let busiest = busiest.max().unwrap_or(0);
    record.add(format!(
        "at most {busiest} requests in one second at the cold server (allowed: {PER_SECOND_MAX})"
    ));
    match busiest {
        _ if served < 500 => Verdict::NotRun,
        0..=PER_SECOND_MAX => Verdict::Held,
        _ => Verdict::Broken,
    }
}
