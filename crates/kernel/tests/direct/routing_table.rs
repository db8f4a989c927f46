use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::ApiKey;
use gooseberry_kernel::request::routing_table::ClientLimits;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_kernel::request::routing_table::Route;
use gooseberry_kernel::request::routing_table::RoutingTable;
use gooseberry_kernel::request::routing_table::Share;

pub fn route(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| Share {
        service: name::Service::new(service),
        weight: *weight,
    };
    Route {
        name: name::Route::new(prefix),
        host: host.into(),
        prefix: prefix.into(),
        form: ResponseForm::Plain,
        is_idempotent: true,
        is_resumable: false,
        is_anonymous: false,
        timeout: Millis(1_000),
        objective: Millis(100),
        max_event_gap: Millis(300),
        rank: 1,
        max_attempts: 2,
        shares: shares.iter().map(share).collect(),
        stages: Vec::new(),
    }
}

pub fn table() -> RoutingTable {
    let key = |text: &str, workspace| ApiKey {
        text: text.into(),
        workspace: name::Workspace::new(workspace),
        rank: None,
    };
    let routes = [
        route("b.example", "/a/", &[("x", 1)]),
        route("a.example", "/a/", &[("x", 1)]),
        route("a.example", "/a/b/", &[("x", 90), ("y", 10)]),
        route("a.example", "/", &[("x", 1)]),
    ];
    let mut table = RoutingTable {
        version: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: Vec::new(),
        keys: vec![key("k2", "beta"), key("k1", "alpha")],
        has_keys: true,
        limits: ClientLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Millis(1),
            idle_timeout: Millis(1),
        },
    };
    table.sort();
    table
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let prefix = |host: &str, path: &str| {
        let route = table.route(host, path);
        route.map(|route| route.prefix.to_string())
    };
    assert_eq!(prefix("a.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix("a.example", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(prefix("a.example", "/x").as_deref(), Some("/"));
    assert_eq!(prefix("b.example", "/x"), None);
    assert_eq!(prefix("c.example", "/a/"), None);
}

#[test]
fn requests_are_split_by_share_weight() {
    let table = table();
    let route = table
        .route("a.example", "/a/b/c")
        .expect("the route exists");
    let picked = (0..10_000).filter(|index| {
        let attempt = name::Attempt::new(&format!("request-{index}"));
        route.pick_service(&attempt) == Some(&name::Service::new("y"))
    });
    let picked = picked.count();
    assert!(
        (850..1_150).contains(&picked),
        "{picked} of 10000 requests for a tenth of the weight"
    );
}

#[test]
fn keys_name_their_workspaces() {
    let table = table();
    let workspace = |key| table.key(key).map(|key| key.workspace.to_string());
    assert_eq!(workspace("k1").as_deref(), Some("alpha"));
    assert_eq!(workspace("k2").as_deref(), Some("beta"));
    assert_eq!(workspace("k3"), None);
}

#[test]
fn workspace_rank_takes_precedence_over_route_rank() {
    let ranks = [
        Rank::combine(Some(0), 2),
        Rank::combine(Some(1), 0),
        Rank::combine(Some(1), 1),
        Rank::combine(Some(1), 2),
        Rank::combine(Some(200), 200),
    ];
    assert!(ranks.is_sorted());
    assert_eq!(
        ranks.iter().map(|rank| rank.level()).max(),
        Some(Rank::LEVELS - 1)
    );
    assert_eq!(Rank::combine(None, 1), Rank::combine(Some(1), 1));
}
