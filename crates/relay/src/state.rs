//! One daemon's view of the fleet, and the decisions based on it.
//!
//! The decision logic is in the kernel crate; this module keeps its inputs and
//! combines its parts. Each change of the view is logged here, with its source.
//!
//! - `store` applies the settings and targets that the platform publishes.
//! - `pick` has what a request needs of its target, and what was picked for it.
//! - `target` picks the target of a request, and counts requests in flight.
//! - `placement` knows the placers of groups of engines.
//! - `share` computes this daemon's parts of limits of the whole fleet.
//! - `queue` holds the requests that wait for a place at a target.
//! - `link` knows which services this daemon reaches.
//! - `resumption` knows at which versions streams may have begun.
//! - `stage` knows the dispatchers and targets of stage services, and the waits there.

mod link;
mod pick;
pub mod placement;
mod queue;
mod resumption;
mod share;
mod stage;
mod store;
mod target;

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::ToCompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::detour::Detours;
use gooseberry_kernel::fleet::fetch::Fetches;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::fleet::replica::Replica;
use gooseberry_kernel::fleet::startup::Startup;
use gooseberry_kernel::fleet::withdrawal::Withdrawals;
use gooseberry_kernel::name;
use gooseberry_kernel::quarantine::Suspects;
use gooseberry_kernel::request::client_timeouts::RecentLimits;
use gooseberry_kernel::request::deadline_admission::ServiceWait;
use gooseberry_kernel::request::durations::Durations;
use gooseberry_kernel::request::part_quarantine::Part;
use gooseberry_kernel::request::part_quarantine::PartQuarantine;
use gooseberry_kernel::request::part_quarantine::Verdict;
use gooseberry_kernel::request::prior_wait::PriorWaitEstimator;
use gooseberry_kernel::request::retired_services::RetiredServices;
use gooseberry_kernel::request::retry_budget::RetryBudget;
use gooseberry_kernel::request::routing_table::ClientLimits;
use gooseberry_kernel::request::routing_table::RoutingTable;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::stream_origin::Origins;
use gooseberry_kernel::request::stream_trace::Surveys;
use gooseberry_kernel::request::version_history::Reading;
use gooseberry_kernel::target::brittleness::Brittleness;
use gooseberry_kernel::target::cold_rate::ColdRateLimiter;
use gooseberry_kernel::target::health::Health;
use gooseberry_kernel::target::link::Links;
use gooseberry_kernel::target::rate_limit::RateLimits;
use gooseberry_kernel::target::registry::TargetRegistry;
use gooseberry_platform::boot::Boot;
use gooseberry_platform::target::Load;

pub use crate::state::pick::Need;
pub use crate::state::pick::Pick;
pub use crate::state::pick::PickedTarget;
pub use crate::state::queue::Admission;
pub use crate::state::queue::Decision;
pub use crate::state::queue::Seat;
use crate::state::queue::ServiceQueue;

/// The source, in logs, of changes that were read from the store and not from a
/// peer.
pub const STORE: &str = "store";

/// The limits that apply until the first settings are known.
const INITIAL_LIMITS: ClientLimits = ClientLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 1 << 20,
    header_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

/// When the platform's store was reached, lost and reached again.
#[derive(Clone, Copy, Debug, Default)]
struct StoreStatus {
    /// When the store last answered.
    last_answer: Option<Millis>,
    /// When the current outage began; `None` while the store answers.
    lost_at: Option<Millis>,
    /// When the last outage ended that was long enough for entries to expire.
    back_at: Option<Millis>,
    /// When the store was last asked on demand for all changes.
    asked_at: Option<Millis>,
}

/// The load of a target, as far as this daemon knows.
#[derive(Clone, Debug)]
struct TargetUsage {
    target: name::Target,
    /// Requests of this daemon that are in flight there.
    in_flight: u32,
    /// The last load that the target reported, and when.
    reported: Option<(Load, Millis)>,
}

