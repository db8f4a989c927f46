//! TCP options that make a dead connection fail within seconds.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection fails.
///
/// This is the only sign of a network partition while data is in transit; round
/// trips take milliseconds.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which a connection fails.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets the keepalive and the user timeout, and disables Nagle's algorithm.
///
/// # Errors
/// Returns an error if the operating system rejects an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    set_options_with(stream, TCP_USER_TIMEOUT)
}

/// Sets the options of a connection on which the other side may read nothing for a time.
/// Bytes that it has no room for count as unacknowledged.
///
/// # Errors
/// Returns an error if the operating system rejects an option.
pub fn set_slow_reader_options(stream: &TcpStream, read_pause_max: Duration) -> io::Result<()> {
    set_options_with(stream, TCP_USER_TIMEOUT.max(read_pause_max))
}

fn set_options_with(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
