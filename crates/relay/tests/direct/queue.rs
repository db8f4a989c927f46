//! Requests that wait for a place at a target.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_relay::daemon::Daemon;
use gooseberry_relay::state::Admission;
use gooseberry_relay::state::Decision;
use gooseberry_relay::state::Need;
use gooseberry_relay::state::Pick;
use gooseberry_relay::state::Seat;
use gooseberry_relay::state::State;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::wait_until;

/// Starts a daemon whose plain service has one target, which accepts one connection.
async fn start_narrow() -> (TestPlatform, Daemon) {
    let platform = TestPlatform::start().await;
    let urgent = r#""routes": [
    {"name": "r-urgent", "host": "a.example", "prefix": "/urgent/", "kind": "idempotent",
     "timeout_ms": 20000, "target_latency_ms": 5000, "priority": 0, "service": "plain",
     "max_attempts": 1},"#;
    let settings = SETTINGS.replacen("\"routes\": [", urgent, 1);
    let narrow = r#""plain", "max_conns": 1}"#;
    let settings = settings.replacen(r#""plain", "max_conns": 100}"#, narrow, 1);
    platform.store.put("op/config", &settings);
    let second = &platform.plain[1];
    platform.store.remove(&format!("servers/{}", second.name));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 7)).await;
    (platform, daemon)
}

fn spawn(daemon: &Daemon, path: &str) -> JoinHandle<Option<Answer>> {
    let client = ClientRequest::new(path).with("Deadline-Ms", "15000");
    let address = client_address(daemon);
    tokio::spawn(async move { client.send(address).await })
}

/// Returns a metric of the daemon.
fn metric(daemon: &Daemon, name: &str) -> u64 {
    let text = daemon.context().metrics.text().expect("metrics");
    let text = String::from_utf8_lossy(&text).into_owned();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or_default()
}

async fn wait_for_depth(daemon: &Daemon, depth: u64) {
    let found = || metric(daemon, "gooseberry_relay_queue_depth") == depth;
    wait_until("so many requests wait", found).await;
}

/// Sends requests one after the other, while the first one has the only place.
async fn occupy(daemon: &Daemon, paths: &[&str]) -> Vec<JoinHandle<Option<Answer>>> {
    let mut sent = Vec::new();
    for (index, path) in paths.iter().enumerate() {
        sent.push(spawn(daemon, path));
        wait_for_depth(daemon, index as u64).await;
        if index == 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }
    sent
}

