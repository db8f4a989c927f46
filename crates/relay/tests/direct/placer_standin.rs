//! A stand-in for a placer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use futures::StreamExt;
use gooseberry_relay::metrics::Metrics;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Announcement;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Finding;
use gooseberry_wire::fleet::Fleet;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::PromptTrace;
use gooseberry_wire::fleet::Trace;
use gooseberry_wire::fleet::Unmade;
use gooseberry_wire::fleet::WholeTrace;
use gooseberry_wire::fleet::ledger::EngineSummary;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::unused_ip;

/// A stand-in for a placer. It is the strongest daemon, so it is the placer of all groups.
#[derive(Clone)]
pub struct Standin {
    pub address: SocketAddr,
    version: u32,
    /// The target that it names; it does not answer if there is none.
    target: Arc<Mutex<Option<CompactString>>>,
    asked: Arc<Mutex<Vec<Placement>>>,
    reports: Arc<Mutex<Vec<Finish>>>,
    /// Its listener and connections.
    pub tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Standin {
    pub async fn start(version: u32) -> Self {
        let listener = TcpListener::bind((unused_ip(), 8003)).await;
        let listener = listener.expect("the port is free");
        let standin = Self {
            address: listener.local_addr().expect("it is bound"),
            version,
            target: Arc::default(),
            asked: Arc::default(),
            reports: Arc::default(),
            tasks: Arc::default(),
        };
        let server = standin.clone();
        let accepting = async move {
            let counters = Metrics::new().expect("the names are unique");
            let mut incoming = control_stream::incoming(listener, counters.control_bytes());
            while let Some(Ok(transport)) = incoming.next().await {
                let channel = BaseChannel::with_defaults(transport);
                let requests = channel.execute(server.clone().serve());
                let serving = requests.for_each_concurrent(None, |request| request);
                server.tasks.lock().expect("not poisoned").spawn(serving);
            }
        };
        let mut tasks = standin.tasks.lock().expect("not poisoned");
        tasks.spawn(accepting);
        drop(tasks);
        standin
    }

    pub fn name_target(&self, target: &str) {
        *self.target.lock().expect("not poisoned") = Some(target.into());
    }

    pub fn asked(&self) -> Vec<Placement> {
        self.asked.lock().expect("not poisoned").clone()
    }

    pub fn reports(&self) -> Vec<Finish> {
        self.reports.lock().expect("not poisoned").clone()
    }

    fn reply_to(&self, greeting: &Greeting) -> Heartbeat {
        heartbeat("placer", self.address, 10_000, greeting.from.beat)
    }
}

impl Fleet for Standin {
    async fn greet(self, _: context::Context, greeting: Greeting) -> Greeting {
        self.reply_to(&greeting).exchange.greeting
    }

    async fn changes(self, _: context::Context, _: u64) -> Changes {
        unreachable!("it announces nothing")
    }

    async fn make(self, _: context::Context, _: Group) -> Result<Made, Unmade> {
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
        self.version
    }

    async fn exchange(self, _: context::Context, message: Exchange) -> Exchange {
        self.reply_to(&message.greeting).exchange
    }

    async fn contents(self, _: context::Context, _: ContentsRequest) -> Contents {
        unreachable!("it announces nothing")
    }

    async fn heartbeat(self, _: context::Context, message: Heartbeat) -> Heartbeat {
        self.reply_to(&message.exchange.greeting)
    }

    async fn place(self, _: context::Context, request: Placement) -> Result<Placed, NotPlaced> {
        self.asked.lock().expect("not poisoned").push(request);
        let target = self.target.lock().expect("not poisoned").clone();
        let Some(target) = target else {
            sleep(Duration::from_secs(10)).await;
            return Err(NotPlaced::Elsewhere);
        };
        Ok(Placed {
            target,
            wait_ms: 1,
            cached_tokens: 2,
        })
    }

    async fn ledger(self, _: context::Context, _: CompactString, _: u32) -> Vec<EngineSummary> {
        Vec::new()
    }

    async fn stream_version(self, _: context::Context, _: CompactString, _: Trace) -> Finding {
        Finding::Unanswered
    }

    async fn trace_stream(self, _: context::Context, _: CompactString, _: PromptTrace) -> Finding {
        Finding::Unanswered
    }

    async fn trace_prompt(self, _: context::Context, _: CompactString, _: WholeTrace) -> Finding {
        Finding::Unanswered
    }

    async fn finished(self, _: context::Context, reports: Vec<Finish>) {
        self.reports.lock().expect("not poisoned").extend(reports);
    }
}

/// Returns the heartbeat of a daemon that knows nothing of the store.
pub fn heartbeat(name: &str, address: SocketAddr, strength: u32, beat: u64) -> Heartbeat {
    let from = Member {
        name: name.into(),
        incarnation: 1,
        beat,
        address,
        strength,
        is_leaving: false,
    };
    let greeting = Greeting {
        from,
        others: Vec::new(),
        through: 0,
        confirmed_ms: 60_000,
        waits: Vec::new(),
        suspects: Vec::new(),
        rate_limits: Vec::new(),
    };
    Heartbeat {
        exchange: Exchange {
            greeting,
            era: None,
            parts: Vec::new(),
        },
        announcement: Announcement {
            address: None,
            unreached: Vec::new(),
        },
    }
}
