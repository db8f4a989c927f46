//! Routes, services and API keys of one version of the settings.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::name;

/// A client abandons a stream without a first byte after the longest of three
/// times: a minimum, a multiple of the latency objective and a multiple of the
/// largest event gap. The platform's clients use the same values.
const FIRST_BYTE_TIMEOUT_MIN: Millis = Millis(2_000);
const FIRST_BYTE_TIMEOUT_OBJECTIVES: u64 = 4;
const FIRST_BYTE_TIMEOUT_EVENT_GAPS: u64 = 8;

scalar! {
    /// The form of an answer.
    pub enum ResponseForm {
        /// One body.
        Plain,
        /// A stream of server-sent events.
        Stream,
    }

    /// Priority of a request, below [`Rank::LEVELS`]; 0 is the most urgent.
    #[derive(Default)]
    pub struct Rank(pub u8);

    /// What the targets of a service work on.
    pub enum ServiceKind {
        /// Requests with one reply each.
        Plain,
        /// Requests that generate text.
        Engine(Engine),
        /// Pieces of stages, several in one call.
        Stage(BatchSpec),
    }

    /// Capacity of a text engine.
    pub struct Engine {
        /// Number of requests that it works on at the same time.
        pub slots: u32,
        /// Memory for the tokens of running requests and cached prompts; `None` if it is
        /// not limited.
        pub memory_tokens: Option<u32>,
        /// Number of tokens in one event of a stream.
        pub stride: u32,
        /// Memory of one token of a prompt, in bytes; zero if it is not known.
        pub token_bytes: u32,
    }

    /// Limits and cost of calls to a target of a stage service.
    pub struct BatchSpec {
        /// The largest number of pieces in one call.
        pub max_pieces: u32,
        /// Fixed duration of a call, in microseconds.
        pub call_micros: u64,
        /// Additional duration for each piece, in microseconds.
        pub piece_micros: u64,
        /// Memory of a target for results, in bytes.
        pub result_capacity_bytes: u64,
        /// How long a target keeps a result that is not freed.
        pub result_ttl: Millis,
    }

    /// Size and time limits of client connections.
    pub struct ClientLimits {
        /// The largest request head, in bytes.
        pub max_header_bytes: usize,
        /// The largest request body, in bytes.
        pub max_body_bytes: usize,
        /// Time within which a request head must arrive.
        pub header_timeout: Millis,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Millis,
    }
}

value! {
    /// A service that gets a part of a route's requests.
    pub struct Share {
        /// The service.
        pub service: name::Service,
        /// Weight relative to the other shares of the route.
        pub weight: u32,
    }

    /// Work that has to be completed before the request itself can run.
    pub struct Stage {
        /// The stage service that computes it.
        pub service: name::Service,
        /// Indexes of the stages whose results it reads; all of them are
        /// earlier.
        pub after: Vec<usize>,
        /// Size of one result, in bytes.
        pub bytes: u64,
    }

    /// Routing and limits of the requests with one host and path prefix.
    pub struct Route {
        /// The name from the settings.
        pub name: name::Route,
        /// The host, in lower case.
        pub host: CompactString,
        /// The path prefix; it begins and ends with a slash.
        pub prefix: CompactString,
        /// The form of its answers.
        pub form: ResponseForm,
        /// Whether a request may run more than once.
        pub is_idempotent: bool,
        /// Whether another target can resume a broken stream.
        pub is_resumable: bool,
        /// Whether requests need no API key.
        pub is_anonymous: bool,
        /// The longest timeout of a request.
        pub timeout: Millis,
        /// Latency objective: an answer within this time is worth most.
        pub objective: Millis,
        /// The longest gap between two events of a stream that is on time.
        pub max_event_gap: Millis,
        /// Priority among the routes of a workspace; 0 is the most urgent.
        pub rank: u8,
        /// The number of targets to which one request may be sent.
        pub max_attempts: u32,
        /// The services that run its requests, with their weights.
        pub shares: Vec<Share>,
        /// The stages that are computed before the request runs.
        pub stages: Vec<Stage>,
    }

    /// A group of interchangeable targets.
    pub struct Service {
        /// The name from the settings.
        pub name: name::Service,
        /// The number of connections that a target accepts from all daemons
        /// together.
        pub max_connections: u32,
        /// The number of requests a second that a cold target accepts from all
        /// daemons together; 0 if the service has no cold start.
        pub cold_requests_per_second: u32,
        /// How long a target is cold after it has started.
        pub cold_period: Millis,
        /// What its targets work on.
        pub kind: ServiceKind,
    }

    /// An API key of a workspace.
    pub struct ApiKey {
        /// The key as the client sends it.
        pub text: CompactString,
        /// The workspace that owns it.
        pub workspace: name::Workspace,
        /// Priority of the workspace, which takes precedence over that of the
        /// route.
        pub rank: Option<u8>,
    }

    /// All routes, services and API keys of one version of the settings.
    pub struct RoutingTable {
        /// The version; a later one is higher.
        pub version: u64,
        /// The routes, sorted by host and then from the longest prefix to the
        /// shortest.
        pub routes: Vec<Arc<Route>>,
        /// The services, sorted by name.
        pub services: Vec<Arc<Service>>,
        /// The API keys, sorted by text.
        pub keys: Vec<ApiKey>,
        /// Whether requests need an API key, unless the route is anonymous.
        pub has_keys: bool,
        /// Limits of client connections.
        pub limits: ClientLimits,
    }

    /// An instance of a service that runs requests or computes pieces.
    pub struct Target {
        /// The name, which usually changes with a restart.
        pub name: name::Target,
        /// The service that it belongs to.
        pub service: name::Service,
        /// The address on which it listens.
        pub address: SocketAddr,
        /// The failure domain.
        pub domain: name::Domain,
        /// The version of its software.
        pub version: name::Version,
        /// Whether it is shutting down and takes no new work.
        pub is_leaving: bool,
        /// How much longer it is cold, counted from when its entry is read.
        pub cold_remaining: Millis,
        /// How many requests it works on at once, if its entry says so.
        pub slots: Option<u32>,
        /// When it started, as its entry in the platform's list says.
        pub started: u64,
    }

    /// One run of a target, from its start to its end.
    pub struct Incarnation {
        /// The target.
        pub target: name::Target,
        /// When it started, as its entry in the platform's list says.
        pub started: u64,
        /// The version of its software.
        pub version: name::Version,
    }
}

