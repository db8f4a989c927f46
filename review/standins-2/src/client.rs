//! A stand-in for the platform's requesters.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub attempt: String,
    /// Its method.
    pub method: &'static str,
    /// Its path.
    pub path: String,
    /// How long the requester waits.
    pub deadline: Duration,
    /// Further header lines.
    pub headers: String,
    /// The body of a POST.
    pub body: String,
}

/// What a requester got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The head; `None` if there was none.
    pub head: Option<Message>,
    /// What came of the body.
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
    /// How long it took.
    pub took: Duration,
}

impl Answer {
    /// Returns the status; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }

    /// Returns the complete events: their ids, servers and versions.
    pub fn events(&self) -> Vec<(u64, String, String)> {
        let whole = self.body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let events = whole.split("\n\n").filter_map(|block| {
            let (id, data) = block.strip_prefix("id: ")?.split_once("\ndata: ")?;
            let (server, version) = data.split_once(' ')?;
            Some((id.parse().ok()?, server.to_owned(), version.to_owned()))
        });
        events.collect()
    }
}

impl Request {
    /// Creates a request with a new attempt id.
    pub fn new(method: &'static str, path: &str, deadline: Duration) -> Self {
        let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{:08x}{number:08x}", std::process::id());
        Self {
            body: format!("prompt {attempt}"),
            attempt,
            method,
            path: path.to_owned(),
            deadline,
            headers: String::new(),
        }
    }

    /// Sends it over a channel, and reads the answer. Returns the answer, and whether the
    /// channel may be used again.
    pub fn send_on(&self, connection: &mut Connection) -> (Answer, bool) {
        let began = Instant::now();
        let mut answer = Answer::default();
        let result = self.exchange(connection, &mut answer, began);
        answer.took = began.elapsed();
        let is_kept = result.is_ok()
            && answer
                .head
                .as_ref()
                .is_some_and(|head| !head.header("Connection").eq_ignore_ascii_case("close"));
        (answer, is_kept)
    }

    fn exchange(
        &self,
        connection: &mut Connection,
        answer: &mut Answer,
        began: Instant,
    ) -> io::Result<()> {
        let body = if self.method == "POST" {
            self.body.as_str()
        } else {
            ""
        };
        connection.write(&format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             X-Api-Key: key-1\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.method,
            self.path,
            self.attempt,
            self.deadline.as_millis(),
            self.headers,
            body.len()
        ))?;
        let left = |began: Instant| {
            let left = self.deadline.saturating_sub(began.elapsed());
            left.max(Duration::from_millis(1))
        };
        connection.stream.set_read_timeout(Some(left(began)))?;
        let head = connection.read_head()?;
        answer.head = Some(head.clone());
        if head
            .header("Transfer-Encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                connection.stream.set_read_timeout(Some(left(began)))?;
                let Some(chunk) = connection.read_chunk()? else {
                    break;
                };
                answer.body.push_str(&String::from_utf8_lossy(&chunk));
            }
        } else {
            let length = head.header("Content-Length").parse().unwrap_or(0);
            let body = connection.read_exact(length)?;
            answer.body = String::from_utf8_lossy(&body).into_owned();
        }
        answer.is_complete = true;
        Ok(())
    }

    /// Sends it over a new channel.
    pub fn send(&self, daemon: SocketAddr) -> (Answer, Option<Connection>) {
        match connect(daemon) {
            Ok(mut connection) => {
                let (answer, is_kept) = self.send_on(&mut connection);
                (answer, is_kept.then_some(connection))
            }
            Err(_) => (Answer::default(), None),
        }
    }
}

/// Opens a channel; requesters allow it one second.
pub fn connect(daemon: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&daemon, Duration::from_secs(1))?;
    Ok(Connection::new(stream))
}
