//! The two example sites: settings, targets and traffic.

use std::time::Duration;

use gooseberry_kernel::id;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_kernel::settings::TeamSettings;
use gooseberry_wire::platform;

use crate::platform::Platform;
use crate::target::Plan;
use crate::target::Target;

/// Targets of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// The pool, as `team.name`.
    pub pool: &'static str,
    /// The kind of its targets.
    pub kind: TargetKind,
    /// Number of targets over all failure domains.
    pub count: usize,
    /// Duration of a call at full speed, in milliseconds.
    pub work_ms: u64,
}

/// One kind of request that clients send.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// The workspace that sends it.
    pub workspace: &'static str,
    /// The pipeline that it calls.
    pub pipeline: &'static str,
    /// Its share of the requests, relative to the sum of all shares.
    pub share: u32,
}

/// Definition of an example site.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: [&'static str; 3],
    /// Number of daemons.
    pub daemons: usize,
    /// Its usual load, in requests per second.
    pub rate: u32,
    /// Its settings documents, as path and text.
    pub documents: &'static [(&'static str, &'static str)],
    /// Its targets.
    pub groups: &'static [Group],
    /// Its mix of requests. The flood and the requests that crash engines use the
    /// first entry.
    pub traffic: &'static [Traffic],
}

macro_rules! example {
    ($path:literal) => {
        include_str!(concat!("../../../examples/settings/", $path))
    };
}

const fn group(pool: &'static str, kind: TargetKind, count: usize, work_ms: u64) -> Group {
    Group {
        pool,
        kind,
        count,
        work_ms,
    }
}

const fn traffic(workspace: &'static str, pipeline: &'static str, share: u32) -> Traffic {
    Traffic {
        workspace,
        pipeline,
        share,
    }
}

/// Site of the rental desk of Huaraz.
pub const HUARAZ: Site = Site {
    name: "huaraz",
    domains: ["huaraz", "caraz", "chacas"],
    daemons: 6,
    rate: 200,
    documents: &[
        ("/fleet", example!("huaraz/fleet.jsonc")),
        ("/teams/desk", example!("huaraz/teams/desk.jsonc")),
        ("/teams/field", example!("huaraz/teams/field.jsonc")),
    ],
    groups: &[
        group("desk.llm", TargetKind::Engine, 20, 120),
        group("desk.encoder", TargetKind::Encoder, 4, 4),
        group("desk.retriever", TargetKind::Retriever, 4, 6),
        group("desk.reranker", TargetKind::Reranker, 4, 5),
        group("desk.ledger", TargetKind::Service, 3, 5),
        group("field.permits", TargetKind::Service, 5, 5),
        group("field.roster", TargetKind::Service, 5, 5),
        group("field.inspection", TargetKind::Service, 5, 8),
    ],
    traffic: &[
        traffic("desk.trekkers", "route-briefing", 30),
        traffic("desk.guides", "route-briefing", 20),
        traffic("desk.trekkers", "booking-ledger", 10),
        traffic("desk.porters", "booking-ledger", 5),
        traffic("desk.trekkers", "stock-lookup", 15),
        traffic("desk.guides", "stock-lookup", 10),
        traffic("field.rangers", "permit-check", 4),
        traffic("field.rangers", "roster-read", 3),
        traffic("field.inspectors", "return-inspection", 3),
    ],
};

