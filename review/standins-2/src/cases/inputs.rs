//! A stage server falls silent for a moment, while another one that is slow lacks room for a
//! result.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::server::stream_events;
use crate::store::Store;

const CALL: Duration = Duration::from_millis(150);
const ITEM: Duration = Duration::from_millis(16);
/// For how long a server falls silent.
const SILENCE: Duration = Duration::from_millis(770);
/// The pieces of the large request: one more than fit into a call.
const LARGE: u32 = 9;
/// How many requests come before the trouble.
const CALM: u64 = 4;

/// What the stage servers have made: the request, the stage and the piece of each handle.
type Made = Arc<Mutex<BTreeMap<String, (String, String, u32)>>>;

/// An item of a call.
struct Item {
    id: String,
    stage: String,
    piece: u32,
    key: String,
}

/// What the servers of a stage do.
struct Stage {
    has_trouble: bool,
    record: Record,
    made: Made,
    /// How often the small request has failed.
    failures: Mutex<BTreeMap<String, u32>>,
}

fn field(text: &str, name: &str) -> String {
    let start = text.split_once(&format!("\"{name}\":"));
    let rest = start.map_or("", |(_, rest)| rest);
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().trim_matches('"').to_owned()
}

fn items(body: &[u8]) -> Vec<Item> {
    let text = String::from_utf8_lossy(body).into_owned();
    let items = text.split('{').skip(2);
    let items = items.map(|item| Item {
        id: field(item, "id"),
        stage: field(item, "stage"),
        piece: field(item, "piece").parse().unwrap_or(0),
        key: field(item, "key"),
    });
    items.collect()
}

impl Stage {
    fn handle(
        &self,
        server: &Server,
        request: &Message,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let json = "Content-Type: application/json\r\nServer-Load: 0,0,1\r\n";
        match request.path() {
            "/v1/report" => {
                let body = "{\"waiting\":0,\"busy\":false,\"free_mb\":30}";
                return connection.answer("200 OK", json, body);
            }
            "/v1/stage-run" => {}
            _ => return connection.answer("200 OK", json, "{}"),
        }
        let items = items(&request.body);
        let began = Instant::now();
        let names: Vec<String> = items
            .iter()
            .map(|item| format!("{}/{}", item.key, item.piece))
            .collect();
        let id = server.about().id;
        self.record
            .add(format!("{id} gets a call for {}", names.join(" ")));
        let count = u32::try_from(items.len()).unwrap_or(1);
        let mut took = CALL + ITEM * count;
        let is_of = |item: &&Item, kind: &str| item.key.starts_with(kind);
        let small = items.iter().find(|item| is_of(item, "small"));
        let large = items.iter().filter(|item| is_of(item, "large")).count();
        let is_slow = self.has_trouble && large >= 8;
        let is_silent = self.has_trouble && small.is_some() && large > 0;
        if is_slow {
            // Between three and four times as long as usual.
            took = took * 355 / 100;
        }
        if is_silent {
            took += SILENCE;
        }
        let mut failed = false;
        if let Some(small) = small.filter(|_| self.has_trouble && !is_silent) {
            let mut failures = self.failures.lock().expect("not poisoned");
            let count = failures.entry(small.key.clone()).or_default();
            failed = *count < 2;
            *count += 1;
        }
        thread::sleep(took.saturating_sub(began.elapsed()));
        let mut made = self.made.lock().expect("not poisoned");
        let answers = items.iter().map(|item| {
            if failed && is_of(&item, "small") {
                return "{\"reason\":\"error\"}".to_owned();
            }
            if is_slow && is_of(&item, "large") && item.piece == 3 {
                return "{\"reason\":\"room\"}".to_owned();
            }
            let handle = format!("{}/{:08x}", server.address, made.len() + 1);
            let what = (item.id.clone(), item.stage.clone(), item.piece);
            made.insert(handle.clone(), what);
            format!("{{\"handle\":\"{handle}\"}}")
        });
        let answers: Vec<String> = answers.collect();
        drop(made);
        self.record.add(format!(
            "{id} answers the call for {} after {} ms: {}",
            names.join(" "),
            began.elapsed().as_millis(),
            answers.join(" ")
        ));
        connection.answer(
            "200 OK",
            json,
            &format!("{{\"items\":[{}]}}", answers.join(",")),
        )
    }
}

