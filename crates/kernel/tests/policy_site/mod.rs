//! A single node that owns all targets of a small site, for tests of policies.

// Each test binary uses only some of the functions.
#![allow(dead_code)]

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Identity;
use gooseberry_kernel::node::IncomingRequest;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::published_list::Lifecycle;
use gooseberry_kernel::published_list::ListedTarget;
use gooseberry_kernel::published_list::Member;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::route::RouteQuery;
use gooseberry_kernel::settings::RawDocument;
use gooseberry_kernel::settings::Tree;
use gooseberry_kernel::slot::Call;

/// The time at which the node holds its leases and no call of a former owner can
/// still be running.
pub const READY: Millis = Millis(20_000);

const TEAM: &str = r#"{
  "pools": {
    "llm": { "kind": "engine", "cold_limit": 2, "warm_limit": 16, "queue_limit": 8, "longest_call_ms": 8000, "warm_after": 4 },
    "ledger": { "kind": "service", "cold_limit": 2, "warm_limit": 16, "queue_limit": 8, "longest_call_ms": 8000, "prefix_bytes": 0 }
  },
  "pipelines": {
    "brief": { "deadline_ms": 9000, "stages": [{ "name": "generate", "pool": "llm", "weight": 1 }] }
  },
  "workspaces": {
    "big": { "credential_sha256": "BIG", "weight": 1, "pipelines": ["brief"] },
    "small": { "credential_sha256": "SMALL", "weight": 1, "pipelines": ["brief"] }
  }
}"#;

/// Returns a node with the policy and a number of targets in each of two pools.
///
/// It is ready at [`READY`].
pub fn node(policy: &str, targets: usize) -> Node {
    let me = Identity {
        instance: id::Instance::new("entry-1").unwrap(),
        domain: id::Domain::new("huaraz").unwrap(),
    };
    let mut node = Node::new(me, 7, Millis::ZERO);
    let fleet = format!(r#"{{ "policy": "{policy}", "max_requests": 100 }}"#);
    node.apply_published_settings_now(&tree(&fleet), Millis::ZERO);
    node.apply_published_list_now(&list(1, targets), Millis::ZERO);
    node
}

/// Returns a settings tree with the given text of the fleet document.
pub fn tree(fleet: &str) -> Tree {
    let secret = |workspace: &str| id::Digest::of(workspace.as_bytes()).to_string();
    let team = TEAM.replace("BIG", &secret("desk.big"));
    let team = team.replace("SMALL", &secret("desk.small"));
    let document = |path: &str, text: &str| RawDocument {
        path: path.to_owned(),
        revision: Revision(1),
        text: text.into(),
    };
    Tree {
        revision: Revision(1),
        documents: vec![document("/fleet", fleet), document("/teams/desk", &team)],
    }
}

/// Returns a list with one daemon and `targets` targets of each of two pools, in
/// three failure domains.
pub fn list(revision: u64, targets: usize) -> PublishedList {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = Member {
        id: id::Instance::new("entry-1").unwrap(),
        domain: id::Domain::new("huaraz").unwrap(),
        control: address,
        data: address,
        state: Lifecycle::Live,
    };
    let domains = ["huaraz", "caraz", "chacas"];
    let entry = |index: usize| ListedTarget {
        id: target(index),
        pool: id::Pool::new("desk.llm").unwrap(),
        domain: id::Domain::new(domains[index % domains.len()]).unwrap(),
        address,
        state: Lifecycle::Live,
    };
    let ledger = |index: usize| ListedTarget {
        id: id::Target::new(&format!("ledger-{index}")).unwrap(),
        pool: id::Pool::new("desk.ledger").unwrap(),
        ..entry(index)
    };
    let engines = (0..targets).map(entry);
    let targets = engines.chain((0..targets).map(ledger)).collect();
    PublishedList::new(Revision(revision), vec![member], targets)
}

/// Returns the id of an engine target.
pub fn target(index: usize) -> id::Target {
    id::Target::new(&format!("llm-{index}")).unwrap()
}

/// Returns the id of the first attempt of a request.
pub fn attempt(number: u16) -> id::Attempt {
    id::Attempt {
        request: id::Request(u128::from(number)),
        stage: 0,
        number: 1,
    }
}

/// Returns a query for an engine target by the hash of a prefix.
pub fn query(prefix: u64) -> RouteQuery {
    RouteQuery {
        pool: id::Pool::new("desk.llm").unwrap(),
        prefix,
        tried: Vec::new(),
        digest: id::Digest([1; 32]),
    }
}

/// Returns a call to an engine target.
pub fn call(index: usize, number: u16, deadline: Millis) -> Call {
    Call {
        target: target(index),
        attempt: attempt(number),
        workspace: id::Workspace::new("desk.big").unwrap(),
        due: deadline,
        deadline,
        digest: id::Digest([1; 32]),
        crashes: 0,
    }
}

/// Returns an arriving request of a workspace.
pub fn arrival(workspace: &str, digest: u8) -> IncomingRequest {
    IncomingRequest {
        workspace: id::Workspace::new(workspace).unwrap(),
        pipeline: id::Pipeline::new("brief").unwrap(),
        credential: id::Digest::of(workspace.as_bytes()),
        timeout: None,
        digest: id::Digest([digest; 32]),
    }
}
