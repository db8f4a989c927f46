//! What one daemon believes, and the decisions that it makes with it.
//!
//! The decisions themselves are the kernel's; this is where they meet. Each
//! change of what the daemon believes is logged here, with its source.
//!
//! - `store` takes in what the platform publishes.
//! - `target` picks targets, and counts what is at them.
//! - `stage` says who makes the pieces of stages.

mod stage;
mod store;
mod target;

use std::net::SocketAddr;
use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::member;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::quarantine::Suspects;
use gooseberry_kernel::request::budget::Budget;
use gooseberry_kernel::request::door::Wait;
use gooseberry_kernel::request::patience::Patience;
use gooseberry_kernel::request::table::Table;
use gooseberry_kernel::target::health::Health;
use gooseberry_kernel::target::pace::Pace;
use gooseberry_kernel::target::roster::Roster;
use gooseberry_platform::boot::Boot;
use gooseberry_platform::target::Load;

/// The source of what was read from the store itself.
pub const STORE: &str = "store";

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
    patience: Patience,
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
            patience: Patience::default(),
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

    /// Ends what lasts only for a while.
    pub fn tick(&mut self, now: Millis) {
        for target in self.roster.tick(now) {
            log::info!(target:% = target; "a target that lapsed did not come back");
        }
        self.suspects.expire(now);
        let roster = &self.roster;
        self.health.retain(|target| roster.get(target).is_some());
        self.pace.retain(|target| roster.get(target).is_some());
        self.flights
            .retain(|flight| flight.own > 0 || roster.get(&flight.target).is_some());
    }

    /// Returns the domains that are taken out.
    #[must_use]
    pub fn taken_out(&self) -> &[name::Domain] {
        &self.taken_out
    }
}