/// Guards against an order by chance among requests that wait.
#[tokio::test]
async fn a_place_goes_to_the_most_urgent_request_that_waits() {
    let (platform, daemon) = start_narrow().await;
    platform.plain[0].queue_modes(&[Mode::Delayed(600)]);
    let paths = ["/urgent/first", "/once/b", "/read/c", "/urgent/d"];
    for answer in join_all(occupy(&daemon, &paths).await).await {
        let answer = answer.expect("no panic").expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    let received = platform.plain[0].received();
    let order: Vec<&str> = received.iter().map(|seen| seen.path.as_str()).collect();
    assert_eq!(order, ["/urgent/first", "/urgent/d", "/once/b", "/read/c"]);
    assert_eq!(
        metric(&daemon, "gooseberry_relay_queue_total{end=\"served\"}"),
        3
    );
}

/// Guards against a wake-up that is lost with the client for which it was meant.
#[tokio::test]
async fn a_client_that_leaves_does_not_take_the_place_along() {
    let (platform, daemon) = start_narrow().await;
    platform.plain[0].queue_modes(&[Mode::Delayed(400)]);
    let mut sent = occupy(&daemon, &["/read/a", "/urgent/b", "/read/c"]).await;
    let last = sent.pop().expect("it was sent");
    sent.pop().expect("it was sent").abort();
    wait_for_depth(&daemon, 1).await;
    let answer = last.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(
        metric(&daemon, "gooseberry_relay_queue_total{end=\"abandoned\"}"),
        1
    );
}

/// Guards against the loss of a place whose request leaves just as it gets it.
#[tokio::test]
async fn a_place_that_is_not_taken_goes_to_the_next_request() {
    let (_platform, daemon) = start_narrow().await;
    let context = daemon.context();
    let mut state = context.state();
    let name = name::Service::new("plain");
    let table = state.routing_table().expect("settings").clone();
    let service: Arc<Service> = table.service(&name).expect("it is known").clone();
    let ask = |state: &mut State, now: Millis| {
        let need = Need {
            preferred: None,
            service: &service,
            version: None,
            affinity: None,
            only: None,
            tried: &[],
            draw: 1,
            due: now + Millis(5_000),
            rank: Rank(0),
            workspace: None,
            on_time_by: now + Millis(1_000),
            work: 1,
        };
        state.pick_or_wait(need, now)
    };
    let now = context.now();
    let Admission::Decided(Pick::Target(first)) = ask(&mut state, now) else {
        panic!("the target is free");
    };
    let [second, third]: [Seat; 2] = [now, now + Millis(1)].map(|now| match ask(&mut state, now) {
        Admission::Waits(seat) => seat,
        Admission::Decided(pick) => panic!("the target is full: {pick:?}"),
    });
    assert_eq!((second.position, third.position, third.length), (0, 1, 2));
    state.record_request_end(&first, now);
    assert!(state.take_decision(&name, third.ticket).is_none());
    state.leave_queue(&name, second.ticket, now);
    let decision = state.take_decision(&name, third.ticket);
    assert!(matches!(decision, Some(Decision::Picked(Pick::Target(_)))));
}

/// Guards against places that stay unused until a timer. The requests begin to wait 110 ms
/// before the end of the first, so that a timer of 25 ms would be 15 ms late.
#[tokio::test]
async fn a_place_that_falls_free_is_used_at_once() {
    let (platform, daemon) = start_narrow().await;
    let mut gaps = Vec::new();
    for _ in 0..7 {
        platform.plain[0].queue_modes(&[Mode::Delayed(115)]);
        let timed = |sent: JoinHandle<Option<Answer>>| async {
            let answer = sent.await.expect("no panic").expect("an answer");
            assert_eq!(answer.status, 200);
            Instant::now()
        };
        let first = spawn(&daemon, "/urgent/a");
        sleep(Duration::from_millis(5)).await;
        let second = spawn(&daemon, "/urgent/b");
        let (first, second) = join(timed(first), timed(second)).await;
        gaps.push(second - first);
    }
    gaps.sort_unstable();
    assert!(gaps[3] < Duration::from_millis(10), "{gaps:?}");
}

/// Guards against a stop that cuts the requests that wait.
#[tokio::test]
async fn a_stop_under_load_answers_all_that_wait() {
    let (platform, daemon) = start_narrow().await;
    platform.plain[0].queue_modes(&[Mode::Delayed(10_000)]);
    let mut sent = occupy(&daemon, &["/urgent/"; 12]).await;
    let _in_flight = sent.remove(0);
    daemon.shut_down().await;
    assert!(sent.iter().all(JoinHandle::is_finished));
    for answer in join_all(sent).await {
        let answer = answer.expect("no panic").expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (503, true));
        assert!(!answer.header("Retry-After").is_empty());
    }
}

/// Guards against requests that wait without hope, and against refusals of others.
#[tokio::test]
async fn requests_that_cannot_begin_in_time_are_refused_early() {
    let (platform, daemon) = start_narrow().await;
    platform.plain[0].queue_modes(&[Mode::Delayed(150); 60]);
    let begun = Instant::now();
    let sent = (0..60).map(|_| spawn(&daemon, "/read/"));
    let answers = join_all(sent.collect::<Vec<_>>()).await;
    let answers = answers.into_iter().flatten().flatten();
    let (mut served, mut refused, mut cut, mut silent) = (0, 0, 0, 0);
    for answer in answers {
        let had_target = platform.runs(answer.header("Attempt-Id")) > 0;
        match answer.status {
            200 => served += 1,
            // The target had it when its time ended.
            504 if had_target => cut += 1,
            // The target took longer than two objectives, as on a busy machine, and there was
            // no place for a second try: it may have run.
            502 if had_target => silent += 1,
            _ => {
                let has_time = !answer.header("Retry-After").is_empty();
                assert_eq!((answer.status, has_time), (503, true));
                refused += 1;
            }
        }
    }
    assert_eq!(served + refused + cut + silent, 60);
    assert!(cut <= 1 && silent <= 1, "{cut}, {silent}");
    // Ten fit into the 1.5 s of the route.
    assert!(served >= 7, "{served} after {:?}", begun.elapsed());
    let early = metric(
        &daemon,
        "gooseberry_relay_queue_total{end=\"cannot-begin\"}",
    );
    assert!(early >= 30, "{early}");
}
