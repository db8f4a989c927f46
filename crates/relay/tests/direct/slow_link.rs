//! A link of limited rate between two daemons.
//!
//! Daemons tell each other their addresses. The link replaces the address of each
//! daemon by that of its proxy, so that all their connections go through it.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The number of bytes that are forwarded at once.
const FRAME_BYTES: usize = 1_500;
/// How late a timer may fire; the link makes up for it.
const TIMER_DELAY: Duration = Duration::from_millis(5);
/// How long the start of a possible address is held back.
const HOLD_TIME: Duration = Duration::from_millis(2);

/// The octets of an address and those of its proxy.
type Replacement = ([u8; 4], [u8; 4]);

/// One direction of the link; it is busy until the time in the lock.
#[derive(Clone)]
struct Lane {
    busy_until: Arc<Mutex<Instant>>,
    bytes_per_second: u64,
}

impl Lane {
    fn new(bytes_per_second: u64) -> Self {
        Self {
            busy_until: Arc::new(Mutex::new(Instant::now())),
            bytes_per_second,
        }
    }

    /// Waits as long as the link takes to carry this many bytes.
    async fn carry(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).expect("it fits");
        let mut busy_until = self.busy_until.lock().await;
        let begin = (*busy_until).max(Instant::now() - TIMER_DELAY);
        *busy_until = begin + Duration::from_micros(bytes * 1_000_000 / self.bytes_per_second);
        sleep_until(*busy_until).await;
    }
}

/// Connects two daemons by a link with this rate in each direction. They reach each
/// other at these addresses of the proxies, at the port of the daemon.
pub async fn connect(daemons: [SocketAddr; 2], proxies: [Ipv4Addr; 2], bytes_per_second: u64) {
    let proxies = [0, 1].map(|index| SocketAddr::new(proxies[index].into(), daemons[index].port()));
    let replacements: Vec<Replacement> = daemons
        .iter()
        .zip(&proxies)
        .map(|(daemon, proxy)| (octets(*daemon), octets(*proxy)))
        .collect();
    let lanes = [Lane::new(bytes_per_second), Lane::new(bytes_per_second)];
    for (index, proxy) in proxies.into_iter().enumerate() {
        let listener = TcpListener::bind(proxy).await.expect("the port is free");
        let to_daemon = lanes[index].clone();
        let from_daemon = lanes[1 - index].clone();
        let daemon = daemons[index];
        let replacements = replacements.clone();
        tokio::spawn(async move {
            while let Ok((peer, _)) = listener.accept().await {
                let replacements = replacements.clone();
                let lanes = [to_daemon.clone(), from_daemon.clone()];
                tokio::spawn(serve(peer, daemon, replacements, lanes));
            }
        });
    }
}

/// Starts a link with this rate in each direction to an address, and returns the
/// address of its near end.
pub async fn in_front_of(target: SocketAddr, bytes_per_second: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let near_end = listener.local_addr().expect("it is bound");
    let lanes = [Lane::new(bytes_per_second), Lane::new(bytes_per_second)];
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client, target, Vec::new(), lanes.clone()));
        }
    });
    near_end
}

async fn serve(
    peer: TcpStream,
    daemon: SocketAddr,
    replacements: Vec<Replacement>,
    [to_daemon, from_daemon]: [Lane; 2],
) {
    let Ok(daemon) = TcpStream::connect(daemon).await else {
        return;
    };
    let (from_peer, to_peer) = peer.into_split();
    let (from_target, to_target) = daemon.into_split();
    tokio::select! {
        () = forward(from_peer, to_target, &replacements, &to_daemon) => {}
        () = forward(from_target, to_peer, &replacements, &from_daemon) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    replacements: &[Replacement],
    lane: &Lane,
) {
    let mut held: Vec<u8> = Vec::new();
    let mut frame = [0; FRAME_BYTES];
    loop {
        let read = if held.is_empty() {
            Ok(from.read(&mut frame).await)
        } else {
            timeout(HOLD_TIME, from.read(&mut frame)).await
        };
        let is_held_over = read.is_err();
        match read {
            Err(_) => {}
            Ok(Ok(count)) if count > 0 => held.extend_from_slice(&frame[..count]),
            Ok(_) => return,
        }
        replace(&mut held, replacements);
        let keep = if is_held_over {
            0
        } else {
            partial_length(&held, replacements)
        };
        let rest = held.split_off(held.len() - keep);
        lane.carry(held.len()).await;
        if to.write_all(&held).await.is_err() {
            return;
        }
        held = rest;
    }
}

fn replace(bytes: &mut [u8], replacements: &[Replacement]) {
    for index in 0..bytes.len().saturating_sub(3) {
        let window = &mut bytes[index..index + 4];
        if let Some((_, to)) = replacements.iter().find(|(from, _)| window == from) {
            window.copy_from_slice(to);
        }
    }
}

/// Returns how many bytes at the end may be the start of an address.
fn partial_length(bytes: &[u8], replacements: &[Replacement]) -> usize {
    let is_start = |length: &usize| {
        let mut addresses = replacements.iter();
        addresses.any(|(from, _)| bytes.ends_with(&from[..*length]))
    };
    (1..=3).rev().find(is_start).unwrap_or(0)
}

fn octets(address: SocketAddr) -> [u8; 4] {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED.octets(),
    }
}
