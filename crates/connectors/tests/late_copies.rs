//! A target that sends a second copy of an answer where the next one is expected.

#![allow(missing_docs, clippy::unwrap_used)]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::target::Call;
use gooseberry_connectors::target::Client;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::id;
use gooseberry_kernel::settings;

/// How long the target works on a call.
const WORK: Duration = Duration::from_millis(20);

/// Starts a target that answers each call with its body, and sends the first answer of a
/// connection once more as the second call comes.
fn start_target(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer_calls(stream.unwrap(), head));
        }
    });
    address
}

fn answer_calls(mut stream: TcpStream, head: &str) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut first = String::new();
    for number in 0.. {
        let (mut attempt, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            reader
                .read_line(&mut line)
                .ok()
                .filter(|bytes| *bytes > 0)?;
            match line.trim_end().split_once(": ") {
                Some(("gooseberry-attempt", value)) => value.clone_into(&mut attempt),
                Some(("content-length", value)) => length = value.parse().ok()?,
                None if line.trim_end().is_empty() => break,
                Some(_) | None => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        let answer = format!(
            "{head}gooseberry-attempt: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        if number == 1 {
            stream.write_all(first.as_bytes()).ok()?;
        }
        thread::sleep(WORK);
        stream.write_all(answer.as_bytes()).ok()?;
        if number == 0 {
            first = answer;
        }
    }
    None
}

#[tokio::test]
async fn a_late_copy_of_an_answer_costs_one_call_and_its_connection() {
    let refused = "HTTP/1.1 503 Service Unavailable\r\ngooseberry-outcome: not-run\r\n";
    for head in ["HTTP/1.1 200 OK\r\n", refused] {
        let address = start_target(head);
        let client = Client::default();
        let mut foreign = Vec::new();
        for number in 1..=6 {
            let body = format!("deposit-{number}");
            let call = Call {
                kind: settings::TargetKind::Service,
                address,
                attempt: id::Attempt {
                    request: id::Request(7),
                    stage: 0,
                    number,
                },
                workspace: id::Workspace::new("desk.porters").unwrap(),
                timeout_ms: 1000,
                priority: 5,
                max_answer_bytes: 1 << 20,
                send_by: Instant::now() + Duration::from_secs(60),
                body: body.clone().into(),
            };
            let reply = client.call(&call).await;
            if reply.is_foreign {
                foreign.push(number);
            }
            match reply.result {
                Ok(answer) => assert_eq!(answer, body),
                Err(failure) => {
                    let is_refused = !reply.is_foreign && head == refused;
                    assert_eq!(
                        failure.outcome == Outcome::NotRun,
                        is_refused,
                        "{failure:?}"
                    );
                }
            }
        }
        // Each connection has one copy, which its second call meets.
        assert_eq!(foreign, [2, 4, 6], "{head}");
    }
}
