//! Why a request would go where it goes now, for operators.
//!
//! Nothing here changes the node, so an operator can ask at any time. The
//! answer is this node's view: the owner of a target alone knows whether its
//! right holds and how full the target is.

use super::Node;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;
use crate::once::Key;
use crate::roster::Entry;
use crate::roster::List;
use crate::route;
use crate::route::Exclusion;
use crate::route::RouteQuery;
use crate::settings::Pipeline;
use crate::settings::Stage;
use crate::settings::Workspace;
use crate::tenure::Rest;
use crate::tenure::Right;
use crate::tenure::Thing;

value! {
    /// A request that an operator asks about.
    pub struct Question {
        /// The workspace.
        pub workspace: id::Workspace,
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// The idempotency key, if there is one.
        pub key: Option<String>,
        /// The body; its start decides where the first stage goes.
        pub body: Vec<u8>,
        /// The digest of the workspace and the body.
        pub digest: id::Digest,
    }

    /// What would become of the request now.
    pub struct Explanation {
        /// With which kind it would be refused at once, if it would be.
        pub refusal: Option<Kind>,
        /// The owner of its key, if it has one.
        pub key: Option<Holder>,
        /// Its stages in their order.
        pub stages: Vec<Plan>,
    }

    /// The owner of a target or key.
    pub struct Holder {
        /// The owner by the list.
        pub owner: Option<id::Instance>,
        /// Whether the owner may use its right, as far as this node knows.
        pub standing: Standing,
    }

    /// Where one stage may go.
    pub struct Plan {
        /// The stage.
        pub stage: id::Stage,
        /// The pool that serves it.
        pub pool: id::Pool,
        /// The targets of the pool, those that may be given work first.
        pub targets: Vec<Candidate>,
    }

    /// A target of a stage's pool.
    pub struct Candidate {
        /// The target.
        pub target: id::Target,
        /// Its failure domain.
        pub domain: id::Domain,
        /// Its owner.
        pub holder: Holder,
        /// Why it is given no work, if there is a reason.
        pub out: Option<Exclusion>,
        /// Its rank by the prompt prefix, from one. Only the first stage has
        /// one, and only in a pool with caches: the input of a later stage is
        /// not known before it runs, and without caches equals are drawn from.
        pub rank: Option<usize>,
        /// Whether it is tried last, since it failed or was slow lately.
        pub is_avoided: bool,
        /// The calls in flight and the limit, if this node is the owner and
        /// has sent it work.
        pub places: Option<(usize, u16)>,
        /// The load that replies have last told of, in calls for each hundred
        /// places.
        pub load_percent: u32,
    }
}

scalar! {
    /// Whether an owner may use its right.
    pub enum Standing {
        /// This node owns it and may use the right.
        Held,
        /// This node owns it, but too few members have acknowledged lately.
        NoMajority,
        /// This node owns it and waits until a former owner's right has ended.
        Waiting,
        /// This node owns it, but the platform has long not confirmed the list.
        Unconfirmed,
        /// This node owns it, but is fresh and lacks the lists of late.
        NoPast,
        /// This node owns it, but has given up its rights to leave.
        GivenUp,
        /// Another node owns it and knows.
        Elsewhere,
        /// The list names no owner.
        Nobody,
    }
}

impl Standing {
    /// Returns the standing as operators read it.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::NoMajority => "no-majority",
            Self::Waiting => "waiting",
            Self::Unconfirmed => "unconfirmed",
            Self::NoPast => "no-past",
            Self::GivenUp => "given-up",
            Self::Elsewhere => "elsewhere",
            Self::Nobody => "nobody",
        }
    }
}

impl From<&Right> for Standing {
    fn from(right: &Right) -> Self {
        match right {
            Right::Held { .. } => Self::Held,
            Right::Elsewhere(_) => Self::Elsewhere,
            Right::Resting(Rest::NoMajority) => Self::NoMajority,
            Right::Resting(Rest::Waiting) => Self::Waiting,
            Right::Resting(Rest::Unconfirmed) => Self::Unconfirmed,
            Right::Resting(Rest::NoPast) => Self::NoPast,
            Right::Resting(Rest::GivenUp) => Self::GivenUp,
            Right::Nobody => Self::Nobody,
        }
    }
}

