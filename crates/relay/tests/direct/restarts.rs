//! What a daemon serves with that has just been started again.

use std::time::Duration;

use gooseberry_kernel::fleet::startup::CONFIRMATION_WAIT;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::store;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::start_daemon;
use crate::platform::unused_ip;
use crate::platform::wait_until;

/// How often the case of a slow store is played, at most, until its answer comes in time.
const PLAYS_MAX: usize = 5;

/// Starts a proxy of the store, which daemons may be cut off from.
fn store_gateway(platform: &TestPlatform) -> Gateway {
    let address = (unused_ip(), 8_100).into();
    Gateway::start(address, platform.store.address).expect("the address is free")
}

/// Starts a daemon that is cut off from the store once it has its contents. A key is
/// withdrawn and a target leaves after that.
async fn start_stale_peer(platform: &TestPlatform) -> (Gateway, Daemon) {
    let gateway = store_gateway(platform);
    let stale = start_daemon(1, &[], gateway.address).await;
    wait_until("the peer is ready", || stale.context().state().is_ready()).await;
    gateway.set(Partition::Silent);
    let settings = SETTINGS.replacen("\"version\": 1", "\"version\": 2", 1);
    let settings = settings.replace("[\"key-1\", \"key-2\"]", "[\"key-1\"]");
    platform.store.put("op/config", &settings);
    platform.list_target(&platform.plain[0], "plain", "draining");
    sleep(Duration::from_secs(2)).await;
    (gateway, stale)
}

/// Sends requests with the withdrawn key until the daemon has stopped to refuse all
/// requests; returns the status of the first answer.
async fn first_status(daemon: &Daemon) -> u16 {
    loop {
        let client = ClientRequest::new("/read/").with("X-Api-Key", "key-2");
        let status = answer_to(&client, daemon).await.status;
        if status != 503 {
            return status;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_restarted_daemon_does_not_use_what_a_peer_still_has_of_a_withdrawn_key() {
    let platform = TestPlatform::start().await;
    let (_gateway, stale) = start_stale_peer(&platform).await;
    // Its own reads of the store take longer than a call to the peer.
    let slow = store_gateway(&platform);
    let seed = stale.context().boot.peer_address;
    let mut plays = Vec::new();
    // The store answers some 100 ms before the daemon stops waiting for it. If it is later, what
    // peers have is the best there is, which is not the case here.
    let (fresh, status, before) = loop {
        let before = platform.plain[0].received().len();
        slow.set(Partition::Silent);
        let fresh = start_daemon(2, &[seed], slow.address).await;
        let (status, ()) = futures::future::join(first_status(&fresh), async {
            sleep(Duration::from_millis(900)).await;
            slow.set(Partition::None);
        })
        .await;
        let now = fresh.context().now();
        let is_confirmed = fresh.context().state().confirmed_age(now).is_some();
        plays.push((status, now, is_confirmed));
        if is_confirmed || now < CONFIRMATION_WAIT {
            break (fresh, status, before);
        }
        assert!(
            plays.len() < PLAYS_MAX,
            "the store was always late: {plays:?}"
        );
        fresh.kill().await;
    };
    assert_eq!(status, 401, "{plays:?}");
    for _ in 0..20 {
        assert_eq!(
            answer_to(&ClientRequest::new("/read/"), &fresh)
                .await
                .status,
            200
        );
    }
    assert_eq!(platform.plain[0].received().len(), before);
}

#[tokio::test]
async fn a_restarted_daemon_serves_with_the_contents_of_a_peer_while_the_store_is_down() {
    let platform = TestPlatform::start().await;
    let (_gateway, stale) = start_stale_peer(&platform).await;
    platform.store.set_mode(store::Mode::Unresponsive);
    let seed = stale.context().boot.peer_address;
    let began = Instant::now();
    let fresh = start_daemon(2, &[seed], platform.store.address).await;
    wait_until("it is ready", || fresh.context().state().is_ready()).await;
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    let answer = answer_to(&ClientRequest::new("/read/"), &fresh).await;
    assert_eq!(answer.status, 200);
}