/// One daemon's view of the fleet.
#[derive(Debug)]
pub struct State {
    /// The failure domain of this daemon.
    domain: name::Domain,
    /// Whether there are addresses at which this daemon finds its peers.
    has_seeds: bool,
    /// The copy of the store.
    replica: Replica,
    /// The settings in force.
    routing_table: Option<Arc<RoutingTable>>,
    retired_services: RetiredServices,
    /// The limits of client connections.
    client_limits: RecentLimits,
    targets: TargetRegistry,
    /// The failure domains that operators have taken out of service.
    taken_out: Vec<name::Domain>,
    /// Those that were taken out before the store went back to an older copy.
    held_out: Withdrawals<name::Domain>,
    members: membership::Membership,
    health: Health,
    /// Whether this daemon reaches the targets of each service.
    links: Links,
    /// What peers say of theirs.
    detours: Detours,
    /// Where this daemon takes requests of peers, once it does.
    detour_address: Option<SocketAddr>,
    cold_rate_limiter: ColdRateLimiter,
    rate_limits: RateLimits,
    brittleness: Brittleness,
    retry_budget: RetryBudget,
    suspects: Suspects,
    /// Parts of prompts that may crash targets.
    parts: PartQuarantine,
    /// Where streams began.
    origins: Origins,
    /// Which streams targets hold.
    surveys: Surveys,
    /// The load of targets, sorted by target.
    usages: Vec<TargetUsage>,
    /// The requests that wait for a place, sorted by service.
    queues: Vec<ServiceQueue>,
    /// The last reported wait at each stage service and when it was reported,
    /// sorted by service.
    stage_waits: Vec<(ServiceWait, Millis)>,
    /// Estimates how long a client has waited before its current attempt, from
    /// the longest deadline that clients of its route have sent.
    prior_waits: PriorWaitEstimator,
    /// How long the requests of each route take now.
    durations: Durations,
    store_status: StoreStatus,
    /// From when on this daemon knows each change of the store's contents; `None` before
    /// it has them.
    listed_since: Option<Millis>,
    /// The last reading of the store's history that left no version out.
    history: Option<Reading>,
    /// When it was last read that the store had confirmed this daemon's copy to any daemon.
    confirmed_at: Option<Millis>,
    /// Whether the daemon may serve with its copy of the store.
    startup: Startup,
    /// What is being fetched from peers.
    fetches: Fetches,
}

impl State {
    /// Creates a view that contains nothing but this daemon itself.
    #[must_use]
    pub fn new(boot: &Boot, incarnation: u64) -> Self {
        Self {
            domain: boot.domain.clone(),
            has_seeds: boot.seeds.iter().any(|seed| *seed != boot.peer_address),
            replica: Replica::default(),
            routing_table: None,
            retired_services: RetiredServices::default(),
            client_limits: RecentLimits::new(INITIAL_LIMITS),
            targets: TargetRegistry::default(),
            taken_out: Vec::new(),
            held_out: Withdrawals::default(),
            members: membership::Membership::new(membership::MemberState {
                name: boot.name.clone(),
                incarnation,
                beat: 0,
                address: boot.peer_address,
                cpu_millicores: boot.cpu_millicores,
                is_leaving: false,
            }),
            health: Health::default(),
            links: Links::default(),
            detours: Detours::default(),
            detour_address: None,
            cold_rate_limiter: ColdRateLimiter::default(),
            rate_limits: RateLimits::default(),
            brittleness: Brittleness::default(),
            retry_budget: RetryBudget::new(boot.retry_budget),
            suspects: Suspects::default(),
            parts: PartQuarantine::default(),
            origins: Origins::default(),
            surveys: Surveys::default(),
            usages: Vec::new(),
            queues: Vec::new(),
            stage_waits: Vec::new(),
            prior_waits: PriorWaitEstimator::default(),
            durations: Durations::default(),
            store_status: StoreStatus::default(),
            listed_since: None,
            history: None,
            confirmed_at: None,
            startup: Startup::default(),
            fetches: Fetches::default(),
        }
    }

    /// Returns the settings in force; `None` until the first are known.
    #[must_use]
    pub fn routing_table(&self) -> Option<&Arc<RoutingTable>> {
        self.routing_table.as_ref()
    }

