//! The platform's store moves to another address, which the settings files name.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::store::Store;
use tokio::time::sleep;

use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;

/// How many requests are sent with each key.
const REQUESTS: usize = 12;
/// `config_apply_ms` and `outer_bound_ms` together.
const APPLY: Duration = Duration::from_millis(7_000);
/// More than `contact_ms`.
const SETTLE: Duration = Duration::from_millis(8_000);

/// Sends requests with a key; returns how many were answered with each status.
async fn send(text: &mut String, start: Instant, fronts: &[SocketAddr], key: &str) -> [usize; 2] {
    let mut counts = [0, 0];
    for number in 0..REQUESTS {
        let request = ClientRequest::new("/chat/1")
            .with("Model", "m")
            .with("Token-Counts", "16,40")
            .with("Prompt-Prefix", "5c1e07a2:8,91bd3f06:8")
            .with("X-Api-Key", key)
            .body(&format!("{key} {number}"));
        let at = start.elapsed().as_millis();
        let answer = request.send(fronts[number % fronts.len()]).await;
        let status = answer.map_or(0, |answer| answer.status);
        writeln!(
            text,
            "{at:6} ms {} with {key}: status {status}",
            request.attempt
        )
        .ok();
        counts[0] += usize::from(status == 200);
        counts[1] += usize::from(status == 401);
    }
    counts
}

/// CONFIG: a request that is sent later than `config_apply_ms` after the ack of a version is
/// handled as only an older version allows.
pub async fn store_moves(trouble: bool, text: &mut String) -> Outcome {
    let start = Instant::now();
    let store = Store::start().await;
    let ip = [127, 77, u8::try_from(std::process::id() % 200)? + 20, 9];
    let free = || std::net::TcpListener::bind((std::net::Ipv4Addr::from(ip), 0))?.local_addr();
    let (former, present) = (free()?, free()?);
    let gateway = Gateway::start(former, store.address)?;
    let _present = Gateway::start(present, store.address)?;
    let events = Duration::from_millis(20);
    let site = Site::start_with(store, former, &settings(1, 16_384), 5, events).await?;
    let fronts = site.fronts();
    let before = send(text, start, &fronts, "key-1").await;
    if before[0] != REQUESTS {
        return Err("requests were not served at the start".into());
    }
    if trouble {
        for daemon in &site.daemons {
            daemon.move_store(former, present)?;
        }
        gateway.set(Partition::Reset);
        let at = start.elapsed().as_millis();
        writeln!(
            text,
            "{at:6} ms the store is at another address; SIGHUP was sent to all"
        )?;
    }
    sleep(SETTLE).await;
    let next = settings(2, 16_384).replace("key-1", "key-2");
    site.store.put("op/config", &next);
    let at = start.elapsed().as_millis();
    writeln!(
        text,
        "{at:6} ms the store has acknowledged version 2: key-2 in place of key-1"
    )?;
    sleep(APPLY).await;
    let dropped = send(text, start, &fronts, "key-1").await;
    let added = send(text, start, &fronts, "key-2").await;
    site.record_runs(text);
    writeln!(
        text,
        "{} of {REQUESTS} requests with the dropped key ran, and {} of {REQUESTS} with the added \
         key were refused with 401",
        dropped[0], added[1]
    )?;
    Ok(dropped[0] > 0 || added[1] > 0)
}
