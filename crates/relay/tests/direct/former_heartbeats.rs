//! Peers of the former build, which say nothing of their links to targets and take no
//! requests of others. Fleets are updated one daemon after the other.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use futures::StreamExt;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::target::Target;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::Unmade;
use tarpc::client;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::answer_to;
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
    async fn protocol_version() -> u32;
    async fn exchange(message: Exchange) -> Exchange;
    async fn contents(request: ContentsRequest) -> Contents;
}

/// A daemon of the former build that knows nothing of the store.
#[derive(Clone)]
struct Former {
    address: SocketAddr,
}

impl Former {
    fn message(&self, beat: u64) -> Exchange {
        let greeting = Greeting {
            from: Member {
                name: "former".into(),
                incarnation: 1,
                beat,
                address: self.address,
                strength: 250,
                is_leaving: false,
            },
            others: Vec::new(),
            through: 0,
            confirmed_ms: 60_000,
            waits: Vec::new(),
            suspects: Vec::new(),
            rate_limits: Vec::new(),
        };
        Exchange {
            greeting,
            era: None,
            parts: Vec::new(),
        }
    }
}

impl Fleet for Former {
    async fn greet(self, _: context::Context, greeting: Greeting) -> Greeting {
        self.message(greeting.from.beat).greeting
    }

    async fn changes(self, _: context::Context, after: u64) -> Changes {
        Changes {
            through: after,
            is_whole: false,
            entries: Vec::new(),
            outlines: Vec::new(),
        }
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

    async fn protocol_version(self, _: context::Context) -> u32 {
        1
    }

    async fn exchange(self, _: context::Context, message: Exchange) -> Exchange {
        self.message(message.greeting.from.beat)
    }

    async fn contents(self, _: context::Context, _request: ContentsRequest) -> Contents {
        unreachable!("it announces nothing")
    }
}

async fn start_former() -> Former {
    let listener = TcpListener::bind((unused_ip(), 8003)).await;
    let listener = listener.expect("the port is free");
    let address = listener.local_addr().expect("it is bound");
    let former = Former { address };
    let server = former.clone();
    tokio::spawn(async move {
        let counters = gooseberry_relay::metrics::Metrics::new().expect("the names are unique");
        let mut incoming = control_stream::incoming(listener, counters.control_bytes());
        while let Some(Ok(transport)) = incoming.next().await {
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(requests.for_each_concurrent(None, |request| request));
        }
    });
    former
}

#[tokio::test]
async fn a_daemon_whose_only_peer_is_of_the_former_build_refuses_what_it_cannot_send() {
    let platform = TestPlatform::start().await;
    let start = |target: &Target| {
        let address = (unused_ip(), 8004).into();
        let gateway = Gateway::start(address, target.address).expect("the address is free");
        (gateway, target.address)
    };
    let gateways: Vec<(Gateway, SocketAddr)> = platform.plain.iter().map(start).collect();
    let replacements = gateways.iter();
    let replacements = replacements.map(|(gateway, target)| (*target, gateway.address));
    let store = platform.store.view(replacements.collect()).await;
    let former = start_former().await;
    let daemon = start_daemon(1, &[former.address], store).await;
    wait_until("the daemon knows all targets and its peer", || {
        let now = daemon.context().now();
        let mut state = daemon.context().state();
        state.listed_count() == 8 && state.members().live(now).len() == 2
    })
    .await;
    assert_eq!(
        answer_to(&ClientRequest::new("/once/"), &daemon)
            .await
            .status,
        200
    );
    for (gateway, _) in &gateways {
        gateway.set(Partition::Silent);
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        answer_to(&ClientRequest::new("/read/"), &daemon).await;
    }
    let client = ClientRequest::new("/once/");
    let begun = Instant::now();
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(1_500));
    assert_eq!(platform.runs(&client.attempt), 0);
}

#[tokio::test]
async fn a_daemon_of_the_former_build_can_greet_this_one() {
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
    let address = daemon.context().boot.peer_address;
    let counters = daemon.context().metrics.control_bytes();
    let transport = control_stream::connect(address, counters).await;
    let peer = FleetClient::new(
        client::Config::default(),
        transport.expect("the daemon listens"),
    )
    .spawn();
    let former = Former {
        address: (unused_ip(), 8003).into(),
    };
    for beat in 1..=3 {
        let reply = peer
            .exchange(context::current(), former.message(beat))
            .await;
        let reply = reply.expect("the daemon answers");
        assert_eq!(reply.greeting.from.name, "d-1");
        sleep(Duration::from_millis(50)).await;
    }
    let now = daemon.context().now();
    let mut state = daemon.context().state();
    assert_eq!(state.members().live(now).len(), 2);
    let service = name::Service::new("plain");
    assert_eq!(state.detour(&service, &[], 0, now), None);
}
