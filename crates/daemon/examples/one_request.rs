//! Serves one request through one daemon, with stand-ins for the platform and a
//! target, and prints the answer with its headers.
//!
//! Run it with `cargo run -p gooseberryd --example one_request`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_kernel::id;
use gooseberry_kernel::settings::Local;
use gooseberry_standin::platform;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::target::Plan;
use gooseberry_standin::target::Target;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use gooseberryd::daemon::Daemon;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let platform = Platform::start().await?;
    let target = Target::start(Plan::default()).await?;
    let address = target.address();
    platform.add_targets(vec![platform::live_target(
        "stock-1",
        "desk.stock",
        "huaraz",
        address,
    )]);
    platform.put("/fleet", r#"{ "freshness_ms": 500, "exchange_ms": 100 }"#);
    platform.put("/teams/desk", &team());

    let daemon = Daemon::start(local(platform.address())?).await?;
    platform.add_instance(Instance {
        id: "entry-1".into(),
        domain: "huaraz".into(),
        control: daemon.local().control,
        data: daemon.local().data,
        state: State::Live,
    });
    wait_until_ready(&daemon).await;

    let callers = daemon.local().callers;
    let request = Request::post(format!(
        "http://{callers}/v1/workspaces/desk.guides/pipelines/stock-lookup"
    ))
    .header("authorization", "Bearer secret")
    .body(Full::new(Bytes::from("crampons")))?;
    let response = http_client::new().request(request).await?;
    println!("{:#?}", response.headers());
    let body = response.into_body().collect().await?.to_bytes();
    println!("{}", String::from_utf8_lossy(&body));
    daemon.shut_down().await;
    Ok(())
}

fn team() -> String {
    let credential = id::Digest::of(b"secret");
    format!(
        r#"{{
          "pools": {{ "stock": {{ "kind": "service", "longest_call_ms": 500 }} }},
          "pipelines": {{ "stock-lookup": {{ "stages": [{{ "name": "read", "pool": "stock" }}] }} }},
          "workspaces": {{ "guides": {{ "credential_sha256": "{credential}", "pipelines": ["stock-lookup"] }} }}
        }}"#
    )
}

fn local(platform: SocketAddr) -> anyhow::Result<Local> {
    let text = format!(
        r#"{{
          "instance": "entry-1", "domain": "huaraz", "platform": "{platform}",
          "callers": "127.0.0.1:0", "data": "127.0.0.1:0",
          "control": "127.0.0.1:0", "operators": "127.0.0.1:0"
        }}"#
    );
    Ok(Local::parse(&text)?)
}

/// Waits until the daemon has read the platform and may act as an owner.
async fn wait_until_ready(daemon: &Daemon) {
    loop {
        let read = |node: &gooseberry_kernel::node::Node, now| {
            node.ready().is_ok() && node.holds_leases(now)
        };
        if daemon.context().node.read(read).await.unwrap_or(false) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
