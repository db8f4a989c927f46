//! What one daemon believes, and the decisions that it makes with it.
//!
//! The decisions themselves are the kernel's; this is where they meet. Each
//! change of what the daemon believes is logged here, with its source.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::choice;
use gooseberry_kernel::fleet::member;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::quarantine::Suspects;
use gooseberry_kernel::request::budget::Budget;
use gooseberry_kernel::request::door::WAIT_AGE_MAX;
use gooseberry_kernel::request::door::Wait;
use gooseberry_kernel::request::table::Pieces;
use gooseberry_kernel::request::table::Rank;
use gooseberry_kernel::request::table::Service;
use gooseberry_kernel::request::table::Table;
use gooseberry_kernel::request::table::Work;
use gooseberry_kernel::stage::queue::Maker;
use gooseberry_kernel::target::health::Health;
use gooseberry_kernel::target::pace;
use gooseberry_kernel::target::pace::Pace;
use gooseberry_kernel::target::place;
use gooseberry_kernel::target::place::Candidate;
use gooseberry_kernel::target::roster::Change;
use gooseberry_kernel::target::roster::Listed;
use gooseberry_kernel::target::roster::Roster;
use gooseberry_platform::boot::Boot;
use gooseberry_platform::listing;
use gooseberry_platform::orders;
use gooseberry_platform::target::Load;

/// How long a load that a target told is used.
const LOAD_AGE_MAX: Millis = Millis(1_000);
/// How many requests a second a cold target gets from a daemon that has just
/// started and does not know its peers yet.
const UNKNOWN_SHARE: usize = 1;
/// How long a daemon needs to find its peers.
const JOINING: Millis = Millis(3_000);
/// How many places a plain target has if it has not told.
const SLOTS_DEFAULT: u32 = 8;
/// The fewest connections to one target that a daemon may use.
const CONNECTIONS_MIN: u32 = 1;
/// How old the last confirmation by the store may be before a daemon that does
/// not read it does so.
const CONFIRMED_MAX: Millis = Millis(1_200);
/// How long to wait for a peer's changes before another one is asked.
const LEARNING_MAX: Millis = Millis(700);
/// The source of what was read from the store itself.
pub const STORE: &str = "store";
/// How long the store must be silent before live targets may have lapsed.
const OUTAGE_MIN: Millis = Millis(1_000);

/// What the daemon knows of the way to the store.
#[derive(Clone, Copy, Debug, Default)]
struct Feed {
    answered: Option<Millis>,
    lost_at: Option<Millis>,
    back_at: Option<Millis>,
}

/// What is at a target now, as far as this daemon knows.
#[derive(Clone, Debug)]
struct Flight {
    target: name::Target,
    own: u32,
    told: Option<(Load, Millis)>,
}

/// What one daemon believes.
#[derive(Debug)]
pub struct State {
    domain: name::Domain,
    mirror: Mirror,
    table: Option<Arc<Table>>,
    roster: Roster,
    taken_out: Vec<name::Domain>,
    members: member::Table,
    health: Health,
    pace: Pace,
    budget: Budget,
    suspects: Suspects,
    flights: Vec<Flight>,
    waits: Vec<(Wait, Millis)>,
    /// The most time that a client of each route has given.
    patience: Vec<(name::Route, Millis)>,
    feed: Feed,
    /// When the store confirmed to somebody what is known here.
    confirmed: Option<Millis>,
    /// Since when changes are being fetched from a peer.
    learning: Option<Millis>,
}

/// Which target gets a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// This one.
    Target(Picked),
    /// None now; one that is cold or busy may take it in a moment.
    Wait,
    /// The service has no target that takes work.
    Nobody,
}

/// A target that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Picked {
    /// The target.
    pub target: name::Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: name::Domain,
}

/// Returns how many connections to one target this daemon may have: its part of
/// what the target takes from all daemons.
fn connections(service: &Service, fleet: usize) -> u32 {
    let fleet = u32::try_from(fleet).unwrap_or(u32::MAX).max(1);
    (service.connections / fleet).max(CONNECTIONS_MIN)
}

