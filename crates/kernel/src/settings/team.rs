//! The document of one team: its pools, pipelines and workspaces.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;

use super::fault::Faults;
use super::fleet::saturating_u16;
use super::reader;
use super::reader::Fields;
use super::reader::Range;
use super::reader::Reader;
use super::reader::quote;
use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::id;

/// The largest number of stages of a pipeline.
pub const STAGES_MAX: usize = 6;

scalar! {
    /// The kind of a target, which decides the connector that calls it.
    pub enum TargetKind {
        /// A model engine that generates text.
        Engine,
        /// An encoder that turns text into embedding vectors.
        Encoder,
        /// A retriever that finds passages.
        Retriever,
        /// A reranker that orders passages by relevance.
        Reranker,
        /// A service without a model.
        Service,
    }
}

impl TargetKind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::Engine,
        Self::Encoder,
        Self::Retriever,
        Self::Reranker,
        Self::Service,
    ];

    /// Returns the name of the kind in settings and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Encoder => "encoder",
            Self::Retriever => "retriever",
            Self::Reranker => "reranker",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for TargetKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl FromStr for TargetKind {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|kind| kind.label() == text);
        found.ok_or_else(|| id::Invalid { text: text.into() })
    }
}

value! {
    /// A pool of interchangeable targets.
    pub struct Pool {
        /// The id, as `team.name`.
        pub id: id::Pool,
        /// The kind of its targets.
        pub kind: TargetKind,
        /// The model that its targets serve; empty if they serve none.
        pub model: CompactString,
        /// How many calls a target in cold start may have in flight.
        pub cold_limit: u16,
        /// How many calls a warm target may have in flight.
        pub warm_limit: u16,
        /// How many calls may wait for one target.
        pub queue_limit: u16,
        /// The longest time that a call may take at a target.
        pub longest_call: Millis,
        /// After how many answers in a row the limit of a target doubles, while
        /// the answers do not report that it is warm.
        pub warm_after: u16,
        /// How many bytes at the start of a body form its prompt prefix; zero if
        /// the targets have no caches of prefixes.
        pub prefix_bytes: u32,
    }

    /// One step of a pipeline.
    pub struct Stage {
        /// The id within the pipeline.
        pub id: id::Stage,
        /// The pool whose targets run it.
        pub pool: id::Pool,
        /// Whether it may safely run more than once.
        pub is_idempotent: bool,
        /// Its share of the deadline, relative to the weights of other stages.
        pub weight: u16,
        /// The number of attempts that it may have.
        pub attempts: u16,
    }

    /// A sequence of stages, each of which gets the output of the one before.
    pub struct Pipeline {
        /// The id within the team.
        pub id: id::Pipeline,
        /// The longest time that a request may take.
        pub deadline: Millis,
        /// The stages in order; never empty.
        pub stages: Vec<Stage>,
    }

    /// A customer of the team.
    pub struct Workspace {
        /// The id, as `team.name`.
        pub id: id::Workspace,
        /// The SHA-256 of the credential.
        pub credential: id::Digest,
        /// Its share of the capacity, relative to the weights of other workspaces.
        pub weight: u16,
        /// The pipelines that it may call, sorted.
        pub pipelines: Vec<id::Pipeline>,
        /// Whether an answer after the deadline is still delivered, marked as
        /// late, instead of the request being abandoned.
        pub wants_late_answers: bool,
        /// Whether its attempt numbers are trusted to show that a key is new.
        pub trusts_attempt_number: bool,
    }

    /// The settings of one team.
    pub struct TeamSettings {
        /// The team that the settings belong to.
        pub team: id::Team,
        /// The pools, sorted by id.
        pub pools: Vec<Pool>,
        /// The pipelines, sorted by id.
        pub pipelines: Vec<Pipeline>,
        /// The workspaces, sorted by id.
        pub workspaces: Vec<Workspace>,
    }
}

impl Pipeline {
    /// Returns whether all stages are idempotent.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_idempotent)
    }
}

impl TeamSettings {
    /// Parses and validates a team's document.
    ///
    /// # Errors
    /// Returns all faults of the document.
    pub fn parse(team: &id::Team, text: &str) -> Result<Self, Faults> {
        reader::parse(text, |reader, root| {
            // These include the names of faulty pools and pipelines, so that a
            // reference to one does not cause another fault.
            let pool_names = root.child_names("pools");
            let pipeline_names = root.child_names("pipelines");
            let pools = read_pools(reader, root, team);
            let pipelines = read_pipelines(reader, root, team, &pool_names);
            let workspaces = read_workspaces(reader, root, team, &pipeline_names);
            Self {
                team: team.clone(),
                pools,
                pipelines,
                workspaces,
            }
        })
    }

