//! Changes in the store: settings, API keys, targets and failure domains.

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store::Mode;
use gooseberry_platform_standin::target::Target;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_for_status;
use crate::platform::wait_until;

fn newer_version(settings: &str) -> String {
    settings.replacen("\"version\": 1", "\"version\": 5", 1)
}

#[tokio::test]
async fn newer_settings_take_effect_and_older_ones_are_ignored() {
    let (platform, daemon) = start_one().await;
    let changed = newer_version(SETTINGS)
        .replace("/open/", "/moved/")
        .replace("\"key-1\", ", "");
    platform.store.put("op/config", &changed);
    wait_for_status(&daemon, || ClientRequest::new("/once/"), 401).await;
    let with = |path: &str| ClientRequest::new(path).with("X-Api-Key", "key-2");
    assert_eq!(answer_to(&with("/moved/"), &daemon).await.status, 200);
    assert_eq!(answer_to(&with("/open/"), &daemon).await.status, 404);
    // Settings of an older version and unusable ones change nothing.
    platform.store.put("op/config", SETTINGS);
    platform
        .store
        .put("op/config", "{\"version\": 9, \"routes\": 3}");
    platform.store.put("op/evacuate/z-9", "{}");
    wait_until("both changes were read", || {
        daemon.context().state().taken_out().len() == 1
    })
    .await;
    assert_eq!(answer_to(&with("/moved/"), &daemon).await.status, 200);
}

#[tokio::test]
async fn draining_targets_and_evacuated_domains_get_no_requests() {
    let (platform, daemon) = start_one().await;
    platform.list_target(&platform.plain[0], "plain", "draining");
    let usable = |count| {
        move |daemon: &gooseberry_relay::daemon::Daemon| {
            let state = daemon.context().state();
            let plain = gooseberry_kernel::name::Service::new("plain");
            state.stage_targets(&plain, daemon.context().now()).len() == count
        }
    };
    wait_until("the draining target is not usable", || usable(1)(&daemon)).await;
    let before = platform.plain[0].received().len();
    for _ in 0..10 {
        let answer = answer_to(&ClientRequest::new("/read/"), &daemon).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(platform.plain[0].received().len(), before);
    // The other target is in the domain that is taken out.
    platform.store.put("op/evacuate/z-2", "{}");
    wait_until("no target is usable", || usable(0)(&daemon)).await;
    let answer = answer_to(&ClientRequest::new("/once/"), &daemon).await;
    assert_eq!(answer.status, 503);
    platform.store.remove("op/evacuate/z-2");
    wait_for_status(&daemon, || ClientRequest::new("/read/"), 200).await;
}

#[tokio::test]
async fn malformed_store_entries_are_ignored() {
    let (platform, daemon) = start_one().await;
    platform.store.put("servers/odd-1", "not json");
    platform
        .store
        .put("servers/odd-2", "{\"service\": \"plain\"}");
    platform.store.put("servers/odd-3", "{\"service\": \"plain\", \"address\": \"127.0.0.1:1\", \"zone\": \"z-1\", \"state\": \"confused\"}");
    platform.store.put("else/where", "x");
    let third = Target::start("plain-3").await;
    platform.list_target(&third, "plain", "ready");
    wait_until("the valid target is known", || is_ready_with(&daemon, 9)).await;
    let answer = answer_to(&ClientRequest::new("/read/"), &daemon).await;
    assert_eq!(answer.status, 200);
    // A target whose entry becomes malformed is removed.
    platform.store.put("servers/plain-3", "{}");
    wait_until("the malformed target is gone", || is_ready_with(&daemon, 8)).await;
}

#[tokio::test]
async fn the_store_is_read_again_in_full_after_it_compacted_its_history() {
    let (platform, daemon) = start_one().await;
    platform.store.set_mode(Mode::Busy);
    platform.store.remove("servers/plain-1");
    platform.store.put(
        "op/config",
        &newer_version(SETTINGS).replace("/open/", "/moved/"),
    );
    platform.store.compact_history();
    platform.store.set_mode(Mode::Normal);
    wait_until("the target is gone", || is_ready_with(&daemon, 7)).await;
    let answer = answer_to(&ClientRequest::new("/moved/"), &daemon).await;
    assert_eq!(answer.status, 200);
}

/// Many daemons that start at once make more calls than the store accepts. A
/// daemon that read from the first page again after each refused call would never
/// read all pages.
#[tokio::test]
async fn the_store_is_read_in_full_though_every_second_call_is_refused() {
    let platform = TestPlatform::start().await;
    platform.store.set_mode(Mode::RateLimited);
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon knows all targets", || is_ready_with(&daemon, 8)).await;
    let answer = answer_to(&ClientRequest::new("/read/"), &daemon).await;
    assert_eq!(answer.status, 200);
}
