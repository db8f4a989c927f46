//! Tests the memory of a daemon, in a process without other tests.

#[path = "../direct/endless_targets.rs"]
#[allow(dead_code)]
mod endless_targets;
#[path = "../direct/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::endless_targets::BODY_WITHOUT_END;
use crate::endless_targets::CHUNK_SIZE_WITHOUT_END;
use crate::endless_targets::COMMENTS_AFTER_AN_EVENT;
use crate::endless_targets::COMMENTS_WITHOUT_END;
use crate::endless_targets::ERROR_WITHOUT_END;
use crate::endless_targets::endless;
use crate::endless_targets::held_event;
use crate::endless_targets::replace_large;
use crate::endless_targets::sound_answer;
use crate::endless_targets::success;
use crate::platform::TestPlatform;
use crate::platform::client_address;

/// The memory of an instance.
const INSTANCE_BYTES: usize = 260 << 20;
/// Held by the test that runs, since the memory is that of the process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Returns the memory that this process has resident, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("it is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("the line has a number") << 10
}

/// Polls until all tasks have ended; returns how much more memory was resident then.
async fn peak_growth<T>(tasks: &[tokio::task::JoinHandle<T>], before: usize) -> usize {
    let mut most = 0;
    while !tasks.iter().all(tokio::task::JoinHandle::is_finished) {
        most = most.max(resident_bytes().saturating_sub(before));
        sleep(Duration::from_millis(10)).await;
    }
    most
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_without_end_do_not_exhaust_the_memory_of_an_instance() {
    let _one = ONE_AT_A_TIME.lock().await;
    for bytes in [
        ERROR_WITHOUT_END,
        BODY_WITHOUT_END,
        COMMENTS_WITHOUT_END,
        COMMENTS_AFTER_AN_EVENT,
        CHUNK_SIZE_WITHOUT_END,
        held_event(60 << 10),
        held_event(900 << 10),
    ] {
        let platform = TestPlatform::start().await;
        let mut targets = Vec::new();
        for name in ["engine-1", "engine-2"] {
            targets.push(replace_large(&platform, name, "engine", bytes).await);
        }
        let daemon = platform.daemon(1, &[]).await;
        let before = resident_bytes();
        let address = client_address(&daemon);
        let requests = (0..200).map(|number| {
            let request = ClientRequest::new("/stream/").with("Model", "m");
            let request = request.body(&format!("{number}"));
            tokio::spawn(async move {
                sleep(Duration::from_millis(5 * number)).await;
                request.send(address).await
            })
        });
        let requests: Vec<_> = requests.collect();
        let most = peak_growth(&requests, before).await;
        println!("{} MB for {:.150?}", most >> 20, bytes.first.get(..90));
        println!(
            "sent {}",
            targets.iter().map(|t| t.sent().len()).sum::<usize>()
        );
        assert!(most < INSTANCE_BYTES, "{} MB for {bytes:?}", most >> 20);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_clients_do_not_read_do_not_exhaust_the_memory_of_an_instance() {
    let _one = ONE_AT_A_TIME.lock().await;
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let events = endless(success("", &event), event.leak());
    for (path, service, bytes) in [
        ("/read/", "plain", sound_answer(7 << 20)),
        ("/stream/", "engine", events),
    ] {
        let platform = TestPlatform::start().await;
        for number in 1..=2 {
            replace_large(&platform, &format!("{service}-{number}"), service, bytes).await;
        }
        let daemon = platform.daemon(1, &[]).await;
        let before = resident_bytes();
        let address = client_address(&daemon);
        let clients = (0..200).map(|number| {
            tokio::spawn(async move {
                sleep(Duration::from_millis(15 * number)).await;
                let mut stream = TcpStream::connect(address).await.expect("it listens");
                let head = format!(
                    "POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: unread-{number}\r\n\
                     Deadline-Ms: 5000\r\nX-Api-Key: key-1\r\nModel: m\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.expect("it reads");
                sleep(Duration::from_millis(15 * (300 - number))).await;
            })
        });
        let clients: Vec<_> = clients.collect();
        let most = peak_growth(&clients, before).await;
        assert!(most < INSTANCE_BYTES, "{} MB at {path}", most >> 20);
    }
}
