//! All daemons are killed at the same time while engines of two software versions serve.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;
use crate::streams;
use crate::streams::Stream;

/// From when on after its start a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_secs(15);

pub fn record(text: &mut String, start: Instant, streams: &[Stream]) {
    for stream in streams {
        writeln!(text, "stream with the prompt {}", stream.prompt).ok();
        for one in &stream.tries {
            let ends = [one.events.first(), one.events.last()].map(|event| {
                event.map(|(id, engine, version)| format!("{id} of {engine} {version}"))
            });
            writeln!(
                text,
                "  {:6} ms {} at {} after {:?}: status {}, complete {}, events {} to {}",
                (one.sent - start).as_millis(),
                one.id,
                one.daemon,
                one.after,
                one.status,
                one.is_complete,
                ends[0].as_deref().unwrap_or("-"),
                ends[1].as_deref().unwrap_or("-"),
            )
            .ok();
        }
    }
}

/// Sends a request with each prompt, 20 ms after one another.
pub async fn all(
    fronts: &[SocketAddr],
    path: &'static str,
    prompts: &[String],
    shift: usize,
) -> Vec<Stream> {
    let mut set = tokio::task::JoinSet::new();
    for (number, prompt) in prompts.iter().enumerate() {
        let (fronts, prompt) = (fronts.to_vec(), prompt.clone());
        set.spawn(async move {
            sleep(Duration::from_millis(20 * number as u64)).await;
            (
                number,
                streams::run(&fronts, number + shift, path, &prompt, DEADLINE).await,
            )
        });
    }
    let mut streams: Vec<(usize, Stream)> = set.join_all().await;
    streams.sort_by_key(|(number, _)| *number);
    streams.into_iter().map(|(_, stream)| stream).collect()
}

/// Each session asks for a summary, which is answered, and then chats. Both kinds of request
/// have a first part of their own, and the session's part is the last one. All daemons are
/// killed while the second answers are written.
/// ORDER: more than two streams hold events of two software versions.
pub async fn sessions(trouble: bool, text: &mut String) -> Outcome {
    const SESSIONS: usize = 24;
    let start = Instant::now();
    let mut site = Site::start(&settings(1, 16_384), 40, Duration::from_millis(100)).await?;
    let fronts = site.fronts();
    let prompt = |first: &str, one: usize| format!("{first}{:x}:120,91bd3f{one:02x}:80", one % 8);
    let summaries: Vec<String> = (0..SESSIONS).map(|one| prompt("5c1e07a", one)).collect();
    let chats: Vec<String> = (0..SESSIONS).map(|one| prompt("e4402b7", one)).collect();
    let first = all(&fronts, "/summary/1", &summaries, 0).await;
    writeln!(text, "first answers")?;
    record(text, start, &first);
    let second = {
        let fronts = fronts.clone();
        tokio::spawn(async move { all(&fronts, "/chat/1", &chats, 1).await })
    };
    sleep(Duration::from_millis(2_500)).await;
    if trouble {
        writeln!(
            text,
            "{:6} ms all daemons are killed",
            start.elapsed().as_millis()
        )?;
        site.lose_all().await?;
        writeln!(
            text,
            "{:6} ms all daemons are started",
            start.elapsed().as_millis()
        )?;
    }
    let second = second.await?;
    writeln!(text, "second answers")?;
    record(text, start, &second);
    site.record_runs(text);
    let version = |stream: &Stream| stream.first_engine().map(|(_, version)| version);
    let moved = first
        .iter()
        .zip(&second)
        .filter(|(a, b)| version(a) != version(b));
    let went_on = second.iter().filter(|stream| {
        let mut tries = stream.tries.iter();
        tries.any(|one| one.after.is_some() && !one.events.is_empty())
    });
    let joined = first
        .iter()
        .chain(&second)
        .filter(|stream| stream.versions().len() > 1);
    let joined = joined.count();
    writeln!(
        text,
        "{} of {SESSIONS} second answers began at another version than the first; {} second \
         answers went on after a break; {joined} streams hold events of two software versions \
         (ORDER allows 2)",
        moved.count(),
        went_on.count(),
    )?;
    Ok(joined > 2)
}

/// Streams with prompts of their own are lost with all daemons.
/// LOST: of 12 or more streams that are taken up again at machines in touch, the share that
/// goes on is under half of the share of new streams that begin.
pub async fn prompts(trouble: bool, text: &mut String) -> Outcome {
    const STREAMS: usize = 36;
    let start = Instant::now();
    let mut site = Site::start(&settings(1, 16_384), 120, Duration::from_millis(100)).await?;
    let fronts = site.fronts();
    let prompts: Vec<String> = (0..STREAMS)
        .map(|one| format!("5c1e07a{:x}:120,91bd3f{one:02x}:80", one % 8))
        .collect();
    let lost = {
        let fronts = fronts.clone();
        tokio::spawn(async move { all(&fronts, "/chat/1", &prompts, 0).await })
    };
    sleep(Duration::from_millis(3_000)).await;
    if trouble {
        writeln!(
            text,
            "{:6} ms all daemons are killed",
            start.elapsed().as_millis()
        )
        .ok();
        site.lose_all().await?;
        writeln!(
            text,
            "{:6} ms all daemons are started",
            start.elapsed().as_millis()
        )
        .ok();
    }
    sleep(CONTACT + Duration::from_millis(200)).await;
    let in_touch: Vec<Instant> = site
        .daemons
        .iter()
        .map(|one| one.started + CONTACT)
        .collect();
    let fresh: Vec<String> = (0..24)
        .map(|one| format!("5c1e07a{:x}:120,77aa{one:02x}:80", one % 8))
        .collect();
    let new = {
        let fronts = fronts.clone();
        tokio::spawn(async move { all(&fronts, "/chat/1", &fresh, 0).await })
    };
    let lost = lost.await?;
    let new = new.await?;
    writeln!(text, "streams that were lost").ok();
    record(text, start, &lost);
    writeln!(text, "new streams").ok();
    record(text, start, &new);
    site.record_runs(text);
    let is_in_touch = |daemon: SocketAddr, sent: Instant| {
        let index = fronts.iter().position(|front| *front == daemon);
        index.is_some_and(|index| sent >= in_touch[index])
    };
    let taken_up: Vec<&Stream> = lost
        .iter()
        .filter(|stream| {
            stream
                .tries
                .iter()
                .any(|one| one.after.is_some() && is_in_touch(one.daemon, one.sent))
        })
        .collect();
    let went_on = taken_up.iter().filter(|stream| {
        let mut tries = stream.tries.iter();
        tries.any(|one| {
            one.after.is_some() && !one.events.is_empty() && is_in_touch(one.daemon, one.sent)
        })
    });
    let went_on = went_on.count();
    let began = new.iter().filter(|stream| {
        stream
            .tries
            .first()
            .is_some_and(|one| !one.events.is_empty())
    });
    let began = began.count();
    writeln!(
        text,
        "{} of the lost streams were taken up at machines in touch, and {went_on} of these went \
         on; {began} of {} new streams began",
        taken_up.len(),
        new.len(),
    )?;
    let is_broken = taken_up.len() >= 12 && 2 * went_on * new.len() < began * taken_up.len();
    Ok(is_broken)
}
