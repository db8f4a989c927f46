//! Entries that another writer left among those that the platform publishes.

use gooseberry_kernel::published_list::Revision;
use gooseberry_standin::platform::live_target;
use gooseberry_wire::platform::Load;

use crate::fleet::Fleet;
use crate::fleet::wait_until;

/// A daemon that no longer follows the list calls targets that have left.
#[tokio::test(flavor = "multi_thread")]
async fn the_list_is_followed_past_an_odd_entry() {
    let fleet = Fleet::start().await;
    let sound = &fleet.platform.list().targets[0];
    let odd = live_target("Not An Id", &sound.pool, &sound.domain, sound.address);
    fleet.platform.add_targets(vec![odd]);
    let is_read = async || {
        let revision = Revision(fleet.platform.list().revision);
        let node = &fleet.daemon.context().node;
        node.read(move |node, _| node.leases().revision() == revision)
            .await
            .unwrap()
    };
    wait_until("the list with the odd entry is read", is_read).await;
}

/// An owner that does not learn that its target has become cold overloads it.
#[tokio::test(flavor = "multi_thread")]
async fn reports_of_cold_targets_are_read_beside_an_odd_one() {
    let fleet = Fleet::start().await;
    let sound = &fleet.platform.list().targets[0];
    let odd = live_target("Not An Id", &sound.pool, &sound.domain, sound.address);
    let targets = [odd.id.clone(), sound.id.clone()];
    fleet.platform.add_targets(vec![odd]);
    for target in targets {
        fleet.platform.report_load(Load {
            target,
            in_flight: 0,
            is_cold: true,
            age_ms: 0,
        });
    }
    let is_read = async || {
        let node = &fleet.daemon.context().node;
        let reports = node.read(|node, now| node.heartbeat(now).cold.len()).await;
        reports.unwrap() == 1
    };
    wait_until("the report of the sound target is read", is_read).await;
}
