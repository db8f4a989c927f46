//! Another writer leaves an entry without some fields, which names another service, under the id
//! of a server.

use std::io;
use std::sync::Arc;
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
use crate::server::Server;
use crate::store::Store;

const CLIENTS: usize = 12;

/// Which request ran at which server, and of which service that is.
type Ran = Arc<Mutex<Vec<(String, String)>>>;

fn handle(
    ran: &Ran,
    service: &str,
    server: &Server,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    thread::sleep(Duration::from_millis(30));
    let path = request.path().to_owned();
    ran.lock()
        .expect("not poisoned")
        .push((path, service.to_owned()));
    let headers = server.success_headers(request);
    connection.answer("200 OK", &headers, &format!("the bytes of {service}"))
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let names = ["desk", "ledger"];
    let routes = names.map(|name| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"a.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\
             \"priority\":2,\"service\":\"{name}\",\"max_attempts\":1}}"
        )
    });
    let services = names.map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":300,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    });
    store.put(
        "op/config",
        &settings(&routes.join(","), &services.join(",")),
    );
    let zones = ["z-a", "z-b", "z-c"];
    let ran: Ran = Arc::default();
    let servers: Vec<Server> = (0..6)
        .map(|number| {
            let (ran, service) = (ran.clone(), names[number / 3]);
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                handle(&ran, service, server, request, connection)
            };
            let id = format!("i-{number}");
            let zone = zones[number % 3];
            Server::start(&store, record, &id, service, zone, "v1", Arc::new(handler))
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
            let service = names[number % 2];
            thread::spawn(move || {
                let mut served = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let path = format!("/{service}/a");
                    let request = Request::new("POST", &path, Duration::from_millis(1500));
                    let (answer, _) = request.send(front);
                    served += u32::from(answer.status() == 200 && answer.is_complete);
                    if answer.status() == 200 && answer.body != format!("the bytes of {service}") {
                        record.add(format!(
                            "{}: POST {path} at {front}: status 200, \"{}\"",
                            request.attempt, answer.body
                        ));
                    }
                    thread::sleep(Duration::from_millis(30));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if case.has_trouble {
        let entry = format!(
            "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"z-a\",\"state\":\"ready\"}}",
            servers[0].address
        );
        store.put("servers/i-0", &entry);
        record.add(format!(
            "another writer writes servers/i-0, a server of desk: {entry}"
        ));
    }
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    let served: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    drop(daemons);
    let ran = ran.lock().expect("not poisoned");
    let wrong = ran
        .iter()
        .filter(|(path, service)| !path.starts_with(&format!("/{service}/")));
    let wrong = wrong.count();
    record.add(format!(
        "{served} requests served; {wrong} ran at a server of a service to which no settings send them"
    ));
    match wrong {
        _ if served < 100 => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
