//! Socket options that let a silent connection fail soon.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before a connection fails.
///
/// A partition shows by nothing else; round trips take milliseconds.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// After how much silence a connection is probed, and how often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How many probes may go unanswered.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets what lets a silent connection fail soon, and sends without delay.
///
/// # Errors
/// Returns an error if the system does not take an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
