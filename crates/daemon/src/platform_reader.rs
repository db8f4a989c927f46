//! Reads the list, the settings and the load reports from the platform.
//!
//! A few elected daemons of each failure domain poll the platform; the others
//! get the list and the settings from their peers. They poll only while the
//! list or the settings have not been confirmed for some time.

use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cold_reports;
use gooseberry_kernel::node::Node;
use gooseberry_wire::entries::Entries;
use gooseberry_wire::platform::Load;
use tokio::sync::watch;

use crate::actor::Message;
use crate::context::Context;

/// How long the platform may hold a long poll before it answers that nothing is
/// new.
const LONG_POLL_WAIT: Millis = Millis(1000);
/// The pause of an elected reader after a poll that failed or returned an old
/// revision.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The same pause for a daemon that is not elected. It is longer because the
/// whole fleet polls while the platform fails.
const NON_READER_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often a daemon that does not read checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often an elected reader polls the load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Long-polls the list until `stop` becomes true.
pub async fn watch_list(context: Arc<Context>, stop: watch::Receiver<bool>) {
    watch(context, stop, Node::is_list_reader, read_list).await;
}

/// Long-polls the settings until `stop` becomes true.
pub async fn watch_settings(context: Arc<Context>, stop: watch::Receiver<bool>) {
    watch(context, stop, Node::is_settings_reader, read_settings).await;
}

/// Polls the load reports of this daemon's failure domain until `stop` becomes
/// true.
pub async fn poll_load_reports(context: Arc<Context>, mut stop: watch::Receiver<bool>) {
    loop {
        let round = async {
            tokio::time::sleep(LOAD_REPORT_INTERVAL).await;
            let is_elected = context
                .node
                .read(|node, _| node.is_designated_reader())
                .await;
            if !is_elected.unwrap_or(false) {
                return;
            }
            if let Err(error) = read_load_reports(&context).await {
                log::debug!("the load reports could not be read: {error:#}");
            }
        };
        tokio::select! {
            () = round => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

async fn watch(
    context: Arc<Context>,
    mut stop: watch::Receiver<bool>,
    is_reader: fn(&Node, Millis) -> bool,
    read: impl AsyncFn(&Context) -> anyhow::Result<()>,
) {
    loop {
        let round = async {
            let is_reader = context.node.read(is_reader).await;
            if !is_reader.unwrap_or(false) {
                return tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            }
            if let Err(error) = read(&context).await {
                log::debug!("the platform could not be read: {error:#}");
                let is_elected = context
                    .node
                    .read(|node, _| node.is_designated_reader())
                    .await;
                let pause = if is_elected.unwrap_or(false) {
                    RETRY_PAUSE
                } else {
                    NON_READER_RETRY_PAUSE
                };
                tokio::time::sleep(pause).await;
            }
        };
        tokio::select! {
            () = round => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

async fn read_load_reports(context: &Context) -> anyhow::Result<()> {
    let asked_at = context.clock.now();
    let mut loads = context.platform.loads(&context.local.domain).await?;
    let is_cold = |load: &Load| load.is_cold && load.age_ms < cold_reports::REPORT_TTL.0;
    loads.readable.retain(is_cold);
    let reports: Entries<cold_reports::ColdReport> = loads.convert();
    if let Some(first) = reports.faults.first() {
        let count = reports.faults.len();
        log::debug!(reports = count, first = first.as_str(); "load reports cannot be used");
    }
    let reports = reports.readable;
    context
        .node
        .tell(Message::ReadColdTargets(reports, asked_at));
    Ok(())
}

async fn read_list(context: &Context) -> anyhow::Result<()> {
    let after = context
        .node
        .read(|node, _| node.leases().revision())
        .await?;
    let asked_at = context.clock.now();
    let list = context.platform.list(after, LONG_POLL_WAIT).await?;
    if let Some(old) = list.as_ref().filter(|list| list.revision <= after) {
        bail!("it returned the old list revision {}", old.revision.0);
    }
    context.node.tell(Message::ReadList(list, asked_at));
    Ok(())
}

async fn read_settings(context: &Context) -> anyhow::Result<()> {
    let after = context
        .node
        .read(|node, _| node.settings().revision())
        .await?;
    let asked_at = context.clock.now();
    let tree = context.platform.settings(after, LONG_POLL_WAIT).await?;
    if let Some(old) = tree.as_ref().filter(|tree| tree.revision <= after) {
        bail!("it returned the old settings revision {}", old.revision.0);
    }
    context.node.tell(Message::ReadSettings(tree, asked_at));
    Ok(())
}
