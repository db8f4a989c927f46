//! Daemons of the former build, which neither place requests nor have them placed. Fleets
//! are updated one daemon after the other.

use compact_str::CompactString;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::Unmade;
use tarpc::client;
use tarpc::context;

use crate::placer_standin::heartbeat;
use crate::platform::start_one;
use crate::platform::unused_ip;

/// The calls of the former build.
#[tarpc::service]
trait Fleet {
    async fn greet(greeting: Greeting) -> Greeting;
    async fn changes(after: u64) -> Changes;
    async fn make(group: Group) -> Result<Made, Unmade>;
    async fn free(service: CompactString, handles: Vec<CompactString>);
    async fn chunks(digests: Vec<[u8; 32]>) -> Vec<Vec<u8>>;
    async fn back_up_origin(attempt: CompactString, origin: Origin);
    async fn origin(attempt: CompactString) -> Option<Origin>;
    async fn protocol_version() -> u32;
    async fn exchange(message: Exchange) -> Exchange;
    async fn contents(request: ContentsRequest) -> Contents;
    async fn heartbeat(message: Heartbeat) -> Heartbeat;
}

/// A call that was inserted before others would be taken for another one.
#[tokio::test]
async fn the_calls_of_the_former_build_are_answered() {
    let (_platform, daemon) = start_one().await;
    let counters = daemon.context().metrics.control_bytes();
    let transport = control_stream::connect(daemon.context().boot.peer_address, counters).await;
    let transport = transport.expect("the daemon listens");
    let peer = FleetClient::new(client::Config::default(), transport).spawn();
    let version = peer.protocol_version(context::current()).await;
    assert_eq!(version.expect("a reply"), 7);
    let message = heartbeat("former", (unused_ip(), 8003).into(), 250, 1);
    let reply = peer.heartbeat(context::current(), message).await;
    let reply = reply.expect("a reply");
    assert_eq!(reply.exchange.greeting.from.name, "d-1");
    let now = daemon.context().now();
    assert_eq!(daemon.context().state().members().live(now).len(), 2);
}
