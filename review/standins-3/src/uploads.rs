//! Clients upload large bodies over slow links, while others keep channels. A process that
//! exceeds its memory is killed, as the platform does it.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::ClientRequest;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;
use crate::stray_answers::server;

/// How many uploads there are at once, as usual and in a burst of 2.25 times that.
const UPLOADS: [usize; 2] = [8, 18];
const UPLOAD_BYTES: usize = 3_500_000;
/// What a packet carries.
const PACKET_BYTES: usize = 1_400;
/// How long an upload takes: 5.6 Mbit/s.
const UPLOAD_TIME: Duration = Duration::from_millis(5_000);
/// `memory_mb`, in the larger reading of a megabyte.
const MEMORY_BYTES: u64 = 260 << 20;
const CLIENTS: usize = 12;
/// How long a server works on a booking.
const WORK: Duration = Duration::from_millis(800);

/// Uploads a body in packets; returns the beginning of the answer.
async fn upload(front: std::net::SocketAddr, number: usize) -> Option<String> {
    let mut channel = TcpStream::connect(front).await.ok()?;
    channel.set_nodelay(true).ok()?;
    let head = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: key-1\r\n\
         Attempt-Id: upload-{number}\r\nDeadline-Ms: 15000\r\nModel: m\r\nToken-Counts: 100,20\r\n\
         Prompt-Prefix: 5c1e07a2:50,91bd{number:04x}:50\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    channel.write_all(head.as_bytes()).await.ok()?;
    let packet = vec![b'x'; PACKET_BYTES];
    let begun = Instant::now();
    let mut sent = 0;
    while sent < UPLOAD_BYTES {
        let bytes = PACKET_BYTES.min(UPLOAD_BYTES - sent);
        channel.write_all(&packet[..bytes]).await.ok()?;
        sent += bytes;
        let due = UPLOAD_TIME * u32::try_from(sent / 100).ok()?
            / u32::try_from(UPLOAD_BYTES / 100).ok()?;
        sleep(due.saturating_sub(begun.elapsed())).await;
    }
    let mut answer = vec![0; 12];
    channel.read_exact(&mut answer).await.ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

/// LOST: a machine passes a request from a kept channel on to a sound server and closes that
/// channel without an answer, more than three times.
pub async fn memory(trouble: bool, text: &mut String) -> Outcome {
    let start = Instant::now();
    let site = Site::start(&settings(1, 16_384), 5, Duration::from_millis(20)).await?;
    let servers = [
        server("l-0", WORK, false).await,
        server("l-1", WORK, false).await,
    ];
    for (number, server) in servers.iter().enumerate() {
        let entry = server.entry("ledger", &format!("z-{}", number + 1));
        let entry = entry.replacen('{', "{\"born\": 1790000000000, ", 1);
        site.store.put(&format!("servers/{}", server.name), &entry);
    }
    sleep(Duration::from_secs(1)).await;
    let front = site.fronts()[0];
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let is_over = is_over.clone();
        clients.spawn(async move {
            let mut answers = Vec::new();
            let Ok(mut channel) = HttpConnection::open(front, Duration::from_secs(1)).await else {
                return answers;
            };
            sleep(Duration::from_millis(60 * client as u64)).await;
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let request = ClientRequest::new("/book/1")
                    .with("Deadline-Ms", "2500")
                    .body(&format!("booking {client} {number}"));
                let sent = start.elapsed().as_millis();
                let answer = request.send_on(&mut channel).await;
                let status = answer.as_ref().map(|answer| answer.status);
                answers.push((sent, request.attempt, status, number > 1));
                if answer.is_none() {
                    break;
                }
            }
            answers
        });
    }
    sleep(Duration::from_secs(2)).await;
    let uploads = UPLOADS[usize::from(trouble)];
    let at = start.elapsed().as_millis();
    writeln!(
        text,
        "{at:6} ms {uploads} uploads of {UPLOAD_BYTES} bytes begin"
    )?;
    let mut set = JoinSet::new();
    for number in 0..uploads {
        set.spawn(upload(front, number));
    }
    // The platform kills a process that exceeds its memory.
    let mut most = 0;
    let begun = Instant::now();
    while begun.elapsed() < UPLOAD_TIME + Duration::from_secs(2) {
        let bytes = site.daemons[0].memory_bytes();
        most = most.max(bytes);
        if bytes > MEMORY_BYTES {
            let at = start.elapsed().as_millis();
            writeln!(
                text,
                "{at:6} ms a daemon has {bytes} bytes in memory, of {MEMORY_BYTES}; it is killed"
            )?;
            site.daemons[0].signal(Signal::KILL);
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let answers: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
    for (number, answer) in set.join_all().await.into_iter().enumerate() {
        writeln!(
            text,
            "upload {number}: {}",
            answer.as_deref().unwrap_or("no answer")
        )?;
    }
    let mut lost = 0;
    for (sent, attempt, status, is_kept) in &answers {
        let ran = servers.iter().filter(|server| {
            let received = server.received();
            received
                .iter()
                .any(|request| request.header("Attempt-Id") == attempt)
        });
        let ran: Vec<&str> = ran.map(|server| server.name.as_str()).collect();
        let is_lost = *is_kept && status.is_none() && !ran.is_empty();
        lost += usize::from(is_lost);
        let mark = if is_lost { " LOST" } else { "" };
        writeln!(
            text,
            "{sent:6} ms {attempt}: status {status:?}, ran at {}{mark}",
            ran.join(" ")
        )?;
    }
    writeln!(
        text,
        "{uploads} uploads, at most {most} bytes in memory; {lost} of {} bookings on kept channels \
         were passed on and have no answer (LOST allows 3)",
        answers.len()
    )?;
    Ok(lost > 3)
}