    /// Returns a service of the settings in force, or of former ones by which a request may
    /// have been admitted.
    #[must_use]
    pub fn service(&self, name: &name::Service) -> Option<&Arc<Service>> {
        let table = self.routing_table.as_ref();
        let listed = table.and_then(|table| table.service(name));
        listed.or_else(|| self.retired_services.get(name))
    }

    /// Returns the limits that connections of clients may use up.
    #[must_use]
    pub fn client_limits(&self, now: Millis) -> ClientLimits {
        self.client_limits.at(now)
    }

    /// Returns the daemons of the fleet, this one included.
    pub fn members(&mut self) -> &mut membership::Membership {
        &mut self.members
    }

    /// Returns the requests that may have crashed targets.
    pub fn suspects(&mut self) -> &mut Suspects {
        &mut self.suspects
    }

    /// Returns the parts of prompts that may crash targets.
    pub fn parts(&mut self) -> &mut PartQuarantine {
        &mut self.parts
    }

    /// Decides about a request with these parts of its prompt. Of the daemons that this
    /// one knows, one tries a part again that is in quarantine.
    pub fn part_verdict(&mut self, parts: &[Part], now: Millis) -> Verdict {
        let may_try = |part: Part| {
            let key = part.to_compact_string();
            let members = self.members.live(now);
            let first = assignment::dispatcher(&name::Service::new(&key), &members, |_| true);
            first.is_some_and(|member| member.name == self.members.me().name)
        };
        self.parts.verdict(parts, may_try, now)
    }

    /// Returns where streams began, as far as this daemon knows.
    pub fn origins(&mut self) -> &mut Origins {
        &mut self.origins
    }

    /// Returns which streams targets hold, as they have said.
    pub fn surveys(&mut self) -> &mut Surveys {
        &mut self.surveys
    }

    /// Returns how long the requests of each route take now.
    pub fn durations(&mut self) -> &mut Durations {
        &mut self.durations
    }

    /// Returns the health of targets, as calls to them show.
    pub fn health(&mut self) -> &mut Health {
        &mut self.health
    }

    /// Returns the daemon's copy of the store.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the daemon can serve: it knows settings and targets, may use them,
    /// and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.usable_table().is_some() && !self.targets.all().is_empty() && !self.is_leaving()
    }

    /// Returns the settings by which clients are served; `None` until the first are known
    /// and may be used.
    #[must_use]
    pub fn usable_table(&self) -> Option<&Arc<RoutingTable>> {
        self.routing_table().filter(|_| self.startup.is_over)
    }

    /// Returns whether the daemon is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.members.me().is_leaving
    }

    /// Removes what has expired, and what belongs to targets that are gone.
    pub fn tick(&mut self, now: Millis) {
        self.update_startup(now);
        for target in self.targets.remove_lapsed(now) {
            log::info!(target:% = target; "a target that lapsed did not come back and is removed");
        }
        self.suspects.expire(now);
        self.parts.expire(now);
        self.brittleness.expire(now);
        self.origins.expire(now);
        self.durations.expire(now);
        self.surveys.expire(now);
        self.retired_services.expire(now);
        let targets = &self.targets;
        self.health.retain(|target| targets.get(target).is_some());
        let table = self.routing_table.as_ref();
        self.links
            .retain(|service| table.is_some_and(|table| table.service(service).is_some()));
        self.cold_rate_limiter
            .retain(|target| targets.get(target).is_some());
        self.rate_limits
            .expire(|target| targets.get(target).is_some(), now);
        self.usages
            .retain(|usage| usage.in_flight > 0 || targets.get(&usage.target).is_some());
        let live = self.members.live(now);
        self.detours.retain(|member| {
            let found = live.binary_search_by(|live| live.name.cmp(member));
            found.is_ok()
        });
        if self.held_out.expire(now) {
            self.update_taken_out(now);
        }
        self.update_shares(now);
        self.queues
            .retain(|queue| queue.is_swept || !queue.is_unused());
    }

    /// Returns the failure domains that operators have taken out of service.
    #[must_use]
    pub fn taken_out(&self) -> &[name::Domain] {
        &self.taken_out
    }
}