impl Node {
    /// Explains what would become of a request now.
    ///
    /// # Errors
    /// Returns [`Kind::NotReady`] without a list, and [`Kind::NoPipeline`] if
    /// the workspace does not exist or may not call the pipeline.
    pub fn explain(&self, question: &Question, now: Millis) -> Result<Explanation, Kind> {
        let list = self.tenure.list().ok_or(Kind::NotReady)?;
        let workspace = self.book.workspace(&question.workspace);
        let workspace = workspace.ok_or(Kind::NoPipeline)?;
        let pipeline = self.book.pipeline(workspace, &question.pipeline);
        let pipeline = pipeline.ok_or(Kind::NoPipeline)?;
        let key = question.key.as_ref().map(|text| Key {
            workspace: question.workspace.clone(),
            pipeline: question.pipeline.clone(),
            text: text.clone(),
        });
        let key = key.filter(|_| !pipeline.is_idempotent());
        let holder = key.map(|key| self.holder(list, &Thing::Key(key.hash()), now));
        let mut stages = Vec::new();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let body = (index == 0).then_some(question.body.as_slice());
            stages.push(self.plan(list, workspace, stage, body, now));
        }
        let is_keyless = holder.is_none() && !pipeline.is_idempotent();
        let refusal = self.refusal(pipeline, question, now);
        let refusal = refusal.or(is_keyless.then_some(Kind::KeyMissing));
        let refusal = refusal.or(holder.as_ref().and_then(Holder::refusal));
        let refusal = refusal.or(stages.iter().find_map(Plan::refusal));
        Ok(Explanation {
            refusal,
            key: holder,
            stages,
        })
    }

    fn refusal(&self, pipeline: &Pipeline, question: &Question, now: Millis) -> Option<Kind> {
        if let Err(kind) = self.ready() {
            return Some(kind);
        }
        self.check_suspect(pipeline, question.digest, now).err()
    }

    fn holder(&self, list: &List, thing: &Thing, now: Millis) -> Holder {
        Holder {
            owner: crate::tenure::owner(list, thing).cloned(),
            standing: Standing::from(&self.tenure.right(thing, now)),
        }
    }

    fn plan(
        &self,
        list: &List,
        workspace: &Workspace,
        stage: &Stage,
        body: Option<&[u8]>,
        now: Millis,
    ) -> Plan {
        let length = self
            .book
            .pool(&stage.pool)
            .map_or(0, |pool| pool.prefix_bytes);
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let prefix = body.map(|body| &body[..body.len().min(length)]);
        let query = RouteQuery {
            pool: stage.pool.clone(),
            prefix: Self::affinity(&workspace.id, prefix.unwrap_or_default()),
            tried: Vec::new(),
            digest: id::Digest([0; 32]),
        };
        let fleet = self.book.fleet();
        let mut targets = Vec::new();
        for (index, entry) in self.ranked(list, &query, now).into_iter().enumerate() {
            let rank = prefix.filter(|_| length > 0).map(|_| index + 1);
            targets.push(self.candidate(list, &entry, rank, now));
        }
        let is_out = |one: &&Entry| route::exclusion(one, fleet, &self.loads).is_some();
        let pool = list.targets.iter().filter(|one| one.pool == stage.pool);
        for entry in pool.filter(is_out) {
            targets.push(self.candidate(list, entry, None, now));
        }
        Plan {
            stage: stage.id.clone(),
            pool: stage.pool.clone(),
            targets,
        }
    }

    /// Returns the candidates that a request would have now.
    ///
    /// For a pool without a prefix the choice is at random among equals, so
    /// only one of its possible orders is shown.
    fn ranked(&self, list: &List, query: &RouteQuery, now: Millis) -> Vec<Entry> {
        let Some(pool) = self.book.pool(&query.pool) else {
            return Vec::new();
        };
        let mut index = route::PoolIndex::default();
        index.update(list);
        let route_context = route::RouteContext {
            list,
            index: &index,
            fleet: self.book.fleet(),
            pool,
            loads: &self.loads,
            domain: &self.me.domain,
        };
        let ranked = route_context.ranked(query, query.prefix, now);
        ranked.into_iter().map(|(_, entry)| entry.clone()).collect()
    }

    fn candidate(&self, list: &List, entry: &Entry, rank: Option<usize>, now: Millis) -> Candidate {
        let pool = self.book.pool(&entry.pool);
        let percent = pool.map(|pool| self.loads.expected_load(&entry.id, pool, now));
        Candidate {
            target: entry.id.clone(),
            domain: entry.domain.clone(),
            holder: self.holder(list, &Thing::Target(entry.id.clone()), now),
            out: route::exclusion(entry, self.book.fleet(), &self.loads),
            rank,
            is_avoided: self.loads.is_deprioritized(&entry.id, &entry.pool, now),
            places: self.places(&entry.id, now),
            load_percent: percent.unwrap_or_default(),
        }
    }
}

impl Holder {
    fn refusal(&self) -> Option<Kind> {
        match self.standing {
            Standing::Held | Standing::Elsewhere => None,
            Standing::NoMajority
            | Standing::Waiting
            | Standing::Unconfirmed
            | Standing::NoPast
            | Standing::GivenUp => Some(Kind::NoRight),
            Standing::Nobody => Some(Kind::NoOwner),
        }
    }
}

impl Plan {
    fn refusal(&self) -> Option<Kind> {
        let mut open = self.targets.iter().filter(|one| one.out.is_none());
        let Some(first) = open.next() else {
            return Some(Kind::NoTarget);
        };
        let is_usable = |one: &Candidate| one.holder.refusal().is_none();
        if is_usable(first) || open.any(is_usable) {
            return None;
        }
        first.holder.refusal()
    }
}
