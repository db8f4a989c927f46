//! The servers of a service that tells no load are brittle for a time.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
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
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

/// The slots of a server, which stand in its entry, and its usual queue.
const SLOTS: u32 = 2;
const QUEUE: u32 = 4;
const WORK: Duration = Duration::from_millis(60);
/// How many requests a brittle server can turn away in a second.
const TURNED_AWAY_MAX: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
const BRITTLE_TIME: Duration = Duration::from_secs(15);
const DOWN_TIME: Duration = Duration::from_secs(2);
const CLIENTS: usize = 15;
const THINK: Duration = Duration::from_millis(120);
const SERVERS: usize = 3;

#[derive(Default)]
struct Work {
    running: u32,
    waiting: u32,
    queue: u32,
    run: u32,
    is_brittle: bool,
    turned_away: Vec<u64>,
    rejected: usize,
    falls: usize,
    broken: usize,
}

type Shared = Arc<(Mutex<Work>, Condvar)>;

fn handle(
    shared: &Shared,
    record: &Record,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let (lock, free) = &**shared;
    let mut work = lock.lock().expect("not poisoned");
    let run = work.run;
    if work.running >= SLOTS {
        if work.waiting >= work.queue {
            return turn_away(work, shared, record, server, request, connection);
        }
        work.waiting += 1;
        work = free
            .wait_while(work, |work| work.running >= SLOTS && work.run == run)
            .expect("not poisoned");
        work.waiting = work.waiting.saturating_sub(1);
    }
    if work.run == run {
        work.running += 1;
        drop(work);
        thread::sleep(WORK);
        work = lock.lock().expect("not poisoned");
    }
    if work.run != run {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    work.running -= 1;
    free.notify_one();
    let mut headers = server.success_headers(request);
    if std::env::var_os("LOAD").is_some() {
        headers += &format!("Server-Load: {},{},{SLOTS}\r\n", work.running, work.waiting);
    }
    drop(work);
    connection.answer("200 OK", &headers, "the server's bytes")
}

/// Turns a request away for want of room; the server may fall over by that.
fn turn_away(
    mut work: std::sync::MutexGuard<'_, Work>,
    shared: &Shared,
    record: &Record,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let now = record.ms();
    work.rejected += 1;
    work.turned_away.retain(|at| at + 1000 > now);
    work.turned_away.push(now);
    if work.is_brittle && work.turned_away.len() > TURNED_AWAY_MAX {
        work.falls += 1;
        work.broken += (work.running + work.waiting) as usize;
        record.add(format!(
            "server {} falls over: it has turned {} requests away in a second; {} were running or waiting",
            server.about().id,
            work.turned_away.len(),
            work.running + work.waiting
        ));
        work.run += 1;
        (work.running, work.waiting) = (0, 0);
        work.turned_away.clear();
        shared.1.notify_all();
        drop(work);
        server.crash();
        let server = server.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            server.start_again(|_| ());
        });
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    drop(work);
    let headers = format!(
        "Attempt-Id: {}\r\nNot-Executed: 1\r\n{}",
        request.header("Attempt-Id"),
        server.about().headers
    );
    connection.answer("503 Service Unavailable", &headers, "full")
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-hold\",\"host\":\"a.example\",\"prefix\":\"/hold/\",\
        \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
        \"service\":\"desk\",\"max_attempts\":1}";
    let service = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":100,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    store.put("op/config", &settings(route, service));
    let zones = ["z-a", "z-b", "z-c"];
    let mut works: Vec<Shared> = Vec::new();
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let shared: Shared = Arc::default();
            shared.0.lock().expect("not poisoned").queue = QUEUE;
            works.push(shared.clone());
            let record_of_server = record.clone();
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                handle(&shared, &record_of_server, server, request, connection)
            };
            let id = format!("i-{number}");
            let zone = zones[number % zones.len()];
            Server::start_with_slots(&store, record, &id, "desk", zone, SLOTS, Arc::new(handler))
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
                thread::sleep(THINK * u32::try_from(number).unwrap_or(0) / 15);
                let (mut served, mut refused, mut failed) = (0_u32, 0_u32, 0_u32);
                while !is_over.load(Ordering::Relaxed) {
                    let request = Request::new("POST", "/hold/a", Duration::from_millis(1500));
                    let (answer, _) = request.send(front);
                    match answer.status() {
                        200 if answer.is_complete => served += 1,
                        429 | 503 => refused += 1,
                        status => {
                            failed += 1;
                            record.add(format!("{}: status {status}", request.attempt));
                        }
                    }
                    thread::sleep(THINK);
                }
                (served, refused, failed)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let rejected = |works: &[Shared]| -> usize {
        works
            .iter()
            .map(|shared| shared.0.lock().expect("not poisoned").rejected)
            .sum()
    };
    let before = rejected(&works);
    record.add(format!("{before} requests were turned away until now"));
    if case.has_trouble {
        record.add(format!(
            "the servers say from now on: Server-Brittle: {TURNED_AWAY_MAX}"
        ));
        for server in &servers {
            server.change(|about| {
                about.headers = format!("Server-Brittle: {TURNED_AWAY_MAX}\r\n");
            });
        }
        thread::sleep(CONTACT);
        record.add("the servers let none wait");
        for shared in &works {
            let mut work = shared.0.lock().expect("not poisoned");
            (work.queue, work.is_brittle) = (0, true);
        }
    }
    thread::sleep(BRITTLE_TIME);
    is_over.store(true, Ordering::Relaxed);
    let (mut served, mut refused, mut failed) = (0, 0, 0);
    for client in clients {
        let counts = client.join().unwrap_or_default();
        served += counts.0;
        refused += counts.1;
        failed += counts.2;
    }
    drop(daemons);
    let (mut falls, mut broken) = (0, 0);
    for shared in &works {
        let work = shared.0.lock().expect("not poisoned");
        falls += work.falls;
        broken += work.broken;
    }
    record.add(format!(
        "requesters: {served} served, {refused} refused, {failed} failed"
    ));
    record.add(format!(
        "{} requests were turned away by servers",
        rejected(&works)
    ));
    let is_broken = falls * 10 > 20 + SERVERS;
    record.add(format!(
        "{falls} falls (allowed: 2 + {SERVERS} / 10), which broke off {broken} requests"
    ));
    match is_broken {
        _ if served < 200 => Verdict::NotRun,
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
