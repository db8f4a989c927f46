//! Targets that send a second copy of an answer, on a connection that is in use again.

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::scripted::ScriptedRequest;
use gooseberry_platform_standin::scripted::ScriptedTarget;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;

use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::complete_answer_to;
use crate::platform::wait_until;

/// When the target sends the second copy of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    /// With the answer.
    AtOnce,
    /// Before the answer to the next such request on the connection.
    Late,
}

/// Starts a target that sends each answer twice, and a daemon that knows no other target
/// of the service.
async fn start<A>(service: &str, copy: Copy, answer: A) -> (TestPlatform, ScriptedTarget, Daemon)
where
    A: Fn(&ScriptedRequest) -> String + Clone + Send + Sync + 'static,
{
    let platform = TestPlatform::start().await;
    let script = move |requests: &[ScriptedRequest]| {
        let Some((last, earlier)) = requests.split_last() else {
            return String::new();
        };
        if copy == Copy::AtOnce {
            return answer(last).repeat(2);
        }
        let is_same_call = |request: &&ScriptedRequest| request.line() == last.line();
        let former = earlier.iter().rfind(is_same_call);
        former.map_or_else(String::new, &answer) + &answer(last)
    };
    let target = ScriptedTarget::start("twice-1", script).await;
    let all = [&platform.plain, &platform.engines, &platform.first];
    for known in all.into_iter().flatten() {
        if known.name.starts_with(service) {
            platform.store.remove(&format!("servers/{}", known.name));
        }
    }
    platform
        .store
        .put("servers/twice-1", &target.entry(service, "z-1"));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon knows the targets", || {
        daemon.context().state().listed_count() == 7
    })
    .await;
    (platform, target, daemon)
}

/// Returns an answer whose body names the attempt.
fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn proved(request: &ScriptedRequest) -> String {
    let attempt = request.header("Attempt-Id");
    let headers = format!("Attempt-Id: {attempt}\r\nResponse-Seal: s\r\n");
    answer("200 OK", &headers, attempt)
}

/// A failure that does not name the attempt.
fn anonymous_failure(request: &ScriptedRequest) -> String {
    answer("404 Not Found", "", request.header("Attempt-Id"))
}

#[tokio::test]
async fn no_client_gets_the_second_copy_of_an_answer() {
    for copy in [Copy::AtOnce, Copy::Late] {
        for path in ["/read/", "/once/"] {
            let (_platform, _target, daemon) = start("plain", copy, proved).await;
            for number in 0..20 {
                let client = ClientRequest::new(path);
                let answer = answer_to(&client, &daemon).await;
                // A copy in place of the answer leaves it unknown whether the request ran.
                let is_own = answer.status == 200 && answer.body == client.attempt;
                assert!(
                    is_own || answer.status == 502,
                    "{copy:?} {path} {number}: {answer:?}"
                );
                if copy == Copy::AtOnce {
                    assert_eq!(answer.status, 200, "{path} {number}");
                }
            }
        }
    }
}

#[tokio::test]
async fn no_client_gets_the_second_copy_of_a_failure_that_names_no_attempt() {
    for copy in [Copy::AtOnce, Copy::Late] {
        for path in ["/read/", "/once/"] {
            let (_platform, _target, daemon) = start("plain", copy, anonymous_failure).await;
            for number in 0..10 {
                let client = ClientRequest::new(path);
                let answer = answer_to(&client, &daemon).await;
                assert_eq!(answer.status, 404);
                assert_eq!(answer.body, client.attempt, "{copy:?} {path} {number}");
            }
        }
    }
}

/// Answers a call for pieces with handles that name the key of each piece.
fn pieces(request: &ScriptedRequest) -> String {
    let host = request.header("Host");
    let keys = request.body.split("\"key\":\"").skip(1);
    let keys = keys.filter_map(|rest| rest.split('"').next());
    let items = keys.map(|key| format!("{{\"handle\": \"{host}/{key}\"}}"));
    let items = items.collect::<Vec<_>>().join(",");
    let report = "\"waiting\": 0, \"busy\": false, \"free_mb\": 9";
    let body = format!("{{\"items\": [{items}], {report}}}");
    answer("200 OK", "", &body)
}

#[tokio::test]
async fn no_request_gets_the_results_of_the_second_copy_of_a_stage_call() {
    for copy in [Copy::AtOnce, Copy::Late] {
        let (platform, target, daemon) = start("first", copy, pieces).await;
        for number in 0..10 {
            let key = format!("key-{number}");
            let client = ClientRequest::new("/long/").with_stage_pieces("2");
            complete_answer_to(&client.clone().with("Piece-Key", &key), &daemon).await;
            let mut received = platform.engines.iter().flat_map(Target::received);
            let run = received.find(|run| run.header("Attempt-Id") == client.attempt);
            let inputs = run.expect("it has run").header("Inputs").to_owned();
            let own = format!("{}/{key}", target.address);
            assert_eq!(inputs, format!("{own},{own}"), "{copy:?} {number}");
        }
    }
}