    /// Returns a pool of the team.
    #[must_use]
    pub fn pool(&self, id: &id::Pool) -> Option<&Pool> {
        let found = self.pools.binary_search_by(|known| known.id.cmp(id));
        found.ok().map(|index| &self.pools[index])
    }

    /// Returns a pipeline of the team.
    #[must_use]
    pub fn pipeline(&self, id: &id::Pipeline) -> Option<&Pipeline> {
        let found = self.pipelines.binary_search_by(|known| known.id.cmp(id));
        found.ok().map(|index| &self.pipelines[index])
    }

    /// Returns a workspace of the team.
    #[must_use]
    pub fn workspace(&self, id: &id::Workspace) -> Option<&Workspace> {
        let found = self.workspaces.binary_search_by(|known| known.id.cmp(id));
        found.ok().map(|index| &self.workspaces[index])
    }
}

fn read_pools<'a>(reader: &mut Reader<'a>, root: &mut Fields<'a>, team: &id::Team) -> Vec<Pool> {
    let mut pools = Vec::new();
    for (name, mut fields) in reader.map(root, "pools") {
        pools.extend(read_pool(reader, &mut fields, team, &name));
        reader.reject_unknown(&fields);
    }
    pools.sort_by(|left: &Pool, right| left.id.cmp(&right.id));
    pools
}

fn read_pool<'a>(
    reader: &mut Reader<'a>,
    fields: &mut Fields<'a>,
    team: &id::Team,
    name: &str,
) -> Option<Pool> {
    let id = check_name(reader, fields, name).and_then(|()| qualify(team, name));
    let kind = reader.text(
        fields,
        "kind",
        "engine, encoder, retriever, reranker or service",
    );
    let model: Option<CompactString> = reader.optional_text(fields, "model", "a model's name");
    let mut number = |name: &str, min: u64, max: u64, default: u64| {
        reader.number(fields, name, Range { min, max }, default)
    };
    let cold_limit = number("cold_limit", 1, 1000, 1);
    let warm_limit = number("warm_limit", 1, 10_000, 16);
    let queue_limit = number("queue_limit", 0, 10_000, 32);
    let longest_call = number("longest_call_ms", 1, 3_600_000, 10_000);
    let warm_after = number("warm_after", 1, 1000, 5);
    let prefix_bytes = number("prefix_bytes", 0, 1 << 20, 256);
    if cold_limit > warm_limit {
        let (path, start) = fields.position("cold_limit");
        let message = format!("expected at most warm_limit, which is {warm_limit}");
        reader.add_fault(&path, start, message);
    }
    Some(Pool {
        id: id?,
        kind: kind?,
        model: model.unwrap_or_default(),
        cold_limit: saturating_u16(cold_limit),
        warm_limit: saturating_u16(warm_limit),
        queue_limit: saturating_u16(queue_limit),
        longest_call: Millis(longest_call),
        warm_after: saturating_u16(warm_after),
        prefix_bytes: u32::try_from(prefix_bytes).unwrap_or(u32::MAX),
    })
}

fn read_pipelines<'a>(
    reader: &mut Reader<'a>,
    root: &mut Fields<'a>,
    team: &id::Team,
    pools: &[String],
) -> Vec<Pipeline> {
    let mut pipelines = Vec::new();
    for (name, mut fields) in reader.map(root, "pipelines") {
        pipelines.extend(read_pipeline(reader, &mut fields, team, &name, pools));
        reader.reject_unknown(&fields);
    }
    pipelines.sort_by(|left: &Pipeline, right| left.id.cmp(&right.id));
    pipelines
}

fn read_pipeline<'a>(
    reader: &mut Reader<'a>,
    fields: &mut Fields<'a>,
    team: &id::Team,
    name: &str,
    pools: &[String],
) -> Option<Pipeline> {
    let id = check_name(reader, fields, name).and_then(|()| id::Pipeline::new(name).ok());
    let range = Range {
        min: 1,
        max: 600_000,
    };
    let deadline = Millis(reader.number(fields, "deadline_ms", range, 9000));
    let (stages_path, stages_start) = fields.position("stages");
    let mut stages: Vec<Stage> = Vec::new();
    let count = fields.list_len("stages");
    let listed = reader.list(fields, "stages");
    for mut stage_fields in listed {
        let (path, start) = stage_fields.position("name");
        let stage = read_stage(reader, &mut stage_fields, team, pools);
        reader.reject_unknown(&stage_fields);
        let Some(stage) = stage else { continue };
        if stages.iter().any(|known| known.id == stage.id) {
            reader.add_fault(&path, start, "expected a name of its own".to_owned());
        }
        stages.push(stage);
    }
    if let Some(count) = count.filter(|count| !(1..=STAGES_MAX).contains(count)) {
        let message = format!("expected 1 to {STAGES_MAX} stages, found {count}");
        reader.add_fault(&stages_path, stages_start, message);
    }
    if stages.iter().filter(|stage| !stage.is_idempotent).count() > 1 {
        let message = "expected at most one stage that is not idempotent".to_owned();
        reader.add_fault(&stages_path, stages_start, message);
    }
    Some(Pipeline {
        id: id?,
        deadline,
        stages,
    })
}

