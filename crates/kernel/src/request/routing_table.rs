//! The routes, services and keys that one version of the settings allows.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::name;

/// For how long a client bears silence on a stream: the longest of a span, of
/// so many objectives and of so many pauses, as the platform's clients do.
const FIRST_BYTE_TIMEOUT_MIN: Millis = Millis(2_000);
const FIRST_BYTE_TIMEOUT_OBJECTIVES: u64 = 4;
const FIRST_BYTE_TIMEOUT_EVENT_GAPS: u64 = 8;

scalar! {
    /// What an answer looks like.
    pub enum ResponseForm {
        /// One body.
        Plain,
        /// A stream of events.
        Stream,
    }

    /// How urgent a request is, below [`Rank::LEVELS`]; 0 goes first.
    #[derive(Default)]
    pub struct Rank(pub u8);

    /// What may be sent to one service, and how it is worked on.
    pub enum ServiceKind {
        /// Requests, one reply each.
        Plain,
        /// Requests that generate text.
        Engine(Engine),
        /// Pieces of stages, many in one call.
        Stage(BatchSpec),
    }

    /// What an engine bears.
    pub struct Engine {
        /// How many requests it works on at a time.
        pub slots: u32,
    }

    /// What a target of a stage service bears, and what a call costs.
    pub struct BatchSpec {
        /// How many pieces one call may hold.
        pub max_pieces: u32,
        /// What a call takes by itself, in microseconds.
        pub call_micros: u64,
        /// What each piece adds, in microseconds.
        pub piece_micros: u64,
        /// How many bytes of results it keeps.
        pub result_capacity_bytes: u64,
        /// How long it keeps a result.
        pub result_ttl: Millis,
    }

    /// What a client may send, and how long it may take.
    pub struct ClientLimits {
        /// The largest head, in bytes.
        pub max_header_bytes: usize,
        /// The largest body, in bytes.
        pub max_body_bytes: usize,
        /// How long a head may take.
        pub header_timeout: Millis,
        /// How long a connection may be idle.
        pub idle_timeout: Millis,
    }
}

value! {
    /// A part of a route's traffic.
    pub struct Share {
        /// The service that gets it.
        pub service: name::Service,
        /// Its weight among the shares of the route.
        pub weight: u32,
    }

    /// Work that must be done before a request can run.
    pub struct Stage {
        /// The service that does it.
        pub service: name::Service,
        /// The stages whose results it needs.
        pub after: Vec<usize>,
        /// The size of one result, in bytes.
        pub bytes: u64,
    }

    /// Where requests of one host and path prefix go, and under which terms.
    pub struct Route {
        /// Its name.
        pub name: name::Route,
        /// The host.
        pub host: CompactString,
        /// The start of the path; it begins and ends with a slash.
        pub prefix: CompactString,
        /// What its answers look like.
        pub form: ResponseForm,
        /// Whether a request may run more than once.
        pub is_idempotent: bool,
        /// Whether a broken stream may go on at another target.
        pub is_resumable: bool,
        /// Whether it needs no key.
        pub is_anonymous: bool,
        /// The longest time that a client may be kept waiting.
        pub timeout: Millis,
        /// The time within which an answer is worth most.
        pub objective: Millis,
        /// The longest pause between two events of an answer that is on time.
        pub max_event_gap: Millis,
        /// How urgent it is among the routes of a workspace.
        pub rank: u8,
        /// To how many targets one request may be sent.
        pub max_attempts: u32,
        /// The services that its requests run at.
        pub shares: Vec<Share>,
        /// The stages before.
        pub stages: Vec<Stage>,
    }

    /// A group of targets.
    pub struct Service {
        /// Its name.
        pub name: name::Service,
        /// How many connections a target takes from all daemons together.
        pub max_connections: u32,
        /// How many requests a second a cold target takes from all daemons
        /// together; 0 means that it has no cold start.
        pub cold_requests_per_second: u32,
        /// How long a target is cold after its start.
        pub cold_period: Millis,
        /// How it works.
        pub kind: ServiceKind,
    }

    /// A key of a workspace.
    pub struct ApiKey {
        /// The key as the client sends it.
        pub text: CompactString,
        /// Whose it is.
        pub workspace: name::Workspace,
        /// The workspace's rank, which goes before that of the route.
        pub rank: Option<u8>,
    }

    /// One version of the settings.
    pub struct RoutingTable {
        /// The version; it only grows.
        pub version: u64,
        /// The routes, sorted by host and then by falling length of the prefix.
        pub routes: Vec<Arc<Route>>,
        /// The services, sorted by name.
        pub services: Vec<Arc<Service>>,
        /// The keys, sorted by text.
        pub keys: Vec<ApiKey>,
        /// Whether requests need keys at all.
        pub has_keys: bool,
        /// The limits towards clients.
        pub limits: ClientLimits,
    }

    /// A back end.
    pub struct Target {
        /// Its name, which a restart mostly changes.
        pub name: name::Target,
        /// The service that it belongs to.
        pub service: name::Service,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Whether it takes new work.
        pub is_leaving: bool,
        /// How much longer it is cold, counted from the moment of the report.
        pub cold_remaining: Millis,
        /// When it started, as it says itself.
        pub started: u64,
    }
}

