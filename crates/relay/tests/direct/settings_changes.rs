//! Requests and connections that go on while the settings change.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;
use gooseberry_relay::daemon::Daemon;
use gooseberry_relay::http_server::HttpServer;
use gooseberry_relay::http_server::full_body;
use http::Response;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::start_one;
use crate::platform::wait_until;

/// The size of an answer that no socket buffer holds.
const LARGE_ANSWER_BYTES: usize = 32 << 20;

/// Publishes the settings with a version and a change.
fn publish(platform: &TestPlatform, version: u64, change: impl FnOnce(&mut Value)) {
    let mut settings: Value = serde_json::from_str(SETTINGS).expect("they are JSON");
    settings["version"] = json!(version);
    change(&mut settings);
    platform.store.put("op/config", &settings.to_string());
}

async fn wait_for_version(daemon: &Daemon, version: u64) {
    wait_until("the settings are in force", || {
        let state = daemon.context().state();
        state
            .routing_table()
            .is_some_and(|table| table.version == version)
    })
    .await;
}

/// Changes what a version may change; the tenth has nothing left of the first.
fn change(settings: &mut Value, version: u64) {
    let limits = json!({"max_header_bytes": 300, "max_body_bytes": 1,
        "header_timeout_ms": 100, "idle_timeout_ms": 100});
    match version {
        3 => settings["limits"] = limits,
        4 => {
            for route in settings["routes"].as_array_mut().expect("routes") {
                route["timeout_ms"] = json!(200);
                route["target_latency_ms"] = json!(20);
                route["max_attempts"] = json!(1);
            }
        }
        5 => {
            for service in settings["services"].as_array_mut().expect("services") {
                service["max_conns"] = json!(1);
                if service["engine"].is_object() {
                    service["engine"]["slots"] = json!(1);
                }
            }
        }
        6 => {
            for route in settings["routes"].as_array_mut().expect("routes") {
                let parts = json!([{"service": "plain", "weight": 1.0},
                    {"service": "engine", "weight": 1.0}]);
                route["backends"] = parts;
                route["service"] = Value::Null;
                route["stages"] = json!([]);
            }
        }
        7 | 8 => settings["routes"] = json!([]),
        9.. => {
            settings["limits"] = limits;
            settings["routes"] = json!([]);
            settings["services"] = json!([]);
        }
        _ => {}
    }
}

/// Sends the bytes in two parts with a pause between them; returns the answer.
async fn send_slowly(daemon: &Daemon, parts: [&str; 2], pause: Duration) -> String {
    let mut stream = TcpStream::connect(client_address(daemon))
        .await
        .expect("the daemon listens");
    for part in parts {
        stream.write_all(part.as_bytes()).await.ok();
        sleep(pause).await;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against settings that end what was admitted before them.
#[tokio::test]
async fn requests_that_go_on_are_served_through_ten_versions_in_four_seconds() {
    let (platform, daemon) = start_one().await;
    platform.store.remove("servers/engine-2");
    platform.store.remove("servers/plain-2");
    wait_until("one target of each is left", || {
        daemon.context().state().listed_count() == 6
    })
    .await;
    platform.engines[0].queue_modes(&[Mode::PauseBefore(3, 1_900); 2]);
    platform.plain[0].queue_modes(&[Mode::Delayed(1_300)]);
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(300)]);
    }
    for target in &platform.second {
        target.queue_modes(&[Mode::Delayed(600)]);
    }
    let address = client_address(&daemon);
    let send = async |client: ClientRequest| {
        let answer = client.send(address).await;
        answer.map(|answer| (answer.status, answer.is_complete, answer.body))
    };
    let streams = futures::future::join(
        send(ClientRequest::new("/resume/").with_stage_pieces("")),
        send(ClientRequest::new("/stream/").with_stage_pieces("")),
    );
    let plain = send(ClientRequest::new("/once/"));
    let staged = send(
        ClientRequest::new("/staged/")
            .with_stage_pieces("1,1")
            .with("Deadline-Ms", "8000"),
    );
    let head = "POST /read/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: slow-body\r\nX-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 9\r\n\r\n";
    let slow_body = send_slowly(&daemon, [head, "some text"], Duration::from_millis(900));
    let changes = async {
        sleep(Duration::from_millis(100)).await;
        for version in 2..=11 {
            publish(&platform, version, |settings| change(settings, version));
            sleep(Duration::from_millis(400)).await;
        }
        wait_for_version(&daemon, 11).await;
    };
    let (streams, plain, staged, slow_body, ()) =
        tokio::join!(streams, plain, staged, slow_body, changes);
    let events = (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
    let events = Some((200, true, events.collect::<String>()));
    assert_eq!(streams.0, events, "a stream that may be resumed");
    assert_eq!(streams.1, events, "a stream that may not be resumed");
    let plain = plain.map(|(status, is_complete, _)| (status, is_complete));
    assert_eq!(plain, Some((200, true)));
    assert!(slow_body.starts_with("HTTP/1.1 200"), "{slow_body}");
    assert_eq!(staged, events, "a stream whose stages ran");
}