impl State {
    /// Starts without any knowledge but of itself.
    #[must_use]
    pub fn new(boot: &Boot, incarnation: u64) -> Self {
        Self {
            domain: boot.domain.clone(),
            mirror: Mirror::default(),
            table: None,
            roster: Roster::default(),
            taken_out: Vec::new(),
            members: member::Table::new(member::Row {
                name: boot.name.clone(),
                incarnation,
                beat: 0,
                address: boot.peers,
                strength: boot.strength,
                is_leaving: false,
            }),
            health: Health::default(),
            pace: Pace::default(),
            budget: Budget::new(boot.budget),
            suspects: Suspects::default(),
            flights: Vec::new(),
            waits: Vec::new(),
            patience: Vec::new(),
            feed: Feed::default(),
            confirmed: None,
            learning: None,
        }
    }

    /// Returns the settings in force; none before the first are known.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the table of members.
    pub fn members(&mut self) -> &mut member::Table {
        &mut self.members
    }

    /// Returns the requests under suspicion.
    pub fn suspects(&mut self) -> &mut Suspects {
        &mut self.suspects
    }

    /// Returns the health of targets.
    pub fn health(&mut self) -> &mut Health {
        &mut self.health
    }

    /// Returns up to which revision the daemon knows what is published.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.mirror.through()
    }

    /// Returns what a peer lacks.
    #[must_use]
    pub fn changes(&self, after: Revision) -> Changes {
        self.mirror.changes(after)
    }

    /// Returns how long ago the store answered; `None` if it never did.
    #[must_use]
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        self.feed.answered.map(|at| now - at)
    }

    /// Returns how long ago the store confirmed what is known here, to this
    /// daemon or to one that told it.
    #[must_use]
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now - at)
    }

    /// Takes in that a peer's knowledge was confirmed so long ago. It counts
    /// here only if the peer knows no more than this daemon.
    pub fn confirm(&mut self, through: Revision, age: Millis, now: Millis) {
        if through <= self.mirror.through() && age < now {
            self.confirmed = self.confirmed.max(Some(now - age));
        }
    }

    /// Tells whether this daemon reads the store: it is one of those that do,
    /// or has not heard of a confirmation from them for a while.
    #[must_use]
    pub fn is_reader(&self, now: Millis) -> bool {
        let is_stale = self
            .confirmed_age(now)
            .is_none_or(|age| age > CONFIRMED_MAX);
        let live = self.members.live(now);
        is_stale || choice::is_reader(&self.members.me().name, &live)
    }

    /// Tells whether changes are being fetched from a peer.
    #[must_use]
    pub fn is_learning(&self, now: Millis) -> bool {
        self.learning
            .is_some_and(|since| since + LEARNING_MAX > now)
    }

    /// Notes that changes are being fetched from a peer.
    pub fn note_learning(&mut self, now: Millis) {
        self.learning = Some(now);
    }

    /// Notes that they were fetched, or not.
    pub fn note_learnt(&mut self) {
        self.learning = None;
    }

    /// Tells whether the daemon can serve: it knows settings and targets.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.roster.all().is_empty() && !self.is_leaving()
    }

    /// Tells whether the daemon is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.members.me().is_leaving
    }

    /// Notes that the store answered, or not.
    pub fn note_store(&mut self, is_good: bool, now: Millis) {
        match (is_good, self.feed.lost_at) {
            (true, lost_at) => {
                if let Some(lost_at) = lost_at {
                    log::info!(lost_ms = (now - lost_at).0; "the store is back");
                    if now - lost_at >= OUTAGE_MIN {
                        self.feed.back_at = Some(now);
                    }
                }
                self.feed.lost_at = None;
                self.feed.answered = Some(now);
                self.confirmed = Some(now);
            }
            (false, None) => {
                self.feed.lost_at = Some(now);
                log::warn!(revision = self.mirror.through().0; "the store is lost");
            }
            (false, Some(_)) => {}
        }
    }

    /// Takes in what the platform has published, from it or from a peer.
    pub fn adopt(&mut self, changes: Changes, source: &str, now: Millis) {
        let through = changes.through;
        for key in self.mirror.apply(changes) {
            self.adopt_entry(&key, source, through, now);
        }
    }

    /// Ends what lasts only for a while.
    pub fn tick(&mut self, now: Millis) {
        for target in self.roster.tick(now) {
            log::info!(target:% = target; "a target that lapsed did not come back");
        }
        self.suspects.tick(now);
        let roster = &self.roster;
        self.health.retain(|target| roster.get(target).is_some());
        self.pace.retain(|target| roster.get(target).is_some());
        self.flights
            .retain(|flight| flight.own > 0 || roster.get(&flight.target).is_some());
    }

    /// Tells whether a target is still listed.
    #[must_use]
    pub fn is_listed(&self, target: &name::Target) -> bool {
        self.roster.get(target).is_some()
    }

    /// Returns how many targets are listed.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.roster.all().len()
    }

    /// Returns the domains that are taken out.
    #[must_use]
    pub fn taken_out(&self) -> &[name::Domain] {
        &self.taken_out
    }

    /// Returns where a target listens.
    #[must_use]
    pub fn address(&self, target: &name::Target) -> Option<SocketAddr> {
        self.roster.get(target).map(|listed| listed.target.address)
    }

    /// Returns the target of a service that listens at an address.
    #[must_use]
    pub fn target_at(
        &self,
        service: &name::Service,
        address: SocketAddr,
    ) -> Option<(name::Target, SocketAddr)> {
        let mut all = self.roster.all().iter().map(|listed| &listed.target);
        let found = all.find(|one| one.service == *service && one.address == address)?;
        Some((found.name.clone(), address))
    }

    /// Picks the target of a request, and counts it as sent there.
    pub fn pick(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        tried: &[name::Target],
        draw: u64,
        now: Millis,
    ) -> Pick {
        let pick = self.choose(service, affinity, tried, draw, now);
        if let Pick::Target(picked) = &pick {
            self.pace.note(&picked.target, now);
            self.flight(&picked.target).own += 1;
        }
        pick
    }

    /// Tells where a request would run now, without sending it.
    pub fn forecast(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        draw: u64,
        now: Millis,
    ) -> Option<name::Domain> {
        match self.choose(service, affinity, &[], draw, now) {
            Pick::Target(picked) => Some(picked.domain),
            Pick::Wait | Pick::Nobody => None,
        }
    }

    /// Returns how many idle connections to a target may be kept beside those
    /// that are in use.
    pub fn idle_connections(&mut self, target: &name::Target, now: Millis) -> usize {
        let fleet = self.members.fleet(now);
        let listed = self.roster.get(target);
        let service = listed.and_then(|listed| {
            let table = self.table.as_ref()?;
            table.service(&listed.target.service)
        });
        let most = service.map_or(0, |service| connections(service, fleet));
        usize::try_from(most.saturating_sub(self.own(target))).unwrap_or(usize::MAX)
    }

    /// Notes that a request has left its target.
    pub fn note_end(&mut self, target: &name::Target) {
        let flight = self.flight(target);
        flight.own = flight.own.saturating_sub(1);
    }

    /// Notes the load that a target tells.
    pub fn note_load(&mut self, target: &name::Target, load: Load, now: Millis) {
        self.flight(target).told = Some((load, now));
    }

    /// Counts a request for a service.
    pub fn note_first(&mut self, service: &name::Service, now: Millis) {
        self.budget.note_first(service, now);
    }

    /// Returns how long a client has been waiting for an answer already, as the
    /// time that it still gives shows.
    pub fn waited(&mut self, route: &name::Route, patience: Millis) -> Millis {
        let found = self
            .patience
            .binary_search_by(|(known, _)| known.cmp(route));
        match found {
            Ok(index) => {
                let most = &mut self.patience[index].1;
                *most = patience.max(*most);
                *most - patience
            }
            Err(index) => {
                self.patience.insert(index, (route.clone(), patience));
                Millis::ZERO
            }
        }
    }

    /// Takes a repeat from this daemon's part of the budget.
    pub fn take_repeat(&mut self, service: &name::Service, now: Millis) -> bool {
        let fleet = self.members.fleet(now);
        self.budget.take(service, fleet, now)
    }

    /// Returns the targets of a stage service that may get calls.
    #[must_use]
    pub fn makers(&self, service: &name::Service, now: Millis) -> Vec<Maker> {
        let usable = self.roster.usable(service, &self.taken_out, now);
        let makers = usable.map(|listed| Maker {
            target: listed.target.name.clone(),
            domain: listed.target.domain.clone(),
            is_avoided: self.health.is_avoided(&listed.target.name, now),
        });
        makers.collect()
    }

    /// Returns what a stage service bears.
    #[must_use]
    pub fn pieces(&self, service: &name::Service) -> Option<Pieces> {
        match self.table.as_ref()?.service(service)?.work {
            Work::Pieces(pieces) => Some(pieces),
            Work::Plain | Work::Engine(_) => None,
        }
    }

    /// Returns whom to ask for the pieces of a service, in order; `None` stands
    /// for this daemon.
    #[must_use]
    pub fn dispatchers(&self, service: &name::Service, now: Millis) -> Vec<Option<SocketAddr>> {
        let me = self.members.me();
        let live = self.members.live(now);
        let order = choice::order(service, &live);
        let addresses = order.into_iter();
        let address = |row: &member::Row| (row.name != me.name).then_some(row.address);
        addresses.map(address).collect()
    }

    /// Notes how long pieces wait at a dispatcher.
    pub fn note_wait(&mut self, wait: Wait, now: Millis) {
        let found = self
            .waits
            .binary_search_by(|(known, _)| known.service.cmp(&wait.service));
        match found {
            Ok(index) => self.waits[index] = (wait, now),
            Err(index) => self.waits.insert(index, (wait, now)),
        }
    }

    /// Returns how long pieces of a rank wait at a service, as was last told.
    #[must_use]
    pub fn wait(&self, service: &name::Service, rank: Rank, now: Millis) -> Millis {
        let found = self
            .waits
            .binary_search_by(|(known, _)| known.service.cmp(service));
        let told = found.ok().map(|index| &self.waits[index]);
        let fresh = told.filter(|(_, at)| *at + WAIT_AGE_MAX > now);
        fresh.map_or(Millis::ZERO, |(wait, _)| wait.of(rank))
    }

    /// Chooses among the targets that may take a request.
    fn choose(
        &mut self,
        service: &Service,
        affinity: Option<u64>,
        tried: &[name::Target],
        draw: u64,
        now: Millis,
    ) -> Pick {
        let fleet = self.members.fleet(now);
        let members = self.members.live(now);
        let members: Vec<name::Member> = members.iter().map(|row| row.name.clone()).collect();
        let usable = self.roster.usable(&service.name, &self.taken_out, now);
        let listed: Vec<&Listed> = usable
            .filter(|listed| !tried.contains(&listed.target.name))
            .collect();
        if listed.is_empty() {
            return Pick::Nobody;
        }
        let most = connections(service, fleet);
        let is_open = |listed: &&&Listed| {
            let target = &listed.target.name;
            let is_cold = listed.cold_until > now && service.cold_rate > 0;
            let share = if now < JOINING {
                UNKNOWN_SHARE
            } else {
                pace::share(
                    service.cold_rate,
                    target,
                    &self.members.me().name,
                    &members,
                    fleet,
                )
            };
            let has_share = !is_cold || self.pace.recent(target, now) < share;
            has_share && self.own(target) < most
        };
        let open: Vec<&Listed> = listed.iter().filter(is_open).copied().collect();
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|listed| self.candidate(listed, service, now))
            .collect();
        let Some(index) = place::pick(&candidates, affinity, draw) else {
            return Pick::Wait;
        };
        let target = &open[index].target;
        Pick::Target(Picked {
            target: target.name.clone(),
            address: target.address,
            domain: target.domain.clone(),
        })
    }

    fn candidate(&self, listed: &Listed, service: &Service, now: Millis) -> Candidate {
        let target = &listed.target;
        let flight = self.find_flight(&target.name);
        let told = flight.and_then(|flight| flight.told);
        let fresh = told.filter(|(_, at)| *at + LOAD_AGE_MAX > now);
        let told_load = fresh.map_or(0, |(load, _)| load.running + load.waiting);
        let slots = match service.work {
            Work::Engine(engine) => engine.slots,
            Work::Plain | Work::Pieces(_) => {
                told.map_or(SLOTS_DEFAULT, |(load, _)| load.slots.max(1))
            }
        };
        Candidate {
            target: target.name.clone(),
            load: told_load.max(flight.map_or(0, |flight| flight.own)),
            slots,
            is_avoided: self.health.is_avoided(&target.name, now),
            is_near: target.domain == self.domain,
        }
    }

    fn own(&self, target: &name::Target) -> u32 {
        self.find_flight(target).map_or(0, |flight| flight.own)
    }

    fn find_flight(&self, target: &name::Target) -> Option<&Flight> {
        let found = self.flights.binary_search_by(|one| one.target.cmp(target));
        found.ok().map(|index| &self.flights[index])
    }

    fn flight(&mut self, target: &name::Target) -> &mut Flight {
        let found = self.flights.binary_search_by(|one| one.target.cmp(target));
        let index = found.unwrap_or_else(|index| {
            let flight = Flight {
                target: target.clone(),
                own: 0,
                told: None,
            };
            self.flights.insert(index, flight);
            index
        });
        &mut self.flights[index]
    }

    fn adopt_entry(&mut self, key: &CompactString, source: &str, through: Revision, now: Millis) {
        if key == orders::SETTINGS {
            self.adopt_settings(source, through);
        } else if key.starts_with(orders::TAKEN_OUT) {
            let domains = self.mirror.keys(orders::TAKEN_OUT);
            let names = domains.map(|key| name::Domain::new(&key[orders::TAKEN_OUT.len()..]));
            self.taken_out = names.collect();
            log::info!(domains:? = self.taken_out, source, revision = through.0; "domains taken out");
        } else if let Some(target) = key.strip_prefix(listing::PREFIX) {
            self.adopt_target(key, target, source, through, now);
        }
    }

    fn adopt_settings(&mut self, source: &str, through: Revision) {
        let Some(bytes) = self.mirror.get(orders::SETTINGS) else {
            log::warn!(source, revision = through.0; "the settings were removed; they stay in force");
            return;
        };
        match orders::decode(bytes) {
            Ok(table)
                if self
                    .table
                    .as_ref()
                    .is_some_and(|old| old.version >= table.version) =>
            {
                log::warn!(version = table.version, source; "older settings are not adopted");
            }
            Ok(table) => {
                log::info!(
                    version = table.version,
                    routes = table.routes.len(),
                    keys = table.keys.len(),
                    source,
                    revision = through.0;
                    "settings adopted"
                );
                self.table = Some(Arc::new(table));
            }
            Err(error) => {
                log::error!(source, revision = through.0; "unusable settings: {error:#}");
            }
        }
    }

    fn adopt_target(
        &mut self,
        key: &str,
        target: &str,
        source: &str,
        through: Revision,
        now: Millis,
    ) {
        let name = name::Target::new(target);
        let listed = self
            .roster
            .get(&name)
            .map(|listed| listed.target.service.clone());
        let decoded = self
            .mirror
            .get(key)
            .map(|bytes| listing::decode(target, bytes));
        let change = match decoded {
            Some(Ok(target)) => Some(self.roster.set(target, now)),
            Some(Err(error)) => {
                log::warn!(target, source; "unusable entry: {error:#}");
                self.roster.remove(&name, None, now)
            }
            None => {
                // A peer that tells of a drop has reached the store meanwhile,
                // so the target did not lapse behind an outage.
                let outage_end = self.feed.back_at.filter(|_| source == STORE);
                self.roster.remove(&name, outage_end, now)
            }
        };
        if let Some(change) = change.filter(|change| *change != Change::Changed) {
            let service = self.roster.get(&name);
            let service = service.map(|listed| listed.target.service.clone());
            let service = service.or(listed);
            log::info!(
                target:% = name,
                service:% = service.unwrap_or_default(),
                change:? = change,
                source,
                revision = through.0;
                "target"
            );
        }
    }
}
