//! Explains to operators where a request would go now, and why.
//!
//! This never changes the node, so operators can ask at any time. The result is
//! this node's view: only the owner of a target knows whether its lease is valid
//! and how loaded the target is.

use super::Node;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;
use crate::idempotency::Key;
use crate::lease::LeaseState;
use crate::lease::Resource;
use crate::lease::UnusableReason;
use crate::published_list::ListedTarget;
use crate::published_list::PublishedList;
use crate::route;
use crate::route::Exclusion;
use crate::route::RouteQuery;
use crate::settings::Pipeline;
use crate::settings::Stage;
use crate::settings::Workspace;

value! {
    /// A request that an operator asks about.
    pub struct ExplainRequest {
        /// The workspace.
        pub workspace: id::Workspace,
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// The idempotency key, if there is one.
        pub key: Option<String>,
        /// The body; its prefix determines the first stage's target.
        pub body: Vec<u8>,
        /// The digest of the workspace and the body.
        pub digest: id::Digest,
    }

    /// What would happen to the request now.
    pub struct Explanation {
        /// The error kind with which it would be refused at once; `None` if it
        /// would be admitted.
        pub refusal: Option<Kind>,
        /// The owner of its key, if its pipeline needs one and it has one.
        pub key: Option<Ownership>,
        /// Its stages, in order.
        pub stages: Vec<StageCandidates>,
    }

    /// The owner of a target or key.
    pub struct Ownership {
        /// The owner according to the list.
        pub owner: Option<id::Instance>,
        /// Whether the owner holds the lease, as far as this node knows.
        pub lease: LeaseStatus,
    }

    /// The targets to which one stage may go.
    pub struct StageCandidates {
        /// The stage.
        pub stage: id::Stage,
        /// The pool that serves it.
        pub pool: id::Pool,
        /// The targets of the pool; those that take new work come first.
        pub targets: Vec<Candidate>,
    }

    /// A target of a stage's pool.
    pub struct Candidate {
        /// The target.
        pub target: id::Target,
        /// Its failure domain.
        pub domain: id::Domain,
        /// Its owner.
        pub ownership: Ownership,
        /// Why it gets no new work; `None` if it may get some.
        pub out: Option<Exclusion>,
        /// Its rank by the prompt prefix, from 1. Only the first stage has one,
        /// and only in a pool with prefix caches: the input of a later stage is
        /// unknown before it runs, and without caches the choice among equal
        /// targets is random.
        pub rank: Option<usize>,
        /// Whether it is tried last because it failed or was slow recently.
        pub is_avoided: bool,
        /// The calls in flight and the limit, if this node is the owner and
        /// has sent it work.
        pub in_flight_and_limit: Option<(usize, u16)>,
        /// The load in the latest reply, in calls per hundred slots.
        pub load_percent: u32,
    }
}

scalar! {
    /// Whether an owner holds the lease on a target or key.
    pub enum LeaseStatus {
        /// This node owns it and holds the lease.
        Held,
        /// This node owns it, but too few members have acknowledged recently.
        NoMajority,
        /// This node owns it and waits until the former owner's lease expires.
        AwaitingFormerLease,
        /// This node owns it, but the platform has not confirmed the list recently
        /// enough.
        Unconfirmed,
        /// This node owns it, but started recently and does not yet know the
        /// recently replaced lists.
        RecentListsUnknown,
        /// This node owns it, but has relinquished its leases to shut down.
        Relinquished,
        /// Another node owns it; only that node knows the state of its lease.
        OwnedByAnother,
        /// The list names no owner.
        Unowned,
    }
}

impl LeaseStatus {
    /// Returns the label that operators see.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::NoMajority => "no-majority",
            Self::AwaitingFormerLease => "waiting",
            Self::Unconfirmed => "unconfirmed",
            Self::RecentListsUnknown => "no-past",
            Self::Relinquished => "given-up",
            Self::OwnedByAnother => "elsewhere",
            Self::Unowned => "nobody",
        }
    }
}

impl From<&LeaseState> for LeaseStatus {
    fn from(state: &LeaseState) -> Self {
        match state {
            LeaseState::Held { .. } => Self::Held,
            LeaseState::OwnedBy(_) => Self::OwnedByAnother,
            LeaseState::Unusable(UnusableReason::NoMajority) => Self::NoMajority,
            LeaseState::Unusable(UnusableReason::AwaitingFormerLease) => Self::AwaitingFormerLease,
            LeaseState::Unusable(UnusableReason::Unconfirmed) => Self::Unconfirmed,
            LeaseState::Unusable(UnusableReason::RecentListsUnknown) => Self::RecentListsUnknown,
            LeaseState::Unusable(UnusableReason::Relinquished) => Self::Relinquished,
            LeaseState::Unowned => Self::Unowned,
        }
    }
}

