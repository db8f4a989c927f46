//! Runs an example site on the loopback interface, within one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::LogFormat;
use gooseberry_kernel::settings::Policy;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_kernel::settings::TeamSettings;
use gooseberry_standin::capacity::Capacity;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::site::ListedTarget;
use gooseberry_standin::site::Site;
use gooseberry_standin::target;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::daemon::Daemon;

/// Time limit for all daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time that an engine spends on one call in a load run.
const ENGINE_CALL_TIME: Duration = Duration::from_millis(1200);
/// Path of the fleet settings.
const FLEET_PATH: &str = "/fleet";

/// A running site.
#[derive(Debug)]
pub struct Embedded {
    /// The example site that is run.
    pub site: Site,
    /// The stand-in of its platform.
    pub platform: Platform,
    /// The stand-ins of its targets.
    pub targets: Vec<ListedTarget>,
    /// Its daemons, all in this process.
    pub daemons: Vec<Daemon>,
    /// The policy in the fleet settings.
    pub policy: Policy,
    /// The settings of all teams.
    pub documents: Arc<[TeamSettings]>,
}

impl Embedded {
    /// Starts the platform, the targets and the daemons, and waits until the
    /// daemons are ready.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound or a daemon does not become
    /// ready in time.
    pub async fn start(site: Site) -> anyhow::Result<Self> {
        Self::start_with(site, Policy::Adaptive, target::Plan::clone).await
    }

    /// Starts a site whose targets have a limited capacity, for load runs.
    ///
    /// # Errors
    /// Returns an error as [`Self::start`] does.
    pub async fn start_loaded(site: Site, policy: Policy) -> anyhow::Result<Self> {
        Self::start_with(site, policy, with_load_limits).await
    }

    async fn start_with(
        site: Site,
        policy: Policy,
        change_plan: impl Fn(&target::Plan) -> target::Plan,
    ) -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        site.publish(&platform);
        let targets = site.start_targets_with(&platform, change_plan).await?;
        let mut embedded = Self {
            site,
            platform,
            targets,
            daemons: Vec::new(),
            policy,
            documents: documents(&site),
        };
        embedded.publish_fleet(None);
        for index in 0..site.daemons {
            let local = daemon_settings(&site, index, embedded.platform.address())?;
            embedded.daemons.push(Daemon::start(local).await?);
        }
        embedded.platform.change_list(|list| {
            list.instances
                .extend(embedded.daemons.iter().map(list_entry));
        });
        embedded.wait_until_ready().await?;
        Ok(embedded)
    }

    /// Publishes the fleet settings with the given failure domain taken out, or
    /// with none.
    pub fn publish_fleet(&self, out_domain: Option<&str>) {
        let documents = self.site.documents.iter();
        let fleet = documents.filter(|(path, _)| *path == FLEET_PATH);
        for (path, text) in fleet {
            let out = out_domain
                .map(|domain| format!("\"{domain}\""))
                .unwrap_or_default();
            let text = text.replace("\"out\": []", &format!("\"out\": [{out}]"));
            let policy = format!("\"policy\": \"{}\"", label(self.policy));
            let text = text.replace("\"policy\": \"adaptive\"", &policy);
            self.platform.put(path, &text);
        }
    }

    /// Waits for the longest time that a call may run in any pool. Until then a
    /// new owner assumes that calls of the previous owner may still run.
    pub async fn wait_for_former_calls(&self) {
        let documents = self.documents.iter();
        let longest = documents.flat_map(|document| &document.pools);
        let longest = longest.map(|pool| pool.longest_call).max();
        let longest = longest.unwrap_or(Millis::ZERO);
        tokio::time::sleep(Duration::from_millis(longest.0)).await;
    }

    /// Returns the targets of a kind, over all pools.
    pub fn targets_of_kind(&self, kind: TargetKind) -> impl Iterator<Item = &ListedTarget> {
        let groups = self.site.groups;
        let is_of_kind = move |pool: &str| {
            let mut of_kind = groups.iter().filter(|group| group.kind == kind);
            of_kind.any(|group| group.pool == pool)
        };
        let targets = self.targets.iter();
        targets.filter(move |listed| is_of_kind(listed.pool))
    }

    /// Returns the targets in a failure domain.
    pub fn targets_in_domain(&self, domain: &str) -> impl Iterator<Item = &ListedTarget> {
        let targets = self.targets.iter();
        targets.filter(move |listed| listed.domain == domain)
    }

    /// Shuts all daemons down concurrently.
    pub async fn shut_down(&self) {
        let all = self.daemons.iter().map(Daemon::shut_down);
        futures::future::join_all(all).await;
    }

    /// Waits until every daemon is ready and holds its leases.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let all_ready = async {
            for daemon in &self.daemons {
                while !is_ready(daemon).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        if tokio::time::timeout(READY_LIMIT, all_ready).await.is_err() {
            bail!("the daemons were not ready within {READY_LIMIT:?}");
        }
        Ok(())
    }
}

/// Returns the name of the policy in settings and tables.
#[must_use]
pub fn label(policy: Policy) -> &'static str {
    match policy {
        Policy::Adaptive => "adaptive",
        Policy::Baseline => "baseline",
    }
}

fn documents(site: &Site) -> Arc<[TeamSettings]> {
    let paths = site.documents.iter().map(|(path, _)| path);
    let teams = paths.filter_map(|path| path.strip_prefix("/teams/"));
    teams.filter_map(|team| site.document(team)).collect()
}

/// Time that a target takes to restart after a crash.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Limits the capacity of a target and makes it start warm.
fn with_load_limits(plan: &target::Plan) -> target::Plan {
    let work = match plan.kind {
        TargetKind::Engine => ENGINE_CALL_TIME,
        TargetKind::Encoder
        | TargetKind::Retriever
        | TargetKind::Reranker
        | TargetKind::Service => plan.work,
    };
    target::Plan {
        work,
        is_warm: true,
        is_fragile: true,
        restart: RESTART_DELAY,
        capacity: Capacity::of(plan.kind),
        ..plan.clone()
    }
}

async fn is_ready(daemon: &Daemon) -> bool {
    let read =
        |node: &gooseberry_kernel::node::Node, now| node.ready().is_ok() && node.holds_leases(now);
    daemon.context().node.read(read).await.unwrap_or(false)
}

fn daemon_settings(site: &Site, index: usize, platform: SocketAddr) -> anyhow::Result<Local> {
    let domain = site.domains[index % site.domains.len()];
    loopback_settings(&format!("entry-{}", index + 1), domain, platform)
}

/// Returns the start-up settings of a process that listens on free ports of
/// the loopback interface.
///
/// # Errors
/// Returns an error if a name is not a valid id.
pub fn loopback_settings(
    instance: &str,
    domain: &str,
    platform: SocketAddr,
) -> anyhow::Result<Local> {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Local {
        instance: instance.parse()?,
        domain: domain.parse()?,
        callers: free_port,
        data: free_port,
        control: free_port,
        operators: free_port,
        platform,
        log_level: "warn".to_owned(),
        log_format: LogFormat::Text,
        shutdown_limit: Millis::from_secs(15),
        has_fault_injection: false,
    })
}

/// Returns the entry of a daemon in the published list.
#[must_use]
pub fn list_entry(daemon: &Daemon) -> Instance {
    let local = daemon.local();
    Instance {
        id: local.instance.as_str().into(),
        domain: local.domain.as_str().into(),
        control: local.control,
        data: local.data,
        state: State::Live,
    }
}
