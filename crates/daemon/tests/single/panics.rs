//! Panics of the node.

use std::time::Duration;

use tokio::time::timeout;

use crate::fleet::Fleet;

/// A process whose node has ended refuses all requests; it has to end so that it is started
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_the_node_after_a_panic_is_noticed() {
    let fleet = Fleet::start().await;
    let ended = fleet.daemon.node_ended();
    tokio::pin!(ended);
    let before = timeout(Duration::from_millis(100), ended.as_mut()).await;
    assert!(before.is_err(), "the node runs");
    let node = &fleet.daemon.context().node;
    let read = node.read::<()>(|_, _| panic!("a test")).await;
    assert!(read.is_err());
    let after = timeout(Duration::from_secs(5), ended).await;
    assert!(after.is_ok(), "the node has ended");
}
