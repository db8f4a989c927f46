//! Peers of the former build, which lack the calls that name the era of the store.
//! Fleets are updated one daemon after the other.

use std::net::SocketAddr;

use compact_str::CompactString;
use futures::StreamExt;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::store::Store;
use gooseberry_relay::daemon::Daemon;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::Unmade;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::platform::TestPlatform;
use crate::platform::is_ready_with;
use crate::platform::start_daemon;
use crate::platform::unused_ip;
use crate::platform::wait_until;

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
}

/// A daemon of the former build that has what another daemon has.
#[derive(Clone)]
struct Former {
    address: SocketAddr,
    changes: Changes,
}

impl Fleet for Former {
    async fn greet(self, _: context::Context, greeting: Greeting) -> Greeting {
        Greeting {
            from: member(self.address),
            others: Vec::new(),
            through: self.changes.through,
            confirmed_ms: 0,
            waits: greeting.waits,
            suspects: greeting.suspects,
            rate_limits: greeting.rate_limits,
        }
    }

    async fn changes(self, _: context::Context, _after: u64) -> Changes {
        self.changes
    }

    async fn make(self, _: context::Context, _group: Group) -> Result<Made, Unmade> {
        Err(Unmade::Elsewhere)
    }

    async fn free(self, _: context::Context, _: CompactString, _: Vec<CompactString>) {}

    async fn chunks(self, _: context::Context, _: Vec<[u8; 32]>) -> Vec<Vec<u8>> {
        Vec::new()
    }

    async fn back_up_origin(self, _: context::Context, _: CompactString, _: Origin) {}

    async fn origin(self, _: context::Context, _: CompactString) -> Option<Origin> {
        None
    }
}

fn member(address: SocketAddr) -> Member {
    Member {
        name: "former".into(),
        incarnation: 1,
        beat: 1,
        address,
        strength: 250,
        is_leaving: false,
    }
}

/// Starts a daemon of the former build, with the contents that a daemon has.
async fn start_former(source: &Daemon) -> SocketAddr {
    let listener = TcpListener::bind((unused_ip(), 8003)).await;
    let listener = listener.expect("the port is free");
    let address = listener.local_addr().expect("it is bound");
    let changes = {
        let state = source.context().state();
        state.replica().mirror().changes(Revision(0)).into()
    };
    let former = Former { address, changes };
    let counters = source.context().metrics.control_bytes();
    tokio::spawn(async move {
        let mut incoming = control_stream::incoming(listener, counters);
        while let Some(Ok(transport)) = incoming.next().await {
            let requests = BaseChannel::with_defaults(transport).execute(former.clone().serve());
            tokio::spawn(requests.for_each_concurrent(None, |request| request));
        }
    });
    address
}

#[tokio::test]
async fn a_daemon_gets_the_contents_of_the_store_from_a_peer_of_the_former_build() {
    let platform = TestPlatform::start().await;
    let reader = platform.daemon(1, &[]).await;
    let former = start_former(&reader).await;
    let unreachable_store = Store::start().await;
    unreachable_store.set_mode(store::Mode::Unresponsive);
    let daemon = start_daemon(2, &[former], unreachable_store.address).await;
    wait_until("the daemon knows all targets", || is_ready_with(&daemon, 8)).await;
}
