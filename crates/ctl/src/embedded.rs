//! One example site on the loopback, within one process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::bail;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::LogFormat;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::site::Named;
use gooseberry_standin::site::Site;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::daemon::Daemon;

/// How long the daemons may take until their rights hold.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A running site.
#[derive(Debug)]
pub struct Embedded {
    /// The site.
    pub site: Site,
    /// Its platform.
    pub platform: Platform,
    /// Its targets.
    pub targets: Vec<Named>,
    /// Its daemons.
    pub daemons: Vec<Daemon>,
}

impl Embedded {
    /// Starts the platform, the targets and the daemons, and waits until the
    /// daemons are ready.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound or a daemon does not become
    /// ready in time.
    pub async fn start(site: Site) -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        site.publish(&platform);
        let targets = site.start_targets(&platform).await?;
        let mut daemons = Vec::new();
        for index in 0..site.daemons {
            let local = local(&site, index, platform.address())?;
            daemons.push(Daemon::start(local).await?);
        }
        platform.change_list(|list| {
            list.instances.extend(daemons.iter().map(listed));
        });
        let embedded = Self {
            site,
            platform,
            targets,
            daemons,
        };
        embedded.ready().await?;
        Ok(embedded)
    }

    /// Shuts the daemons down.
    pub async fn shut_down(&self) {
        let all = self.daemons.iter().map(Daemon::shut_down);
        futures::future::join_all(all).await;
    }

    /// Waits until each daemon has settings, the list and its majority.
    async fn ready(&self) -> anyhow::Result<()> {
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

async fn is_ready(daemon: &Daemon) -> bool {
    let read =
        |node: &gooseberry_kernel::node::Node, now| node.ready().is_ok() && node.holds_rights(now);
    daemon.context().node.look(read).await.unwrap_or(false)
}

fn local(site: &Site, index: usize, platform: SocketAddr) -> anyhow::Result<Local> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Local {
        instance: format!("entry-{}", index + 1).parse()?,
        domain: site.domains[index % site.domains.len()].parse()?,
        callers: any,
        data: any,
        control: any,
        operators: any,
        platform,
        log_level: "warn".to_owned(),
        log_format: LogFormat::Text,
        shutdown_limit: Millis::from_secs(15),
        has_fault_injection: false,
    })
}

/// Returns the entry of a daemon in the list.
#[must_use]
pub fn listed(daemon: &Daemon) -> Instance {
    let local = daemon.local();
    Instance {
        id: local.instance.as_str().into(),
        domain: local.domain.as_str().into(),
        control: local.control,
        data: local.data,
        state: State::Live,
    }
}