/// Guards against stages that end with the entry of their service in the settings.
#[tokio::test]
async fn stages_that_run_as_their_services_leave_the_settings_complete() {
    for service in ["first", "second"] {
        let (platform, daemon) = start_one().await;
        for target in platform.first.iter().chain(&platform.second) {
            target.queue_modes(&[Mode::Delayed(300)]);
        }
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        let change = async {
            wait_until("a stage runs", || {
                let targets = platform.first.iter();
                targets.map(|target| target.received().len()).sum::<usize>() > 0
            })
            .await;
            publish(&platform, 2, |settings| {
                settings["routes"] = json!([]);
                let services = settings["services"].as_array_mut().expect("services");
                services.retain(|entry| entry["name"] != service);
            });
        };
        let (answer, ()) = tokio::join!(client.send(client_address(&daemon)), change);
        let answer = answer.map(|answer| (answer.status, answer.is_complete));
        assert_eq!(answer, Some((200, true)), "{service}");
    }
}

/// Guards against streams that end with the entry of their target.
#[tokio::test]
async fn a_paused_stream_whose_target_leaves_goes_on() {
    for change in ["removed", "draining", "lapsed"] {
        let (platform, daemon) = start_one().await;
        let (engine, key) = (&platform.engines[0], "servers/engine-1");
        platform.store.remove("servers/engine-2");
        wait_until("one engine is left", || {
            daemon.context().state().listed_count() == 7
        })
        .await;
        engine.queue_modes(&[Mode::PauseBefore(3, 1_900); 2]);
        let answers = ["/resume/", "/stream/"].map(|path| {
            let client = ClientRequest::new(path).with_stage_pieces("");
            let address = client_address(&daemon);
            async move { client.send(address).await }
        });
        let leave = async {
            sleep(Duration::from_millis(300)).await;
            match change {
                "removed" => platform.store.remove(key),
                "draining" => platform.list_target(engine, "engine", "draining"),
                _ => {
                    platform.store.set_mode(store::Mode::Unresponsive);
                    sleep(Duration::from_millis(1_100)).await;
                    platform.store.remove(key);
                    platform.store.set_mode(store::Mode::Normal);
                }
            }
        };
        let (answers, ()) = tokio::join!(futures::future::join_all(answers), leave);
        for answer in answers {
            let answer = answer.map(|answer| (answer.status, answer.is_complete));
            assert_eq!(answer, Some((200, true)), "{change}");
        }
    }
}

/// Guards against connections that are closed under clients which know the former limit.
#[tokio::test]
async fn a_lowered_idle_timeout_holds_for_what_becomes_idle_after_it() {
    let (platform, daemon) = start_one().await;
    let limits = |idle_ms: u64| json!({"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 500, "idle_timeout_ms": idle_ms});
    publish(&platform, 2, |settings| settings["limits"] = limits(2_000));
    wait_for_version(&daemon, 2).await;
    let mut connection = HttpConnection::open(client_address(&daemon), Duration::from_secs(1))
        .await
        .expect("the daemon listens");
    let opened = Instant::now();
    let at = |ms| sleep_until(opened + Duration::from_millis(ms));
    let mut served = Vec::new();
    for (begin_ms, idle_ms) in [(0, 2_000), (1_300, 600), (2_800, 600)] {
        at(begin_ms).await;
        let answer = ClientRequest::new("/read/").send_on(&mut connection).await;
        served.push(answer.map(|answer| answer.status));
        let version = 3 + begin_ms;
        publish(&platform, version, |settings| {
            settings["limits"] = limits(idle_ms);
        });
        wait_for_version(&daemon, version).await;
    }
    assert_eq!(served, [Some(200); 3]);
}

/// Starts a server that answers each request with [`LARGE_ANSWER_BYTES`], and a client that
/// has sent one and read nothing.
async fn start_large_answer(daemon: &Daemon) -> (Arc<HttpServer>, TcpStream) {
    let server = Arc::new(HttpServer::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (serving, context) = (server.clone(), daemon.context().clone());
    tokio::spawn(async move {
        let body = Bytes::from(vec![b'x'; LARGE_ANSWER_BYTES]);
        let answer = move |_| {
            let body = body.clone();
            async move { Response::new(full_body(body)) }
        };
        serving.serve(context, listener, answer).await;
    });
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 << 10).expect("a socket");
    let mut stream = socket.connect(address).await.expect("it listens");
    let head = b"GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
    stream.write_all(head).await.expect("it reads");
    (server, stream)
}

/// Reads an answer to the end of its connection; returns the size of its body.
async fn read_to_end(mut stream: TcpStream) -> usize {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    head.map_or(0, |head| answer.len() - head - 4)
}

/// Guards against a limit on unacknowledged bytes that ends the answer to a slow reader.
#[tokio::test]
async fn a_client_that_reads_nothing_for_seconds_gets_its_whole_answer() {
    let (_platform, daemon) = start_one().await;
    let (_server, stream) = start_large_answer(&daemon).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(read_to_end(stream).await, LARGE_ANSWER_BYTES);
}

/// Guards against a shutdown that takes an answer as complete once its last byte is ready.
#[tokio::test]
async fn a_request_ends_with_the_last_byte_that_is_sent() {
    let (_platform, daemon) = start_one().await;
    let (server, stream) = start_large_answer(&daemon).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(server.requests(), 1);
    server.drain();
    assert_eq!(read_to_end(stream).await, LARGE_ANSWER_BYTES);
    wait_until("the request has ended", || server.requests() == 0).await;
}