impl Rank {
    /// How many ranks of a workspace, and of a route, are told apart.
    const STEPS: u8 = 3;
    /// How many levels there are.
    pub const LEVELS: usize = (Self::STEPS * Self::STEPS) as usize;

    /// Joins the rank of a workspace, which goes first, with that of a route.
    /// Requests of workspaces of equal rank are ordered by their routes.
    #[must_use]
    pub fn combine(workspace: Option<u8>, route: u8) -> Self {
        let last = Self::STEPS - 1;
        let workspace = workspace.unwrap_or(route).min(last);
        Self(workspace * Self::STEPS + route.min(last))
    }

    /// Returns the place of the rank in a list of all levels.
    #[must_use]
    pub fn level(self) -> usize {
        usize::from(self.0).min(Self::LEVELS - 1)
    }
}

impl RoutingTable {
    /// Sorts what the methods search.
    pub fn sort(&mut self) {
        self.routes.sort_by(|one, other| {
            let key = |route: &Route| (route.host.clone(), Reverse(route.prefix.len()));
            key(one).cmp(&key(other))
        });
        self.services
            .sort_by(|one, other| one.name.cmp(&other.name));
        self.keys.sort_by(|one, other| one.text.cmp(&other.text));
    }

    /// Finds the route of a request: the one of the host with the longest
    /// prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|route| *route.host < *host);
        let of_host = self.routes[start..].iter();
        of_host
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Finds the owner of a key.
    #[must_use]
    pub fn key(&self, text: &str) -> Option<&ApiKey> {
        let found = self
            .keys
            .binary_search_by(|key| key.text.as_str().cmp(text));
        found.ok().map(|index| &self.keys[index])
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &name::Service) -> Option<&Arc<Service>> {
        let found = self.services.binary_search_by(|one| one.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}

impl Route {
    /// Picks the service of a request by the weights of the route's shares.
    ///
    /// The draw comes from the attempt's name, so that it needs no state.
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

    /// Returns for how long a client waits for the first byte of an answer: it
    /// abandons a stream that is silent for longer.
    #[must_use]
    pub fn first_byte_timeout(&self) -> Millis {
        match self.form {
            ResponseForm::Plain => self.timeout,
            ResponseForm::Stream => FIRST_BYTE_TIMEOUT_MIN
                .max(Millis(self.objective.0 * FIRST_BYTE_TIMEOUT_OBJECTIVES))
                .max(Millis(self.max_event_gap.0 * FIRST_BYTE_TIMEOUT_EVENT_GAPS)),
        }
    }

    /// Tells whether a request may be given to a second target after the first
    /// one may have run it.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.is_idempotent || self.is_resumable
    }
}

impl BatchSpec {
    /// Returns what a call of so many pieces takes.
    #[must_use]
    pub fn call_duration(&self, pieces: u32) -> Millis {
        let micros = self.call_micros + self.piece_micros * u64::from(pieces);
        Millis(micros.div_ceil(1000))
    }

    /// Returns how many pieces a second one target makes in full calls.
    #[must_use]
    pub fn pieces_per_second(&self) -> u64 {
        let micros = self.call_micros + self.piece_micros * u64::from(self.max_pieces);
        u64::from(self.max_pieces) * 1_000_000 / micros.max(1)
    }
}
