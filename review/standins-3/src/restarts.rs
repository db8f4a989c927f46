//! Servers start again in turn under their ids, as a newer software version.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::store::Store;
use gooseberry_platform_standin::target::Target;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::lost_daemons::all;
use crate::lost_daemons::record;
use crate::site::Outcome;
use crate::site::Site;
use crate::site::settings;

const SERVERS: usize = 6;
/// How many of them start again, one after the other.
const RESTARTED: usize = 3;
/// The time between two restarts.
const GAP: Duration = Duration::from_millis(900);
/// How long a server is down.
const DOWN: Duration = Duration::from_millis(300);
/// `heartbeat_ms`: how long after its start a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a server that has just started is slow, and by how much.
const SLOW_FOR: Duration = Duration::from_millis(2_000);
const SLOW_BY: Duration = Duration::from_millis(300);

/// The process that listens at the address of a server.
struct Process {
    target: SocketAddr,
    started: Option<Instant>,
}

/// A server with its address, at which its next run listens, too.
struct Server {
    name: String,
    runs: [Target; 2],
    gateway: Gateway,
    process: Arc<Mutex<Process>>,
}

/// Passes channels on to the process that runs.
async fn forward(listener: TcpListener, process: Arc<Mutex<Process>>) {
    while let Ok((mut channel, _)) = listener.accept().await {
        let process = process.clone();
        tokio::spawn(async move {
            let (target, started) = {
                let process = process.lock().expect("not poisoned");
                (process.target, process.started)
            };
            if started.is_some_and(|at| at.elapsed() < SLOW_FOR) {
                sleep(SLOW_BY).await;
            }
            if let Ok(mut server) = TcpStream::connect(target).await {
                tokio::io::copy_bidirectional(&mut channel, &mut server)
                    .await
                    .ok();
            }
        });
    }
}

impl Server {
    async fn start(number: usize) -> io::Result<Self> {
        let name = format!("f-{number}");
        let interval = Duration::from_millis(100);
        let runs = [
            Target::start_engine(&name, "v1", 100, interval).await,
            Target::start_engine(&name, "v2", 100, interval).await,
        ];
        for (run, target) in runs.iter().enumerate() {
            target.set_born(born(run));
        }
        let process = Arc::new(Mutex::new(Process {
            target: runs[0].address,
            started: None,
        }));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let inner = listener.local_addr()?;
        tokio::spawn(forward(listener, process.clone()));
        let outer = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let gateway = Gateway::start(outer, inner)?;
        Ok(Self {
            name,
            runs,
            gateway,
            process,
        })
    }

    /// Writes the entry of a run.
    fn list(&self, store: &Store, run: usize, number: usize) {
        let zone = format!("z-{}", 1 + number % 3);
        let entry = self.runs[run].entry_at(self.gateway.address, "feed", &zone, "ready");
        let entry = entry.replacen('{', &format!("{{\"born\": {}, ", born(run)), 1);
        store.put(&format!("servers/{}", self.name), &entry);
    }

    /// Ends the first run, and starts the second one after a while.
    async fn restart(&self) {
        self.gateway.set(Partition::Reset);
        sleep(DOWN).await;
        if let Ok(mut process) = self.process.lock() {
            process.target = self.runs[1].address;
            process.started = Some(Instant::now());
        }
        self.gateway.set(Partition::None);
    }
}

fn born(run: usize) -> u64 {
    1_790_000_000_000 + 60_000 * run as u64
}

/// ORDER: more than two streams hold events of two software versions.
pub async fn in_turn(trouble: bool, text: &mut String) -> Outcome {
    let start = Instant::now();
    let site = Site::start(&settings(1, 16_384), 5, Duration::from_millis(20)).await?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Server::start(number).await?;
        server.list(&site.store, 0, number);
        servers.push(Arc::new(server));
    }
    // The daemons save up retries.
    sleep(Duration::from_secs(8)).await;
    let fronts = site.fronts();
    let prompts = vec![String::new(); SERVERS * fronts.len()];
    let streams = {
        let fronts = fronts.clone();
        tokio::spawn(async move { all(&fronts, "/feed/1", &prompts, 0).await })
    };
    sleep(Duration::from_millis(2_500)).await;
    for (number, server) in servers.iter().enumerate().take(RESTARTED) {
        if !trouble {
            break;
        }
        let at = start.elapsed().as_millis();
        writeln!(
            text,
            "{at:6} ms {} ends and starts again as v2 in its place",
            server.name
        )?;
        let (server, store) = (server.clone(), site.store.clone());
        tokio::spawn(async move {
            server.restart().await;
            sleep(HEARTBEAT).await;
            server.list(&store, 1, number);
        });
        sleep(GAP).await;
    }
    let streams = streams.await?;
    record(text, start, &streams);
    for server in &servers {
        for run in &server.runs {
            let ran = run.received().into_iter().filter(|request| request.has_run);
            let ran = ran.filter(|request| !request.path.starts_with("/v1/"));
            let ran: Vec<String> = ran
                .map(|run| {
                    format!(
                        "{}@{}",
                        run.header("Attempt-Id"),
                        run.header("Last-Event-Id")
                    )
                })
                .collect();
            writeln!(
                text,
                "server {} {} ran {}",
                server.name,
                run.version,
                ran.join(" ")
            )?;
        }
    }
    let joined = streams
        .iter()
        .filter(|stream| stream.versions().len() > 1)
        .count();
    writeln!(
        text,
        "{} streams; {joined} hold events of two software versions (ORDER allows 2)",
        streams.len()
    )?;
    Ok(joined > 2)
}
