//! The simulated platform, which keeps every version of the list and settings.

use std::net::SocketAddr;
use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::published_list::Lifecycle;
use gooseberry_kernel::published_list::ListedTarget;
use gooseberry_kernel::published_list::Member;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::settings::RawDocument;
use gooseberry_kernel::settings::Tree;

use super::HORIZON;
use super::LONGEST_CALL;
use super::TARGETS;
use super::target_id;

/// How long a dropped daemon still counts as a member.
pub const DROPPED_MEMORY: Millis = Millis(12_000);
/// The default freshness in the settings, in milliseconds.
pub const FRESHNESS: u64 = 600;

const TEAM: &str = r#"{
  "pools": { "ledger": { "kind": "service", "cold_limit": 2, "warm_limit": 8,
    "queue_limit": 8, "longest_call_ms": LONGEST, "warm_after": 100, "prefix_bytes": 0 } },
  "pipelines": { "booking": { "deadline_ms": 2000, "stages": [
    { "name": "book", "pool": "ledger", "idempotent": false, "attempts": 1, "weight": 1 } ] } },
  "workspaces": { "porters": {
    "credential_sha256": "c874475a550deae095ee4c59502866d955ba6b1ae5ae0a0105d75181b580b4ee",
    "weight": 1, "pipelines": ["booking"], "late_answers": false,
    "trusts_attempt_number": true } }
}"#;

#[derive(Debug)]
pub struct Platform {
    pub down_until: Millis,
    pub stale_until: Millis,
    /// How many versions the served list lags behind the newest one.
    pub list_lag: usize,
    /// How many versions the served settings lag behind the newest ones.
    pub settings_lag: usize,
    /// Whether each answer is the newest version, unless a lag is set.
    pub is_exact: bool,
    /// How long an answer takes.
    pub delay: Millis,
    members: Vec<Member>,
    lists: Vec<PublishedList>,
    trees: Vec<Tree>,
    freshness: u64,
}

impl Platform {
    pub fn new() -> Self {
        let mut platform = Self {
            down_until: Millis::ZERO,
            stale_until: Millis::ZERO,
            is_exact: false,
            list_lag: 0,
            settings_lag: 0,
            delay: Millis::ZERO,
            members: Vec::new(),
            lists: Vec::new(),
            trees: Vec::new(),
            freshness: FRESHNESS,
        };
        let team = TEAM.replace("LONGEST", &LONGEST_CALL.to_string());
        platform.put("/teams/desk", &team);
        platform.put_fleet(true, None);
        platform
    }

    pub fn list_daemon(&mut self, id: &id::Instance, domain: &id::Domain) {
        self.members.retain(|member| member.id != *id);
        self.members.push(Member {
            id: id.clone(),
            domain: domain.clone(),
            control: address(),
            data: address(),
            state: Lifecycle::Live,
        });
    }

    pub fn drop_daemon(&mut self, id: &id::Instance) {
        self.members.retain(|member| member.id != *id);
    }

    pub fn mark_leaving(&mut self, id: &id::Instance) {
        for member in self.members.iter_mut().filter(|member| member.id == *id) {
            member.state = Lifecycle::Leaving;
        }
    }

    /// Publishes the list under the next revision.
    pub fn publish(&mut self) {
        let revision = Revision(self.lists.len() as u64 + 1);
        let targets = (0..TARGETS).map(|target| ListedTarget {
            id: target_id(target),
            pool: id::Pool::new("desk.ledger").unwrap(),
            // The failure domain of the second target has no daemons.
            domain: id::Domain::new(["north", "east"][usize::from(target) % 2]).unwrap(),
            address: address(),
            state: Lifecycle::Live,
        });
        let list = PublishedList::new(revision, self.members.clone(), targets.collect());
        self.lists.push(list);
    }

    /// Publishes the fleet document, with a syntax error unless `is_good`.
    pub fn put_fleet(&mut self, is_good: bool, freshness: Option<u64>) {
        self.freshness = freshness.unwrap_or(self.freshness);
        let freshness = self.freshness;
        let text = format!(
            r#"{{ "freshness_ms": {freshness}, "exchange_ms": 200, "horizon_ms": {HORIZON},
            "dropped_memory_ms": {DROPPED_MEMORY}, "readers": 1 }}"#
        );
        let text = if is_good { text } else { "{ oops".to_owned() };
        self.put("/fleet", &text);
    }

    /// Publishes a document at the path.
    pub fn put(&mut self, path: &str, text: &str) {
        let mut tree = self.trees.last().cloned().unwrap_or_default();
        tree.revision = Revision(tree.revision.0 + 1);
        tree.documents.retain(|document| document.path != path);
        tree.documents.push(RawDocument {
            path: path.to_owned(),
            revision: tree.revision,
            text: Arc::from(text),
        });
        self.trees.push(tree);
    }

    /// Returns the list that is `lag` versions older than the newest.
    pub fn list(&self, lag: usize) -> PublishedList {
        self.lists[self.lists.len().saturating_sub(1 + lag)].clone()
    }

    /// Returns the settings that are `lag` versions older than the newest.
    pub fn tree(&self, lag: usize) -> Tree {
        self.trees[self.trees.len().saturating_sub(1 + lag)].clone()
    }

    pub fn revision(&self) -> Revision {
        self.trees.last().unwrap().revision
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