impl Node {
    /// Explains what would happen to a request now.
    ///
    /// # Errors
    /// Returns [`Kind::NotReady`] without a list, and [`Kind::NoPipeline`] if
    /// the workspace does not exist or may not call the pipeline.
    pub fn explain(&self, request: &ExplainRequest, now: Millis) -> Result<Explanation, Kind> {
        let list = self.leases.list().ok_or(Kind::NotReady)?;
        let workspace = self.settings.workspace(&request.workspace);
        let workspace = workspace.ok_or(Kind::NoPipeline)?;
        let pipeline = self.settings.pipeline(workspace, &request.pipeline);
        let pipeline = pipeline.ok_or(Kind::NoPipeline)?;
        let key = request.key.as_ref().map(|text| Key {
            workspace: request.workspace.clone(),
            pipeline: request.pipeline.clone(),
            text: text.clone(),
        });
        let key = key.filter(|_| !pipeline.is_idempotent());
        let ownership = key.map(|key| self.ownership(list, &Resource::Key(key.hash()), now));
        let mut stages = Vec::new();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let body = (index == 0).then_some(request.body.as_slice());
            stages.push(self.stage_candidates(list, workspace, stage, body, now));
        }
        let is_keyless = ownership.is_none() && !pipeline.is_idempotent();
        let refusal = self.refusal(pipeline, request, now);
        let refusal = refusal.or(is_keyless.then_some(Kind::KeyMissing));
        let refusal = refusal.or(ownership.as_ref().and_then(Ownership::refusal));
        let refusal = refusal.or(stages.iter().find_map(StageCandidates::refusal));
        Ok(Explanation {
            refusal,
            key: ownership,
            stages,
        })
    }

    fn refusal(&self, pipeline: &Pipeline, request: &ExplainRequest, now: Millis) -> Option<Kind> {
        if let Err(kind) = self.ready() {
            return Some(kind);
        }
        self.check_quarantine(pipeline, request.digest, now).err()
    }

    fn ownership(&self, list: &PublishedList, resource: &Resource, now: Millis) -> Ownership {
        Ownership {
            owner: crate::lease::owner(list, resource).cloned(),
            lease: LeaseStatus::from(&self.leases.lease_state(resource, now)),
        }
    }

    fn stage_candidates(
        &self,
        list: &PublishedList,
        workspace: &Workspace,
        stage: &Stage,
        body: Option<&[u8]>,
        now: Millis,
    ) -> StageCandidates {
        let prefix_length = self
            .settings
            .pool(&stage.pool)
            .map_or(0, |pool| pool.prefix_bytes);
        let prefix_length = usize::try_from(prefix_length).unwrap_or(usize::MAX);
        let prefix = body.map(|body| &body[..body.len().min(prefix_length)]);
        let query = RouteQuery {
            pool: stage.pool.clone(),
            prefix: Self::affinity(&workspace.id, prefix.unwrap_or_default()),
            tried: Vec::new(),
            digest: id::Digest([0; 32]),
        };
        let fleet = self.settings.fleet();
        let mut targets = Vec::new();
        for (index, entry) in self.ranked(list, &query, now).into_iter().enumerate() {
            let rank = prefix.filter(|_| prefix_length > 0).map(|_| index + 1);
            targets.push(self.candidate(list, &entry, rank, now));
        }
        let is_out =
            |target: &&ListedTarget| route::exclusion(target, fleet, &self.loads).is_some();
        let pool = list
            .targets
            .iter()
            .filter(|target| target.pool == stage.pool);
        for entry in pool.filter(is_out) {
            targets.push(self.candidate(list, entry, None, now));
        }
        StageCandidates {
            stage: stage.id.clone(),
            pool: stage.pool.clone(),
            targets,
        }
    }

    /// Returns the targets that take new work, in the order of preference.
    ///
    /// In a pool without a prefix the choice among equal targets is random, so
    /// this is only one of the possible orders.
    fn ranked(&self, list: &PublishedList, query: &RouteQuery, now: Millis) -> Vec<ListedTarget> {
        let Some(pool) = self.settings.pool(&query.pool) else {
            return Vec::new();
        };
        let mut index = route::PoolIndex::default();
        index.update(list);
        let route_context = route::RouteContext {
            list,
            index: &index,
            fleet: self.settings.fleet(),
            pool,
            loads: &self.loads,
            domain: &self.me.domain,
        };
        let ranked = route_context.ranked(query, query.prefix, now);
        ranked.into_iter().map(|(_, entry)| entry.clone()).collect()
    }

    fn candidate(
        &self,
        list: &PublishedList,
        entry: &ListedTarget,
        rank: Option<usize>,
        now: Millis,
    ) -> Candidate {
        let pool = self.settings.pool(&entry.pool);
        let percent = pool.map(|pool| self.loads.expected_load(&entry.id, pool, now));
        Candidate {
            target: entry.id.clone(),
            domain: entry.domain.clone(),
            ownership: self.ownership(list, &Resource::Target(entry.id.clone()), now),
            out: route::exclusion(entry, self.settings.fleet(), &self.loads),
            rank,
            is_avoided: self.loads.is_deprioritized(&entry.id, &entry.pool, now),
            in_flight_and_limit: self.in_flight_and_limit(&entry.id, now),
            load_percent: percent.unwrap_or_default(),
        }
    }
}

impl Ownership {
    fn refusal(&self) -> Option<Kind> {
        match self.lease {
            LeaseStatus::Held | LeaseStatus::OwnedByAnother => None,
            LeaseStatus::NoMajority
            | LeaseStatus::AwaitingFormerLease
            | LeaseStatus::Unconfirmed
            | LeaseStatus::RecentListsUnknown
            | LeaseStatus::Relinquished => Some(Kind::NoRight),
            LeaseStatus::Unowned => Some(Kind::NoOwner),
        }
    }
}

impl StageCandidates {
    fn refusal(&self) -> Option<Kind> {
        let mut available = self
            .targets
            .iter()
            .filter(|candidate| candidate.out.is_none());
        let Some(first) = available.next() else {
            return Some(Kind::NoTarget);
        };
        let is_usable = |candidate: &Candidate| candidate.ownership.refusal().is_none();
        if is_usable(first) || available.any(is_usable) {
            return None;
        }
        first.ownership.refusal()
    }
}