/// Site of Wadi Rum Logic House.
pub const WADI_RUM: Site = Site {
    name: "wadi-rum",
    domains: ["amman-a", "amman-b", "amman-c"],
    daemons: 7,
    rate: 120,
    documents: &[
        ("/fleet", example!("wadi-rum/fleet.jsonc")),
        ("/teams/planning", example!("wadi-rum/teams/planning.jsonc")),
        (
            "/teams/operations",
            example!("wadi-rum/teams/operations.jsonc"),
        ),
    ],
    groups: &[
        group("planning.llm", TargetKind::Engine, 20, 120),
        group("planning.encoder", TargetKind::Encoder, 4, 4),
        group("planning.retriever", TargetKind::Retriever, 4, 6),
        group("planning.reranker", TargetKind::Reranker, 4, 5),
        group("operations.booking", TargetKind::Service, 3, 5),
        group("operations.crew-roster", TargetKind::Service, 5, 5),
        group("operations.weather-feed", TargetKind::Service, 5, 5),
        group("operations.invoicing", TargetKind::Service, 5, 5),
    ],
    traffic: &[
        traffic("planning.polar-one", "manifest-review", 20),
        traffic("planning.ice-freight", "manifest-review", 10),
        traffic("planning.polar-one", "cargo-question", 15),
        traffic("planning.aqaba-air", "cargo-question", 5),
        traffic("planning.ice-freight", "hazard-tag", 20),
        traffic("planning.aqaba-air", "hazard-tag", 5),
        traffic("operations.southern-charter", "booking", 8),
        traffic("operations.southern-charter", "status", 8),
        traffic("operations.dispatch", "departure-check", 6),
        traffic("operations.southern-charter", "invoice", 3),
    ],
};

impl Site {
    /// Finds a site by its name.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        [HUARAZ, WADI_RUM]
            .into_iter()
            .find(|site| site.name == name)
    }

    /// Publishes the settings documents on the platform.
    pub fn publish(&self, platform: &Platform) {
        for (path, text) in self.documents {
            platform.put(path, text);
        }
    }

    /// Starts the targets and adds them to the list.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start_targets(&self, platform: &Platform) -> anyhow::Result<Vec<ListedTarget>> {
        self.start_targets_with(platform, Plan::clone).await
    }

    /// Starts the targets with plans returned by `change` and adds them to the
    /// list.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start_targets_with(
        &self,
        platform: &Platform,
        change: impl Fn(&Plan) -> Plan,
    ) -> anyhow::Result<Vec<ListedTarget>> {
        let mut targets = Vec::new();
        for group in self.groups {
            let cold_limit = self.cold_limit(group.pool);
            for index in 0..group.count {
                let plan = Plan {
                    kind: group.kind,
                    work: Duration::from_millis(group.work_ms),
                    cold_limit,
                    ..Plan::default()
                };
                targets.push(ListedTarget {
                    id: format!("{}-{}", group.pool.replace('.', "-"), index + 1),
                    pool: group.pool,
                    domain: self.domains[index % self.domains.len()],
                    target: Target::start(change(&plan)).await?,
                });
            }
        }
        platform.add_targets(targets.iter().map(ListedTarget::entry).collect());
        Ok(targets)
    }

    /// Returns the parsed settings of a team, or `None` if the team is unknown.
    #[must_use]
    pub fn document(&self, team: &str) -> Option<TeamSettings> {
        let path = format!("/teams/{team}");
        let found = self.documents.iter().find(|(known, _)| *known == path);
        TeamSettings::parse(&id::Team::new(team).ok()?, found?.1).ok()
    }

    fn cold_limit(&self, pool: &str) -> usize {
        let team = pool.split('.').next().unwrap_or_default();
        let document = self.document(team);
        let pool = id::Pool::new(pool).ok();
        let found = pool.and_then(|pool| document.as_ref()?.pool(&pool).cloned());
        found.map_or(1, |pool| usize::from(pool.cold_limit))
    }
}

/// A target of a site, with the fields of its list entry.
#[derive(Debug)]
pub struct ListedTarget {
    /// The id.
    pub id: String,
    /// The pool.
    pub pool: &'static str,
    /// The failure domain.
    pub domain: &'static str,
    /// The running target.
    pub target: Target,
}

impl ListedTarget {
    /// Reports its current load to the platform.
    pub fn report_load(&self, platform: &Platform) {
        let (in_flight, is_cold) = self.target.load();
        platform.report_load(platform::Load {
            target: self.id.as_str().into(),
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            is_cold,
            age_ms: 0,
        });
    }

    /// Returns its list entry.
    #[must_use]
    pub fn entry(&self) -> platform::Target {
        let address = self.target.address();
        crate::platform::live_target(&self.id, self.pool, self.domain, address)
    }
}

/// Returns the API credential of a workspace of the example sites.
#[must_use]
pub fn credential(workspace: &str) -> String {
    format!("demo-{workspace}")
}
