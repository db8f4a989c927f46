//! Clients that open streams and take them up again, as the pages say.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::ClientRequest;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a client waits for a new channel.
const CONNECT: Duration = Duration::from_secs(1);
/// The pause before the second try if the system names none; it doubles with each try.
const PAUSE: Duration = Duration::from_millis(500);
/// How often a client tries at most.
const TRIES_MAX: usize = 6;

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    pub daemon: SocketAddr,
    pub id: String,
    pub sent: Instant,
    /// The event after which it takes its stream up again.
    pub after: Option<u64>,
    pub status: u16,
    pub is_complete: bool,
    /// The events: number, engine, version.
    pub events: Vec<(u64, String, String)>,
}

/// A stream over all tries of its client.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub prompt: String,
    pub tries: Vec<Try>,
}

impl Stream {
    /// Returns the versions of the engines whose events the client holds.
    pub fn versions(&self) -> BTreeSet<String> {
        let events = self.tries.iter().flat_map(|one| &one.events);
        events.map(|(_, _, version)| version.clone()).collect()
    }

    /// Returns the engine of the first event.
    pub fn first_engine(&self) -> Option<(String, String)> {
        let first = self.tries.iter().flat_map(|one| &one.events).next()?;
        Some((first.1.clone(), first.2.clone()))
    }
}

/// Reads the events of a body.
fn events(body: &str) -> Vec<(u64, String, String)> {
    let mut all = Vec::new();
    for block in body.split("\n\n") {
        let Some((id, data)) = block
            .strip_prefix("id: ")
            .and_then(|rest| rest.split_once("\ndata: event "))
        else {
            continue;
        };
        let words: Vec<&str> = data.split(' ').collect();
        if let (Ok(id), [_, engine, version]) = (id.parse(), words.as_slice()) {
            all.push((id, (*engine).to_owned(), (*version).to_owned()));
        }
    }
    all
}

/// Opens a stream and takes it up again, each time at the next daemon, until it is complete
/// or its deadline has passed.
pub async fn run(
    daemons: &[SocketAddr],
    first: usize,
    path: &str,
    prompt: &str,
    deadline: Duration,
) -> Stream {
    let begun = Instant::now();
    let mut stream = Stream {
        prompt: prompt.to_owned(),
        tries: Vec::new(),
    };
    let mut began: Option<String> = None;
    let mut last = 0;
    let mut number = first;
    let mut pause = PAUSE;
    while begun.elapsed() < deadline && stream.tries.len() < TRIES_MAX {
        let left = deadline - begun.elapsed();
        let daemon = daemons[number % daemons.len()];
        number += 1;
        let mut request = ClientRequest::new(path)
            .with("Model", "m")
            .with("Deadline-Ms", &left.as_millis().to_string())
            .body(&format!("{prompt} {}", begun.elapsed().as_nanos()))
            // Four times the objective of the routes.
            .with_gap_limit(Duration::from_millis(8_000));
        if !prompt.is_empty() {
            request = request
                .with("Token-Counts", "200,400")
                .with("Prompt-Prefix", prompt);
        }
        let id = request.attempt.clone();
        let after = began.is_some().then_some(last);
        if let Some(began) = &began {
            request = request
                .with("Last-Event-Id", &last.to_string())
                .with("Resumes", began);
        }
        let sent = Instant::now();
        let sending = async {
            let mut channel = HttpConnection::open(daemon, CONNECT).await.ok()?;
            request.send_on(&mut channel).await
        };
        let answer = timeout(left, sending).await.ok().flatten();
        let retry_after = answer
            .as_ref()
            .and_then(|answer| answer.header("Retry-After").parse::<f64>().ok());
        let mut one = Try {
            daemon,
            id: id.clone(),
            sent,
            after,
            status: 0,
            is_complete: false,
            events: Vec::new(),
        };
        if let Some(answer) = answer {
            one.status = answer.status;
            one.is_complete = answer.is_complete;
            if answer.status == 200 {
                one.events = events(&answer.body);
            }
        }
        if let Some((event, _, _)) = one.events.last() {
            last = *event;
            began.get_or_insert(id);
        }
        let is_over = one.status == 200 && one.is_complete;
        stream.tries.push(one);
        if is_over {
            break;
        }
        // A client honours what it is told, up to a third of the time that it has left.
        let third = (deadline.saturating_sub(begun.elapsed())) / 3;
        let told = retry_after.map(|seconds| Duration::from_secs_f64(seconds).min(third));
        sleep(told.unwrap_or(pause)).await;
        pause *= 2;
    }
    stream
}
