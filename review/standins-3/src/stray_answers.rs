//! A server of a service sends additional bytes after some of its answers.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::scripted::ScriptedRequest;
use gooseberry_platform_standin::scripted::ScriptedTarget;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;

/// The faulty server adds bytes to one in this number of its answers.
const ONE_IN: usize = 50;
const CLIENTS: usize = 18;
const REQUESTS_PER_CLIENT: usize = 40;
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(30);
/// What the example of the pages shows of a server that sheds.
const STRAY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Returns the answer to a request.
fn answer(name: &str, request: &ScriptedRequest) -> String {
    let attempt = request.header("Attempt-Id");
    if request.header("Expect-Instance") != name {
        return format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {name}\r\n\
             Content-Length: 0\r\n\r\n"
        );
    }
    let body = format!("{name} ran {attempt}");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{name}\r\n\
         Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a server; `is_faulty` says whether it adds bytes. They come late, where the answer
/// to the next request on the channel is expected.
pub async fn server(name: &'static str, work: Duration, is_faulty: bool) -> ScriptedTarget {
    let answers = Arc::new(AtomicUsize::new(0));
    ScriptedTarget::start_working(name, work, move |requests: &[ScriptedRequest]| {
        let Some(request) = requests.last() else {
            return (String::new(), String::new());
        };
        let number = answers.fetch_add(1, Ordering::Relaxed);
        let has_earlier = requests.len() > 1;
        let is_stray = is_faulty && has_earlier && number % ONE_IN == ONE_IN - 1;
        let before = if is_stray { STRAY } else { "" };
        (before.to_owned(), answer(name, request))
    })
    .await
}

/// TWICE: a request that isn't idempotent runs more than once.
pub async fn bookings(trouble: bool, text: &mut String) -> Outcome {
    let start = Instant::now();
    let site = Site::start(&settings(1, 16_384), 5, Duration::from_millis(20)).await?;
    let servers = [
        server("l-0", WORK, trouble).await,
        server("l-1", WORK, false).await,
    ];
    for (number, server) in servers.iter().enumerate() {
        let entry = server.entry("ledger", &format!("z-{}", number + 1));
        let entry = entry.replacen('{', "{\"born\": 1790000000000, ", 1);
        site.store.put(&format!("servers/{}", server.name), &entry);
    }
    sleep(Duration::from_secs(1)).await;
    let fronts = site.fronts();
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let front = fronts[client % fronts.len()];
        clients.spawn(async move {
            let mut answers = Vec::new();
            let mut channel: Option<HttpConnection> = None;
            for number in 0..REQUESTS_PER_CLIENT {
                sleep(Duration::from_millis(60)).await;
                if channel.as_ref().is_none_or(HttpConnection::is_closed) {
                    channel = HttpConnection::open(front, Duration::from_secs(1))
                        .await
                        .ok();
                }
                let Some(open) = channel.as_mut() else {
                    continue;
                };
                let request = ClientRequest::new("/book/1")
                    .with("Deadline-Ms", "2500")
                    .body(&format!("booking {client} {number}"));
                let sent = start.elapsed().as_millis();
                let answer = request.send_on(open).await;
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                let seal = answer
                    .as_ref()
                    .map(|answer| answer.header("Response-Seal").to_owned());
                if answer.is_none() {
                    channel = None;
                }
                answers.push((sent, request.attempt, status, seal.unwrap_or_default()));
            }
            answers
        });
    }
    let answers: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
    sleep(Duration::from_millis(300)).await;
    let runs = |attempt: &str| {
        let ran = servers.iter().flat_map(|server| {
            let received = server.received().into_iter();
            let own = received.filter(|request| {
                request.header("Attempt-Id") == attempt
                    && request.header("Expect-Instance") == server.name
            });
            own.map(|_| server.name.clone()).collect::<Vec<_>>()
        });
        ran.collect::<Vec<String>>()
    };
    let (mut twice, mut refused) = (0, 0);
    for (sent, attempt, status, seal) in &answers {
        let ran = runs(attempt);
        let is_refused = [408, 421, 429, 503].contains(status) && !ran.is_empty();
        twice += usize::from(ran.len() > 1);
        refused += usize::from(is_refused);
        let mark = if ran.len() > 1 { " TWICE" } else { "" };
        writeln!(
            text,
            "{sent:6} ms {attempt}: status {status} {seal}, ran at {}{mark}",
            ran.join(" ")
        )?;
    }
    let ran: Vec<usize> = servers
        .iter()
        .map(|server| server.received().len())
        .collect();
    writeln!(
        text,
        "{} bookings, {ran:?} requests at the servers; {twice} bookings ran more than once, and \
         {refused} were refused with a promise and ran",
        answers.len()
    )?;
    Ok(twice > 0)
}
