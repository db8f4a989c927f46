//! Connections for control messages between daemons, with their bytes counted.
//!
//! Operators hold each daemon to a budget of control bytes per second. The
//! bytes are counted at the TCP stream, so framing and encoding are included.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::Stream;
use futures::stream;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::observed_stream::ByteObserver;
use crate::observed_stream::ObservedStream;
use crate::socket;

/// How long to wait after a connection could not be accepted. Without files left, the next
/// one fails at once, too, and the loop would take all processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The counters of the bytes of control messages.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Bytes sent.
    pub sent: IntCounter,
    /// Bytes received.
    pub received: IntCounter,
}

impl Counters {
    /// Makes the counters and registers them.
    ///
    /// # Errors
    /// Returns an error if the registry already has a metric of this name.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let options = Opts::new(
            "gooseberry_control_bytes_total",
            "Bytes of control messages to and from peers.",
        );
        let bytes = IntCounterVec::new(options, &["direction"])?;
        registry.register(Box::new(bytes.clone()))?;
        Ok(Self {
            sent: bytes.with_label_values(&["sent"]),
            received: bytes.with_label_values(&["received"]),
        })
    }
}

impl ByteObserver for Counters {
    fn on_read(&self, bytes: usize) {
        add(&self.received, bytes);
    }

    fn on_write(&self, bytes: usize) {
        add(&self.sent, bytes);
    }
}

/// A bincode message transport over a connection whose bytes are counted.
pub type Channel<Item, SinkItem> =
    Transport<ObservedStream<Counters>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Connects to the control port of a peer.
///
/// # Errors
/// Returns an error if the peer cannot be reached.
pub async fn connect<Item, SinkItem>(
    address: SocketAddr,
    counters: Counters,
) -> io::Result<Channel<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let stream = TcpStream::connect(address).await?;
    socket::set_options(&stream)?;
    Ok(channel(stream, counters))
}

/// Accepts the control connections of peers.
pub fn incoming<Item, SinkItem>(
    listener: TcpListener,
    counters: Counters,
) -> impl Stream<Item = io::Result<Channel<Item, SinkItem>>> + Unpin
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let next = async |(listener, counters): (TcpListener, Counters)| {
        let accepted: io::Result<(TcpStream, _)> = listener.accept().await;
        if accepted.is_err() {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
        let transport = accepted.and_then(|(stream, _)| {
            socket::set_options(&stream)?;
            Ok(channel(stream, counters.clone()))
        });
        Some((transport, (listener, counters)))
    };
    Box::pin(stream::unfold((listener, counters), next))
}

fn channel<Item, SinkItem>(stream: TcpStream, counters: Counters) -> Channel<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    Channel::from((ObservedStream::new(stream, counters), Bincode::default()))
}

fn add(counter: &IntCounter, bytes: usize) {
    counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
}
