//! Disturbances of a site during a load run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::id;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_standin::platform;
use gooseberry_standin::site::ListedTarget;
use gooseberry_standin::target::Fault;

use crate::embedded::Embedded;

/// Factor by which the total rate grows in a burst or a flood.
pub const SURGE_FACTOR: u32 = 3;
/// Text in the body of requests that crash the engines that run them.
pub const CRASH_TEXT: &str = "crash-on-this";
/// Time between taking a failure domain out and stopping its targets.
pub const EVACUATION_NOTICE: Duration = Duration::from_secs(3);

/// Begin and end of the disturbance, in percent of the measured time.
const DISTURBANCE_PERCENT: (u32, u32) = (25, 60);
/// Delay added to each call of the slow stage.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Delay added to each call of its slowest target.
const SLOWEST_DELAY: Duration = Duration::from_secs(2);

/// Disturbance of a site during a load run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scenario {
    /// No disturbance.
    #[default]
    Calm,
    /// The request rate triples.
    Burst,
    /// The targets of one stage are slow, one of them much slower.
    SlowStage,
    /// Operators take a failure domain out, and it comes back cold.
    DomainOut,
    /// Half of the targets turn cold at once.
    HalfCold,
    /// Some requests crash each engine that runs them.
    Crash,
    /// The platform, which serves the settings and the list, is down.
    SettingsDown,
    /// One workspace sends, on top of the usual load, twice the usual rate of
    /// all workspaces together.
    Flood,
}

impl Scenario {
    /// Every scenario, in the order of the table.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::Burst,
        Self::SlowStage,
        Self::DomainOut,
        Self::HalfCold,
        Self::Crash,
        Self::SettingsDown,
        Self::Flood,
    ];

    /// Returns the name on the command line and in tables.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Burst => "burst",
            Self::SlowStage => "slow-stage",
            Self::DomainOut => "domain-out",
            Self::HalfCold => "half-cold",
            Self::Crash => "crash",
            Self::SettingsDown => "settings-down",
            Self::Flood => "flood",
        }
    }

    /// Returns the factor on the plan's request rate, `at` counted from the
    /// start of the measurement.
    #[must_use]
    pub fn rate_factor(self, at: Duration, span: Duration) -> u32 {
        let is_surge = matches!(self, Self::Burst | Self::Flood);
        let (from, to) = disturbance_span(span);
        if is_surge && at >= from && at < to {
            SURGE_FACTOR
        } else {
            1
        }
    }

    /// Applies the disturbance to the site, with the measurement starting at
    /// `origin`. Returns once its temporary faults are removed; cold targets
    /// warm up later, and the `Crash` fault stays.
    pub async fn inject(self, embedded: &Embedded, origin: Instant, span: Duration) {
        let (from, to) = disturbance_span(span);
        tokio::time::sleep_until((origin + from).into()).await;
        match self {
            Self::Calm | Self::Burst | Self::Flood => {}
            Self::SlowStage => slow_stage(embedded, origin + to).await,
            Self::DomainOut => domain_out(embedded, origin + to).await,
            Self::HalfCold => half_cold(embedded),
            Self::Crash => crash(embedded),
            Self::SettingsDown => settings_down(embedded, origin + to).await,
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl FromStr for Scenario {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL
            .into_iter()
            .find(|scenario| scenario.label() == text);
        found.ok_or_else(|| id::Invalid { text: text.into() })
    }
}

/// Returns the begin and end of the disturbance, from the start of the
/// measurement.
#[must_use]
pub fn disturbance_span(span: Duration) -> (Duration, Duration) {
    let (from, to) = DISTURBANCE_PERCENT;
    (span * from / 100, span * to / 100)
}

async fn slow_stage(embedded: &Embedded, until: Instant) {
    let stage = embedded.targets_of_kind(TargetKind::Reranker);
    for (index, listed) in stage.enumerate() {
        let more = if index == 0 {
            SLOWEST_DELAY
        } else {
            SLOW_DELAY
        };
        listed.target.set_fault(Fault::Slow(more));
    }
    tokio::time::sleep_until(until.into()).await;
    set_all(embedded.targets_of_kind(TargetKind::Reranker), &Fault::None);
}

async fn domain_out(embedded: &Embedded, until: Instant) {
    let domain = embedded.site.domains[0];
    embedded.publish_fleet(Some(domain));
    tokio::time::sleep(EVACUATION_NOTICE).await;
    for listed in embedded.targets_in_domain(domain) {
        listed.target.crash();
        listed.target.set_fault(Fault::Break);
    }
    tokio::time::sleep_until(until.into()).await;
    for listed in embedded.targets_in_domain(domain) {
        listed.target.make_cold();
        listed.target.set_fault(Fault::None);
    }
    embedded.publish_fleet(None);
}

fn half_cold(embedded: &Embedded) {
    for listed in embedded.targets.iter().step_by(2) {
        listed.target.make_cold();
    }
}

fn crash(embedded: &Embedded) {
    let fault = Fault::CrashOn(CRASH_TEXT.to_owned());
    set_all(embedded.targets_of_kind(TargetKind::Engine), &fault);
}

async fn settings_down(embedded: &Embedded, until: Instant) {
    embedded.platform.set_fault(platform::Fault::Down);
    tokio::time::sleep_until(until.into()).await;
    embedded.platform.set_fault(platform::Fault::None);
}

fn set_all<'a>(targets: impl Iterator<Item = &'a ListedTarget>, fault: &Fault) {
    for listed in targets {
        listed.target.set_fault(fault.clone());
    }
}