impl Target {
    /// Returns the run that is listed.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            target: self.name.clone(),
            started: self.started,
            version: self.version.clone(),
        }
    }
}

impl Rank {
    /// Number of distinct ranks of a workspace, and of a route.
    const STEPS: u8 = 3;
    /// Number of combined rank levels.
    pub const LEVELS: usize = (Self::STEPS * Self::STEPS) as usize;

    /// Combines the rank of a workspace with that of a route. The workspace's
    /// rank takes precedence; equal ranks of workspaces are ordered by route.
    #[must_use]
    pub fn combine(workspace: Option<u8>, route: u8) -> Self {
        let last = Self::STEPS - 1;
        let workspace = workspace.unwrap_or(route).min(last);
        Self(workspace * Self::STEPS + route.min(last))
    }

    /// Returns the rank as an index below [`Rank::LEVELS`].
    #[must_use]
    pub fn level(self) -> usize {
        usize::from(self.0).min(Self::LEVELS - 1)
    }
}

impl ClientLimits {
    /// Returns the higher one of each limit.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            max_header_bytes: self.max_header_bytes.max(other.max_header_bytes),
            max_body_bytes: self.max_body_bytes.max(other.max_body_bytes),
            header_timeout: self.header_timeout.max(other.header_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

impl RoutingTable {
    /// Sorts the lists that the lookups search; call it after filling the
    /// table.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| {
            let key = |route: &Route| (route.host.clone(), Reverse(route.prefix.len()));
            key(a).cmp(&key(b))
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.text.cmp(&b.text));
    }

    /// Returns the route of the host with the longest prefix that matches the
    /// path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        let from_host = self.routes[start..].iter();
        from_host
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the API key with this text.
    #[must_use]
    pub fn key(&self, text: &str) -> Option<&ApiKey> {
        let found = self
            .keys
            .binary_search_by(|key| key.text.as_str().cmp(text));
        found.ok().map(|index| &self.keys[index])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &name::Service) -> Option<&Arc<Service>> {
        let found = self
            .services
            .binary_search_by(|service| service.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}

impl Route {
    /// Picks the service of a request in proportion to the weights of the
    /// shares.
    ///
    /// The draw is a hash of the attempt's name, so that it needs no state.
    #[must_use]
    pub fn pick_service(&self, attempt: &name::Attempt) -> Option<&name::Service> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut draw = hash::text(attempt.as_str()).checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if draw < weight {
                return Some(&share.service);
            }
            draw -= weight;
        }
        None
    }

    /// Returns how long a client waits for the first byte of an answer. It
    /// abandons a stream that is silent for longer.
    #[must_use]
    pub fn first_byte_timeout(&self) -> Millis {
        match self.form {
            ResponseForm::Plain => self.timeout,
            ResponseForm::Stream => FIRST_BYTE_TIMEOUT_MIN
                .max(self.objective * FIRST_BYTE_TIMEOUT_OBJECTIVES)
                .max(self.max_event_gap * FIRST_BYTE_TIMEOUT_EVENT_GAPS),
        }
    }

    /// Returns whether a request may be sent to a second target after the first
    /// one may have run it.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.is_idempotent || self.is_resumable
    }
}

impl BatchSpec {
    /// Returns the duration of a call with this number of pieces.
    #[must_use]
    pub fn call_duration(&self, pieces: u32) -> Millis {
        let of_pieces = self.piece_micros.saturating_mul(pieces.into());
        let micros = self.call_micros.saturating_add(of_pieces);
        Millis(micros.div_ceil(1000))
    }

    /// Returns the number of pieces a second that one target computes in full
    /// calls.
    #[must_use]
    pub fn pieces_per_second(&self) -> u64 {
        let of_pieces = self.piece_micros.saturating_mul(self.max_pieces.into());
        let micros = self.call_micros.saturating_add(of_pieces);
        u64::from(self.max_pieces) * 1_000_000 / micros.max(1)
    }
}
