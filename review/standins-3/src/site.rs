//! A small site: daemons as processes, and stand-ins of engines and of the store.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gooseberry_platform_standin::store::Store;
use gooseberry_platform_standin::target::Target;
use tokio::time::sleep;

use crate::fleet::Addresses;
use crate::fleet::Daemon;

/// Whether the rule was broken.
pub type Outcome = Result<bool, Box<dyn Error>>;

/// The settings; `VERSION` and `HEADER_BYTES` are replaced.
const SETTINGS: &str = r#"{
  "version": VERSION,
  "routes": [
    {"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming",
     "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 0, "service": "engine",
     "max_attempts": 2, "target_gap_ms": 300, "resumable": true, "sticky": true},
    {"name": "summary", "host": "a.example", "prefix": "/summary/", "kind": "streaming",
     "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 0, "service": "engine",
     "max_attempts": 2, "target_gap_ms": 300, "resumable": true, "sticky": true},
    {"name": "feed", "host": "a.example", "prefix": "/feed/", "kind": "streaming",
     "timeout_ms": 15000, "target_latency_ms": 2000, "priority": 0, "service": "feed",
     "max_attempts": 2, "target_gap_ms": 300, "resumable": true, "sticky": false},
    {"name": "book", "host": "a.example", "prefix": "/book/", "kind": "non_idempotent",
     "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "ledger",
     "max_attempts": 1, "sticky": false}
  ],
  "services": [
    {"name": "engine", "max_conns": 500, "cold_start_s": 0, "cold_per_s": 16,
     "health_path": "/health",
     "engine": {"slots": 128, "kv_capacity": 621712, "stride": 6, "kv_token_bytes": 18432}},
    {"name": "feed", "max_conns": 300, "cold_start_s": 0, "cold_per_s": 0,
     "health_path": "/health"},
    {"name": "ledger", "max_conns": 48, "cold_start_s": 0, "cold_per_s": 0,
     "health_path": "/health"}
  ],
  "limits": {"max_header_bytes": HEADER_BYTES, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "w-1", "api_keys": ["key-1"], "priority": 1}]
}"#;

/// How long the daemons are down.
const DOWN: Duration = Duration::from_millis(2_000);

/// Returns the settings of a version, with the largest head of a request.
pub fn settings(version: u32, header_bytes: u32) -> String {
    let text = SETTINGS.replace("VERSION", &version.to_string());
    text.replace("HEADER_BYTES", &header_bytes.to_string())
}

/// Three daemons, four engines and the store.
pub struct Site {
    pub daemons: Vec<Daemon>,
    pub engines: Vec<Target>,
    pub store: Store,
    folder: PathBuf,
}

impl Site {
    /// Starts three daemons and two engines of each of two versions.
    pub async fn start(
        settings: &str,
        events: u64,
        interval: Duration,
    ) -> Result<Self, Box<dyn Error>> {
        let store = Store::start().await;
        let address = store.address;
        Self::start_with(store, address, settings, events, interval).await
    }

    /// Does the same with a store that daemons reach at this address.
    pub async fn start_with(
        store: Store,
        address: SocketAddr,
        settings: &str,
        events: u64,
        interval: Duration,
    ) -> Result<Self, Box<dyn Error>> {
        let folder = std::env::temp_dir().join(format!("gooseberry-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        store.put("op/config", settings);
        let mut engines = Vec::new();
        for (number, version) in ["v1", "v2", "v1", "v2"].into_iter().enumerate() {
            let name = format!("i-{number}");
            let engine = Target::start_engine(&name, version, events, interval).await;
            let born = 1_790_000_000_000 + number as u64;
            engine.set_born(born);
            let zone = format!("z-{}", 1 + number % 2);
            let entry = engine.entry("engine", &zone, "ready");
            let entry = entry.replacen('{', &format!("{{\"born\": {born}, "), 1);
            store.put(&format!("servers/{name}"), &entry);
            engines.push(engine);
        }
        let addresses = (1..=3)
            .map(Addresses::find)
            .collect::<Result<Vec<_>, _>>()?;
        let mut site = Self {
            daemons: Vec::new(),
            engines,
            store,
            folder,
        };
        for number in 0..addresses.len() {
            let zone = format!("z-{}", number + 1);
            let mut daemon = Daemon::prepare(&site.folder, number, &addresses, &zone, address)?;
            daemon.start()?;
            site.daemons.push(daemon);
        }
        for daemon in &site.daemons {
            if !daemon.wait_until_ready(Duration::from_secs(10)).await {
                return Err("a daemon did not become ready".into());
            }
        }
        // The daemons find one another.
        sleep(Duration::from_secs(4)).await;
        Ok(site)
    }

    /// Returns where clients reach the daemons.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.front).collect()
    }

    /// Kills all daemons at once, and starts them after a while.
    pub async fn lose_all(&mut self) -> Result<(), Box<dyn Error>> {
        for daemon in &self.daemons {
            daemon.signal(rustix::process::Signal::KILL);
        }
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        sleep(DOWN).await;
        for daemon in &mut self.daemons {
            daemon.start()?;
        }
        Ok(())
    }

    /// Writes what each engine ran.
    pub fn record_runs(&self, text: &mut String) {
        for engine in &self.engines {
            let runs = engine
                .received()
                .into_iter()
                .filter(|request| request.has_run);
            let runs: Vec<String> = runs
                .filter(|request| !request.path.starts_with("/v1/"))
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
                "engine {} {} ran {}",
                engine.name,
                engine.version,
                runs.join(" ")
            )
            .ok();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Ends all processes.
        self.daemons.clear();
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}
