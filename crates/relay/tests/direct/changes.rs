//! Changes at the store: settings, keys, targets, domains.

use gooseberry_platform_standin::client::Client;
use gooseberry_platform_standin::store::Mode;
use gooseberry_platform_standin::target::Target;

use crate::world::SETTINGS;
use crate::world::World;
use crate::world::front;
use crate::world::knows;
use crate::world::until;
use crate::world::until_status;

fn second(settings: &str) -> String {
    settings.replacen("\"version\": 1", "\"version\": 5", 1)
}

#[tokio::test]
async fn new_settings_are_in_force_and_never_revert() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let changed = second(SETTINGS)
        .replace("/open/", "/moved/")
        .replace("\"key-1\", ", "");
    world.store.put("op/config", &changed);
    until_status(&daemon, || Client::new("/once/"), 401).await;
    let with = |path: &str| Client::new(path).with("X-Api-Key", "key-2");
    assert_eq!(
        with("/moved/")
            .send(front(&daemon))
            .await
            .map(|one| one.status),
        Some(200)
    );
    assert_eq!(
        with("/open/")
            .send(front(&daemon))
            .await
            .map(|one| one.status),
        Some(404)
    );
    // An older version, and one that cannot be read, change nothing.
    world.store.put("op/config", SETTINGS);
    world
        .store
        .put("op/config", "{\"version\": 9, \"routes\": 3}");
    world.store.put("op/evacuate/z-9", "{}");
    until("both were read", || {
        daemon.context().state().taken_out().len() == 1
    })
    .await;
    assert_eq!(
        with("/moved/")
            .send(front(&daemon))
            .await
            .map(|one| one.status),
        Some(200)
    );
}

#[tokio::test]
async fn targets_that_leave_and_domains_that_are_taken_out_get_nothing() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    world.list(&world.plain[0], "plain", "draining");
    let usable = |count| {
        move |daemon: &gooseberry_relay::daemon::Daemon| {
            let state = daemon.context().state();
            let plain = gooseberry_kernel::name::Service::new("plain");
            state.makers(&plain, daemon.context().now()).len() == count
        }
    };
    until("the leaver is known", || usable(1)(&daemon)).await;
    let before = world.plain[0].seen().len();
    for _ in 0..10 {
        let answer = Client::new("/read/").send(front(&daemon)).await;
        assert_eq!(answer.map(|one| one.status), Some(200));
    }
    assert_eq!(world.plain[0].seen().len(), before);
    // The other one is in the domain that is taken out.
    world.store.put("op/evacuate/z-2", "{}");
    until("nobody is left", || usable(0)(&daemon)).await;
    let answer = Client::new("/once/").send(front(&daemon)).await;
    assert_eq!(answer.map(|one| one.status), Some(503));
    world.store.remove("op/evacuate/z-2");
    until_status(&daemon, || Client::new("/read/"), 200).await;
}

#[tokio::test]
async fn entries_of_other_writers_name_no_target_and_harm_nobody() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    world.store.put("servers/odd-1", "not json");
    world.store.put("servers/odd-2", "{\"service\": \"plain\"}");
    world.store.put("servers/odd-3", "{\"service\": \"plain\", \"address\": \"127.0.0.1:1\", \"zone\": \"z-1\", \"state\": \"confused\"}");
    world.store.put("else/where", "x");
    let more = Target::start("plain-3").await;
    world.list(&more, "plain", "ready");
    until("the good one is known", || knows(&daemon, 9)).await;
    let answer = Client::new("/read/").send(front(&daemon)).await;
    assert_eq!(answer.map(|one| one.status), Some(200));
    // A target whose entry turns bad is one that cannot be used.
    world.store.put("servers/plain-3", "{}");
    until("the bad one is gone", || knows(&daemon, 8)).await;
}

#[tokio::test]
async fn a_store_that_forgets_its_history_is_read_again() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    world.store.set(Mode::Busy);
    world.store.remove("servers/plain-1");
    world
        .store
        .put("op/config", &second(SETTINGS).replace("/open/", "/moved/"));
    world.store.forget();
    world.store.set(Mode::Good);
    until("the target is gone", || knows(&daemon, 7)).await;
    let answer = Client::new("/moved/").send(front(&daemon)).await;
    assert_eq!(answer.map(|one| one.status), Some(200));
}

/// Many daemons that start at once make more calls than the store takes. One
/// that began again with the first page after each refusal would never end.
#[tokio::test]
async fn a_store_that_takes_each_other_call_is_read_whole() {
    let world = World::start().await;
    world.store.set(Mode::Limited);
    let daemon = world.unready_daemon(1, &[]).await;
    until("the daemon knows all", || knows(&daemon, 8)).await;
    let answer = Client::new("/read/").send(front(&daemon)).await;
    assert_eq!(answer.map(|one| one.status), Some(200));
}
