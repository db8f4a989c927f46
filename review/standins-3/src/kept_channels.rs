//! The settings allow larger heads of requests while clients keep their channels.

use std::fmt::Write as _;
use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use tokio::time::sleep;

use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;

/// How many channels each client group keeps.
const CHANNELS: usize = 24;
/// The largest head before and after the change.
const HEADER_BYTES: [u32; 2] = [8_192, 32_768];
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);

/// Returns a request whose prompt has this number of parts.
fn request(parts: usize) -> ClientRequest {
    let prefix: Vec<String> = (0..parts)
        .map(|part| format!("5c1e07a2{part:04x}:8"))
        .collect();
    ClientRequest::new("/chat/1")
        .with("Model", "m")
        .with("Token-Counts", &format!("{},40", 8 * parts))
        .with("Prompt-Prefix", &prefix.join(","))
        .with("Deadline-Ms", "15000")
        .body(&format!("prompt of {parts}"))
}

fn record(
    text: &mut String,
    start: Instant,
    what: &str,
    request: &ClientRequest,
    answer: Option<&Answer>,
) {
    let status = answer.map_or(0, |answer| answer.status);
    let is_complete = answer.is_some_and(|answer| answer.is_complete);
    writeln!(
        text,
        "{:6} ms {what}: {} status {status}, complete {is_complete}",
        start.elapsed().as_millis(),
        request.attempt
    )
    .ok();
}

/// DENIED: more than 5 + one in 500 of all requests are ended with a 4xx of the system's own
/// though they are proper and each configuration that may be in force allows them.
pub async fn larger_heads(trouble: bool, text: &mut String) -> Outcome {
    let start = Instant::now();
    let first = if trouble {
        HEADER_BYTES[0]
    } else {
        HEADER_BYTES[1]
    };
    let site = Site::start(&settings(1, first), 5, Duration::from_millis(20)).await?;
    let fronts = site.fronts();
    let mut channels = Vec::new();
    let (mut all, mut denied) = (0, 0);
    for number in 0..CHANNELS {
        let front = fronts[number % fronts.len()];
        let mut channel = HttpConnection::open(front, Duration::from_secs(1)).await?;
        let request = request(4);
        let answer = request.send_on(&mut channel).await;
        record(
            text,
            start,
            "small request on a new channel",
            &request,
            answer.as_ref(),
        );
        all += 1;
        channels.push(channel);
    }
    if trouble {
        site.store.put("op/config", &settings(2, HEADER_BYTES[1]));
        let at = start.elapsed().as_millis();
        writeln!(
            text,
            "{at:6} ms the store has acknowledged version 2 of the settings"
        )?;
    }
    sleep(APPLY * 2).await;
    // Some 29,000 bytes of head.
    for number in 0..CHANNELS {
        let request = request(1_900);
        let mut channel =
            HttpConnection::open(fronts[number % fronts.len()], Duration::from_secs(1)).await?;
        let answer = request.send_on(&mut channel).await;
        record(
            text,
            start,
            "large request on a new channel",
            &request,
            answer.as_ref(),
        );
        all += 1;
        denied += usize::from(answer.is_some_and(|answer| (400..500).contains(&answer.status)));
    }
    let denied_new = denied;
    for channel in &mut channels {
        let request = request(1_900);
        let answer = request.send_on(channel).await;
        record(
            text,
            start,
            "large request on a kept channel",
            &request,
            answer.as_ref(),
        );
        all += 1;
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        denied += usize::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    site.record_runs(text);
    writeln!(
        text,
        "{all} requests; {denied} proper ones were ended with a 4xx, {denied_new} of them on new channels \
         (DENIED allows {})",
        5 + all / 500
    )?;
    Ok(denied > 5 + all / 500)
}
