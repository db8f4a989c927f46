//! The status of a daemon and its routing explanations, as the JSON that
//! operators read.

use compact_str::CompactString;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::node;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::route::Exclusion;
use serde::Deserialize;
use serde::Serialize;

/// The status of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the daemon.
    pub instance: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Label of the error kind with which it refuses requests; `None` if it is
    /// ready.
    pub not_ready: Option<String>,
    /// Whether leases under its newest list are usable now, which needs recent
    /// acknowledgements from a majority of the members.
    pub holds_rights: bool,
    /// Revision of the newest list that it has read.
    pub list_revision: u64,
    /// Revision of the newest settings that it has read.
    pub settings_revision: u64,
    /// How long ago the platform confirmed both the list and the settings, in
    /// milliseconds; `None` if it never confirmed one of them.
    pub read_age_ms: Option<u64>,
    /// The daemons of which it needs a majority.
    pub members: Vec<CompactString>,
    /// Number of client requests in progress.
    pub requests: usize,
    /// Number of calls in flight at the targets that it owns.
    pub calls_in_flight: usize,
    /// Number of calls that wait for a free slot.
    pub calls_queued: usize,
    /// The targets that it owns.
    pub owned: Vec<Owned>,
    /// The settings documents that it refused.
    pub refused_documents: Vec<Refused>,
}

/// A target that a daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// The target.
    pub target: CompactString,
    /// Its pool.
    pub pool: CompactString,
    /// Number of calls in flight at it.
    pub in_flight: usize,
    /// Its current concurrency limit; `None` if no call was sent to it yet.
    pub limit: Option<u16>,
}

/// A settings document that a daemon refused; the last valid version stays in
/// force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The path of the document.
    pub path: String,
    /// Its revision.
    pub revision: u64,
    /// Its faults, one per line.
    pub faults: String,
}

/// What would happen to a request now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Label of the error kind with which it would be refused at once; `None` if
    /// it would be admitted.
    pub refusal: Option<String>,
    /// The owner of its idempotency key, if the pipeline needs a key.
    pub key: Option<Holder>,
    /// Its stages, in order.
    pub stages: Vec<Plan>,
}

/// The owner of a target or key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The owner according to the list.
    pub owner: Option<CompactString>,
    /// Whether the daemon that was asked holds the lease: held, or why it does not
    /// (no-majority, waiting, unconfirmed, no-past, given-up, elsewhere or
    /// nobody).
    pub right: String,
}

/// The targets that may serve one stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The stage.
    pub stage: CompactString,
    /// The pool that serves it.
    pub pool: CompactString,
    /// The targets of the pool; those that take new work come first.
    pub targets: Vec<Candidate>,
}

/// A target of a stage's pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target.
    pub target: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its owner.
    pub holder: Holder,
    /// Why it gets no new work (leaving, said-leaving or domain-out); `None` if
    /// it may get some.
    pub out: Option<String>,
    /// Its rank for the request's prompt prefix, from 1. Only the first stage has
    /// one, and only in a pool whose `prefix_bytes` is not 0.
    pub rank: Option<usize>,
    /// Whether it is tried last because it failed or was slow recently.
    pub avoided: bool,
    /// Number of calls in flight at it, if the daemon that was asked owns it.
    pub in_flight: Option<usize>,
    /// Its concurrency limit, if the daemon that was asked owns it.
    pub limit: Option<u16>,
    /// The load that its last reply reported, in percent of its slots.
    pub load_percent: u32,
}

impl Status {
    /// Returns the status of a node.
    #[must_use]
    pub fn of(node: &Node, now: Millis) -> Self {
        let identity = node.identity();
        let members = node.leases().members(now);
        let not_ready = node.ready().err().map(Kind::row);
        Self {
            instance: identity.instance.as_str().into(),
            domain: identity.domain.as_str().into(),
            ready: not_ready.is_none(),
            not_ready: not_ready.map(|row| row.label.to_owned()),
            holds_rights: node.holds_leases(now),
            list_revision: node.leases().revision().0,
            settings_revision: node.settings().revision().0,
            read_age_ms: node.confirmation_age(now).map(|age| age.0),
            members: members.iter().map(|id| id.as_str().into()).collect(),
            requests: node.requests(),
            calls_in_flight: node.slots().in_flight(),
            calls_queued: node.slots().queued(),
            owned: owned_targets(node, now),
            refused_documents: refused_documents(node),
        }
    }
}

fn owned_targets(node: &Node, now: Millis) -> Vec<Owned> {
    let Some(list) = node.leases().list() else {
        return Vec::new();
    };
    let identity = node.identity();
    let mut targets = Vec::new();
    for entry in &list.targets {
        let calls = node.in_flight_and_limit(&entry.id, now);
        // Computing an owner is expensive, and this daemon owns few targets of
        // other failure domains. Of those, only targets to which it has sent
        // calls are checked.
        if entry.domain != identity.domain && calls.is_none() {
            continue;
        }
        let owner = list.owner_of_target(entry);
        if owner.is_some_and(|owner| owner.id == identity.instance) {
            targets.push(Owned {
                target: entry.id.as_str().into(),
                pool: entry.pool.as_str().into(),
                in_flight: calls.map_or(0, |(in_flight, _)| in_flight),
                limit: calls.map(|(_, limit)| limit),
            });
        }
    }
    targets
}

fn refused_documents(node: &Node) -> Vec<Refused> {
    let refused = node
        .settings()
        .held_documents()
        .iter()
        .filter_map(|held_document| {
            let (document, faults) = held_document.refused.as_ref()?;
            Some(Refused {
                path: document.path.clone(),
                revision: document.revision.0,
                faults: faults.to_string(),
            })
        });
    refused.collect()
}

impl From<&node::Explanation> for Explanation {
    fn from(explanation: &node::Explanation) -> Self {
        let refusal = explanation.refusal.map(|kind| kind.row().label.to_owned());
        Self {
            refusal,
            key: explanation.key.as_ref().map(Into::into),
            stages: explanation.stages.iter().map(Into::into).collect(),
        }
    }
}

impl From<&node::Ownership> for Holder {
    fn from(ownership: &node::Ownership) -> Self {
        Self {
            owner: ownership.owner.as_ref().map(|id| id.as_str().into()),
            right: ownership.lease.label().to_owned(),
        }
    }
}

impl From<&node::StageCandidates> for Plan {
    fn from(plan: &node::StageCandidates) -> Self {
        Self {
            stage: plan.stage.as_str().into(),
            pool: plan.pool.as_str().into(),
            targets: plan.targets.iter().map(Into::into).collect(),
        }
    }
}

impl From<&node::Candidate> for Candidate {
    fn from(candidate: &node::Candidate) -> Self {
        Self {
            target: candidate.target.as_str().into(),
            domain: candidate.domain.as_str().into(),
            holder: (&candidate.ownership).into(),
            out: candidate
                .out
                .as_ref()
                .map(|out| exclusion_label(out).to_owned()),
            rank: candidate.rank,
            avoided: candidate.is_avoided,
            in_flight: candidate
                .in_flight_and_limit
                .map(|(in_flight, _)| in_flight),
            limit: candidate.in_flight_and_limit.map(|(_, limit)| limit),
            load_percent: candidate.load_percent,
        }
    }
}

/// Returns the label under which operators see why a target gets no new work.
const fn exclusion_label(out: &Exclusion) -> &'static str {
    match out {
        Exclusion::Leaving => "leaving",
        Exclusion::ReportedLeaving => "said-leaving",
        Exclusion::DomainOut => "domain-out",
    }
}
