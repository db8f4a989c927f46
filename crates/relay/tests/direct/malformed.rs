//! Malformed messages of targets, clients, the store and peers: the daemon serves on.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_relay::daemon::Daemon;
use gooseberry_relay::daemon::run_again_after_panics;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::start_one;
use crate::platform::wait_until;

/// Values that headers with numbers may have, but should not.
const VALUES: [&str; 12] = [
    "",
    "-1",
    "0",
    "x",
    "1e300",
    "NaN",
    ",",
    "18446744073709551615",
    "99999999999999999999999",
    "4294967295,4294967295,4294967295",
    "4294967295,1,0",
    "timeout=99999999999999999999",
];

/// Checks that requests of all kinds are served.
async fn check_serves(daemon: &Daemon, after: &str) {
    for path in ["/read/", "/once/"] {
        let answer = answer_to(&ClientRequest::new(path), daemon).await;
        assert_eq!(answer.status, 200, "{path} after {after}: {answer:?}");
    }
    let client = ClientRequest::new("/staged/").with_stage_pieces("2,1");
    let answer = answer_to(&client, daemon).await;
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "staged after {after}: {answer:?}"
    );
}

#[tokio::test]
async fn a_daemon_serves_on_after_malformed_headers_of_targets() {
    let names = ["Server-Load", "Keep-Alive", "Cold-Ms", "Server-Brittle"];
    let (platform, daemon) = start_one().await;
    let all = [
        &platform.plain,
        &platform.engines,
        &platform.first,
        &platform.second,
    ];
    for name in names {
        for value in VALUES {
            for target in all.into_iter().flatten() {
                target.add_headers(&[(name, value)]);
            }
            check_serves(&daemon, &format!("{name}: {value}")).await;
        }
    }
}

#[tokio::test]
async fn a_daemon_serves_on_after_malformed_headers_of_clients() {
    let (_platform, daemon) = start_one().await;
    let names = [
        "Deadline-Ms",
        "Pieces",
        "Piece-Key",
        "Token-Counts",
        "Prompt-Prefix",
        "Last-Event-Id",
        "Resumes-Attempt",
        "Content-Length",
        "Host",
    ];
    for name in names {
        for value in VALUES {
            for path in ["/once/", "/staged/", "/resume/"] {
                let client = ClientRequest::new(path).with_stage_pieces("1,1");
                let client = client.with("Deadline-Ms", "300").with(name, value);
                let sending = client.send(client_address(&daemon));
                let answer = timeout(Duration::from_secs(9), sending).await;
                assert!(answer.is_ok(), "no end for {name}: {value}");
            }
        }
    }
    check_serves(&daemon, "malformed requests").await;
}

#[tokio::test]
async fn a_daemon_serves_on_with_malformed_entries_of_the_store() {
    let (platform, daemon) = start_one().await;
    let nested = "[".repeat(100_000);
    let entry = platform.plain[0].entry("plain", "z-1", "ready");
    let fields = [
        "bytes",
        "call_ms",
        "item_ms",
        "headroom_mb",
        "handle_s",
        "batch",
        "target_latency_ms",
        "target_gap_ms",
        "timeout_ms",
        "kv_capacity",
        "max_attempts",
    ];
    let numbers = ["1e300", "-1", "4294967295", "1e15", "\"x\"", "null"];
    let mut version = 1;
    for number in numbers {
        let cold = format!("\"cold_left_ms\":{number}");
        let odd = entry.replace("\"cold_left_ms\":0", &cold);
        platform.store.put("servers/odd", &odd);
        platform.store.remove("servers/odd");
        for field in fields {
            version += 1;
            let versioned = format!("\"version\": {version}");
            let settings = SETTINGS.replacen("\"version\": 1", &versioned, 1);
            let parts = settings.split_once(&format!("\"{field}\": "));
            let (before, rest) = parts.expect("the settings have the field");
            let rest = rest.trim_start_matches(|letter: char| letter.is_ascii_digit());
            let settings = format!("{before}\"{field}\": {number}{rest}");
            platform.store.put("op/config", &settings);
            sleep(Duration::from_millis(150)).await;
            let sending = ["/read/", "/staged/", "/long/"].map(async |path| {
                let client = ClientRequest::new(path).with_stage_pieces("2,1");
                let client = client.with("Deadline-Ms", "300");
                let sending = client.send(client_address(&daemon));
                let answer = timeout(Duration::from_secs(9), sending).await;
                let answer = answer.unwrap_or_default();
                assert!(answer.is_some(), "no answer for {field} {number} at {path}");
            });
            futures::future::join_all(sending).await;
        }
    }
    for text in [
        "",
        "{",
        nested.as_str(),
        "{\"version\": 99999999}",
        "\u{fffd}",
    ] {
        for key in [
            "op/config",
            "servers/odd",
            "servers/",
            "op/evacuate/",
            "servers/\u{1f}",
        ] {
            platform.store.put(key, text);
        }
    }
    platform.store.remove("op/evacuate/");
    let settings = SETTINGS.replacen("\"version\": 1", "\"version\": 100000", 1);
    platform.store.put("op/config", &settings);
    wait_until("the daemon has the last settings", || {
        let state = daemon.context().state();
        state
            .routing_table()
            .is_some_and(|table| table.version == 100_000)
    })
    .await;
    check_serves(&daemon, "malformed entries").await;
}

#[tokio::test]
async fn a_daemon_serves_on_after_malformed_messages_of_peers() {
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
    let peer = daemon.context().boot.peer_address;
    let detour = daemon.context().boot.detour_address.expect("it is set");
    // The beginning of a call with the longest deadline that can be written, for which the
    // RPC library panics.
    let far_deadline = [&[0, 0, 0, 12, 0, 253][..], &[255; 8], &[0; 2]].concat();
    let messages: Vec<Vec<u8>> = vec![
        vec![0; 64],
        vec![255; 64],
        [&[0, 0, 0, 9][..], &[253], &[255; 8]].concat(),
        far_deadline,
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        (0..=255).cycle().take(100_000).collect(),
    ];
    for message in &messages {
        for address in [peer, detour] {
            let mut stream = TcpStream::connect(address).await.expect("it listens");
            stream.write_all(message).await.ok();
            stream.shutdown().await.ok();
        }
    }
    for call in ["", "{}", "[[[[", "{\"attempt\": 1}"] {
        let client = ClientRequest::new("/read/").with("gooseberry-detour-call", call);
        let answer = client.send(detour).await.expect("an answer");
        assert_eq!(answer.status, 503, "{call}");
    }
    let second = platform.daemon(2, &[peer]).await;
    wait_until("the daemons know each other", || {
        [&daemon, &second].into_iter().all(|daemon| {
            let now = daemon.context().now();
            daemon.context().state().members().live(now).len() == 2
        })
    })
    .await;
    check_serves(&daemon, "malformed messages").await;
}

/// A task that ends for good at a panic would leave a daemon that no longer reads the
/// store, or that no longer greets its peers.
#[tokio::test]
async fn a_periodic_task_runs_again_after_a_panic() {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = runs.clone();
    let task = move || {
        let run = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(run >= 2, "the panic of run {run}");
        }
    };
    let running = run_again_after_panics("test", task);
    timeout(Duration::from_secs(5), running)
        .await
        .expect("it ends without a panic");
    assert_eq!(runs.load(Ordering::Relaxed), 3);
}
