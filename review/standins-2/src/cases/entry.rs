//! Another writer leaves an entry without some fields under the id of a server that has left.

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

/// `drain_ms`, and some time for the requests that were sent before.
const DRAIN_MS: u64 = 2000;

fn handle(server: &Server, request: &Message, connection: &mut Connection) -> io::Result<()> {
    thread::sleep(Duration::from_millis(30));
    let headers = server.success_headers(request);
    connection.answer("200 OK", &headers, "the server's bytes")
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-read\",\"host\":\"a.example\",\"prefix\":\"/read/\",\
        \"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
        \"service\":\"desk\",\"max_attempts\":2}";
    let service = "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":300,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    store.put("op/config", &settings(route, service));
    let zones = ["z-a", "z-b", "z-c"];
    let servers: Vec<Server> = zones
        .iter()
        .map(|zone| {
            let id = format!("i-{zone}");
            Server::start(&store, record, &id, "desk", zone, "v1", Arc::new(handle))
        })
        .collect();
    let folder = daemon::Folder::new();
    let daemons = daemon::start(&case.program, &folder, store.address, &zones);
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let is_over = is_over.clone();
            let front = daemons[number % daemons.len()].front;
            thread::spawn(move || {
                let mut served = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let request = Request::new("GET", "/read/a", Duration::from_millis(1500));
                    let (answer, _) = request.send(front);
                    served += u32::from(answer.status() == 200 && answer.is_complete);
                    thread::sleep(Duration::from_millis(30));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    // It leaves without reporting it: its entry is removed, and it goes on serving.
    let server = &servers[0];
    server.change(|about| about.is_writing = false);
    store.remove("servers/i-z-a");
    let acknowledged = record.ms();
    record.add("the entry of server i-z-a is removed; it goes on serving for some seconds");
    thread::sleep(Duration::from_secs(1));
    if case.has_trouble {
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"z-a\",\"state\":\"ready\"}}",
            server.address
        );
        store.put("servers/i-z-a", &entry);
        record.add(format!("another writer writes servers/i-z-a: {entry}"));
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    let served: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    drop(daemons);
    let late = server.arrivals();
    let late: Vec<_> = late
        .iter()
        .filter(|(at, _)| *at > acknowledged + DRAIN_MS)
        .collect();
    for (at, attempt) in late.iter().take(5) {
        record.add(format!(
            "{attempt} reached server i-z-a {} ms after its leaving was acknowledged",
            at - acknowledged
        ));
    }
    record.add(format!(
        "{served} requests served; {} reached server i-z-a later than drain_ms after it had left",
        late.len()
    ));
    match late.len() {
        _ if served < 100 => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