fn read_stage<'a>(
    reader: &mut Reader<'a>,
    fields: &mut Fields<'a>,
    team: &id::Team,
    pools: &[String],
) -> Option<Stage> {
    let id = reader.text(fields, "name", "a name of a-z, 0-9 and '-'");
    let (pool_path, pool_start) = fields.position("pool");
    let pool: Option<String> = reader.text(fields, "pool", "the name of a pool");
    let is_idempotent = reader.boolean(fields, "idempotent", true);
    let weight = reader.number(fields, "weight", Range { min: 1, max: 1000 }, 1);
    let default_attempts = if is_idempotent { 3 } else { 1 };
    let attempts = reader.number(
        fields,
        "attempts",
        Range { min: 1, max: 10 },
        default_attempts,
    );
    let pool = pool?;
    if pools.binary_search(&pool).is_err() {
        let message = format!("expected a pool of this document, found `{}`", quote(&pool));
        reader.add_fault(&pool_path, pool_start, message);
    }
    Some(Stage {
        id: id?,
        pool: qualify(team, &pool)?,
        is_idempotent,
        weight: saturating_u16(weight),
        attempts: saturating_u16(attempts),
    })
}

fn read_workspaces<'a>(
    reader: &mut Reader<'a>,
    root: &mut Fields<'a>,
    team: &id::Team,
    pipelines: &[String],
) -> Vec<Workspace> {
    let mut workspaces: Vec<Workspace> = Vec::new();
    for (name, mut fields) in reader.map(root, "workspaces") {
        let (path, start) = fields.position("credential_sha256");
        let workspace = read_workspace(reader, &mut fields, team, &name, pipelines);
        reader.reject_unknown(&fields);
        let Some(workspace) = workspace else { continue };
        if workspaces
            .iter()
            .any(|known| known.credential == workspace.credential)
        {
            reader.add_fault(&path, start, "expected a credential of its own".to_owned());
        }
        workspaces.push(workspace);
    }
    workspaces.sort_by(|left: &Workspace, right| left.id.cmp(&right.id));
    workspaces
}

fn read_workspace<'a>(
    reader: &mut Reader<'a>,
    fields: &mut Fields<'a>,
    team: &id::Team,
    name: &str,
    pipelines: &[String],
) -> Option<Workspace> {
    let id = check_name(reader, fields, name).and_then(|()| qualify(team, name));
    let credential = reader.text(fields, "credential_sha256", "64 hexadecimal digits");
    let weight = reader.number(fields, "weight", Range { min: 1, max: 1000 }, 1);
    let (path, start) = fields.position("pipelines");
    let allowed: Vec<id::Pipeline> = reader.texts(fields, "pipelines", "a pipeline's name");
    for name in &allowed {
        let found = pipelines.binary_search_by(|known| known.as_str().cmp(name.as_str()));
        if found.is_err() {
            let message = format!("expected pipelines of this document, found `{name}`");
            reader.add_fault(&path, start, message);
        }
    }
    let wants_late_answers = reader.boolean(fields, "late_answers", false);
    let trusts_attempt_number = reader.boolean(fields, "trusts_attempt_number", false);
    Some(Workspace {
        id: id?,
        credential: credential?,
        weight: saturating_u16(weight),
        pipelines: allowed,
        wants_late_answers,
        trusts_attempt_number,
    })
}

/// Validates a name that an operator chose.
///
/// A name may not contain a dot, because ids have the form `team.name`.
fn check_name(reader: &mut Reader<'_>, fields: &Fields<'_>, name: &str) -> Option<()> {
    let is_name = name.len() <= 40 && !name.contains('.') && id::Stage::new(name).is_ok();
    if !is_name {
        let message = "expected a name of 1 to 40 of a-z, 0-9 and '-'".to_owned();
        reader.add_fault(fields.path(), fields.start(), message);
    }
    is_name.then_some(())
}

fn qualify<T: FromStr>(team: &id::Team, name: &str) -> Option<T> {
    format!("{team}.{name}").parse().ok()
}
