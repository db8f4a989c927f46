//! What a request needs of its target, and the target that was picked for it.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::Target;

/// The result of picking a target for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The request goes to this target.
    Target(PickedTarget),
    /// All usable targets are cold or full; one may have capacity soon.
    Wait,
    /// All usable targets limit the rate of their requests. The request has a place at
    /// this target and may be sent at that time.
    Booked(PickedTarget, Millis),
    /// All usable targets limit the rate of their requests, and other daemons have the
    /// shares.
    NoShare,
    /// All targets that have not been tried have asked for no work, or have a limit that
    /// is used up until after the request is due; the first may take work then.
    Paused(Millis),
    /// The service has no usable target that has not been tried.
    NoTarget,
}

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service of the target.
    pub service: &'a Service,
    /// The version of its software, if no other one will do.
    pub version: Option<&'a name::Version>,
    /// Identifies the prompt prefix that the request shares with others.
    pub affinity: Option<u64>,
    /// The target that its placer has chosen, if one has.
    pub preferred: Option<&'a name::Target>,
    /// The targets that are left out.
    pub tried: &'a [name::Target],
    /// The only targets that may get it, if not all may.
    pub only: Option<&'a [name::Target]>,
    /// The request's random number.
    pub draw: u64,
    /// By when the request must be sent to be of any use.
    pub due: Millis,
    /// Its priority, if it has to wait.
    pub rank: Rank,
    /// The workspace that sent it.
    pub workspace: Option<&'a name::Workspace>,
    /// By when its answer must begin to be on time.
    pub on_time_by: Millis,
    /// How much work it is, in a unit that is the same for all requests of the service.
    pub work: u64,
}

/// A target that was picked for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PickedTarget {
    /// Its name.
    pub target: name::Target,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: name::Domain,
    /// The version of its software.
    pub version: name::Version,
    /// Its run.
    pub run: Run,
    /// When this run started, as its entry says; zero if that is not known.
    pub started: u64,
    /// Its service.
    pub service: name::Service,
    /// The workspace whose request uses the place there.
    pub workspace: Option<name::Workspace>,
}

impl Need<'_> {
    /// Returns whether the request may be sent to a target: the target has the version that
    /// it needs, is allowed and was not tried.
    #[must_use]
    pub fn fits(&self, target: &Target) -> bool {
        let is_version = self
            .version
            .is_none_or(|version| target.version == *version);
        let is_allowed = self.only.is_none_or(|only| only.contains(&target.name));
        is_version && is_allowed && !self.tried.contains(&target.name)
    }
}

impl PickedTarget {
    /// Returns whether a listed target is the one that was picked, in the same run.
    #[must_use]
    pub fn is_still(&self, target: &Target) -> bool {
        let listed = Self::from(target);
        (&self.run, &self.version, self.address) == (&listed.run, &listed.version, listed.address)
    }
}

impl From<&Target> for PickedTarget {
    fn from(target: &Target) -> Self {
        Self {
            target: target.name.clone(),
            address: target.address,
            domain: target.domain.clone(),
            version: target.version.clone(),
            run: Run::of(&target.name, target.started),
            started: target.started,
            service: target.service.clone(),
            workspace: None,
        }
    }
}
