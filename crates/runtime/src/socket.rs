//! Socket options that let a silent connection fail soon.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before a connection fails.
///
/// A partition shows by nothing else; round trips take milliseconds.
pub const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);
/// After how much silence a connection is probed, and how often.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// How many probes may go unanswered.
const PROBES_MAX: u32 = 2;

/// Sets what lets a silent connection fail soon, and sends without delay.
///
/// # Errors
/// Returns an error if the system does not take an option.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