fn send(front: SocketAddr, key: &str, pieces: u32, record: &Record) -> thread::JoinHandle<u16> {
    let (key, record) = (key.to_owned(), record.clone());
    thread::spawn(move || {
        let mut request = Request::new("POST", "/stream/a", Duration::from_secs(6));
        request.headers = format!(
            "Model: m\r\nToken-Counts: 300,200\r\nPrompt-Prefix: aa:100,{}:200\r\n\
             Pieces: {pieces}\r\nPiece-Key: {key}\r\n",
            request.attempt
        );
        record.add(format!(
            "{}: sent, {key} with {pieces} pieces",
            request.attempt
        ));
        let (answer, _) = request.send(front);
        record.add(format!(
            "{}: {key}: status {}, {} events, complete {}, {} ms",
            request.attempt,
            answer.status(),
            answer.events().len(),
            answer.is_complete,
            answer.took.as_millis()
        ));
        answer.status()
    })
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let route = "{\"name\":\"r-stream\",\"host\":\"a.example\",\"prefix\":\"/stream/\",\
        \"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1300,\"priority\":1,\
        \"service\":\"engine\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
        \"target_gap_ms\":500,\"stages\":[{\"service\":\"portal\",\"after\":[],\"bytes\":800000}]}";
    let services = "{\"name\":\"engine\",\"health_path\":\"/health\",\"max_conns\":610,\
        \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":128,\"kv_capacity\":283387}},\
        {\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":610,\"cold_start_s\":0.0,\
        \"cold_per_s\":0.0,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":8,\"call_ms\":150.0,\
        \"item_ms\":16.0,\"headroom_mb\":43.0,\"handle_s\":4.0,\"link_mbps\":10000}}";
    store.put("op/config", &settings(route, services));
    let zones = ["z-a", "z-b", "z-c"];
    let made: Made = Arc::default();
    let stage = Arc::new(Stage {
        has_trouble: case.has_trouble,
        record: record.clone(),
        made: made.clone(),
        failures: Mutex::default(),
    });
    let _stage_servers: Vec<Server> = (0..3)
        .map(|number| {
            let stage = stage.clone();
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                stage.handle(server, request, connection)
            };
            let id = format!("p-{number}");
            Server::start_with_slots(&store, record, &id, "portal", "z-a", 1, Arc::new(handler))
        })
        .collect();
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let _engines: Vec<Server> = (0..3)
        .map(|number| {
            let (made, wrong, record) = (made.clone(), wrong.clone(), record.clone());
            let handler = move |server: &Server, request: &Message, connection: &mut Connection| {
                let attempt = request.header("Attempt-Id");
                let wanted = request.header("Pieces").parse().unwrap_or(0);
                let mut got = Vec::new();
                for handle in request.header("Inputs").split(',') {
                    let made = made.lock().expect("not poisoned");
                    match made.get(handle) {
                        Some((id, stage, piece)) if id == attempt && stage == "0" => {
                            got.push(*piece)
                        }
                        other => got.extend(other.map(|_| u32::MAX)),
                    }
                }
                got.sort_unstable();
                let is_right = got.iter().copied().eq(0..wanted);
                let text = format!(
                    "{} runs {attempt} with the pieces {got:?} of {wanted}",
                    server.about().id
                );
                if !is_right {
                    wrong.lock().expect("not poisoned").push(text.clone());
                }
                record.add(text);
                stream_events(server, request, connection, 3, Duration::from_millis(20))
            };
            let id = format!("i-{number}");
            let zone = zones[number];
            Server::start(
                &store,
                &case.record,
                &id,
                "engine",
                zone,
                "v1",
                Arc::new(handler),
            )
        })
        .collect();
    let folder = daemon::Folder::new();
    let daemons = daemon::start(&case.program, &folder, store.address, &zones[..2]);
    let front = daemons[0].front;
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let wait_until = |ms: u64| {
        thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    };
    let mut requests = Vec::new();
    // The server that will fail answers these well.
    for number in 0..CALM {
        wait_until(300 * number);
        requests.push(send(front, &format!("calm-{number}"), 1, record));
    }
    for (at, name, pieces) in [
        (0, "small", 1),
        (190, "other", 8),
        (240, "large", LARGE),
        (700, "more", 1),
    ] {
        wait_until(300 * CALM + at);
        requests.push(send(front, name, pieces, record));
    }
    wait_until(300 * CALM + 3000);
    let statuses = requests
        .into_iter()
        .filter_map(|request| request.join().ok());
    let served = statuses.filter(|status| *status == 200).count();
    drop(daemons);
    let wrong = wrong.lock().expect("not poisoned");
    for text in wrong.iter() {
        record.add(format!("WRONG INPUTS: {text}"));
    }
    record.add(format!(
        "{served} requests served, {} with wrong inputs",
        wrong.len()
    ));
    match wrong.len() {
        _ if served < 8 => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
