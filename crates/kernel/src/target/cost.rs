//! Estimates of what a request costs at an engine.
//!
//! The unit is a millisecond of work on a typical engine of the service. An [`Estimator`]
//! starts with guesses and learns from finished requests how long reading and writing
//! take, how much longer an engine takes than the typical one ([`Speed`]), and how the
//! real length of an answer compares to the announced one.

use std::time::Duration;

use crate::clock::Millis;
use crate::name;
use crate::request::demand::Demand;

/// The number of prompt tokens that an engine reads in one step.
pub const CHUNK_TOKENS: u32 = 4_096;

/// Unit of prompt lengths within the estimator. It makes the fixed, the linear and the
/// quadratic part of reading times about equally large, so they are learned equally fast.
const UNIT_TOKENS: f64 = 16_384.0;
/// First guess of the time to the first event without any reading.
const FIXED_MS: f64 = 40.0;
/// First guess of the reading speed.
const READ_TOKENS_PER_MS: f64 = 60.0;
/// First guess of the time for one token of an answer.
const STEP_MS: f64 = 5.0;
/// First guess of the length of an answer without a hint, relative to the maximum.
const UNHINTED_RATIO: f64 = 0.5;
/// Weight of one observation in what holds for the whole service, which gets hundreds of
/// observations a second.
const SERVICE_WEIGHT: f64 = 0.05;
/// Smallest weight of one observation of an engine, which gets about two a second.
const SPEED_WEIGHT_MIN: f64 = 0.125;
/// Weight of the first observation of an engine. With [`OUTLIER_RATIO`] it limits the
/// change by one observation to a quarter.
const SPEED_WEIGHT_MAX: f64 = 0.25;
/// As how many observations a speed counts that another daemon tells, which is what an
/// engine gets in some seconds.
const ADOPTED_OBSERVATIONS: u32 = 8;
/// An observation counts as at most this many times, and at least this fraction of, the
/// expected value.
const OUTLIER_RATIO: f64 = 2.0;
/// The largest factor by which engines of a service are taken to differ.
const FACTOR_MAX: f64 = 10.0;
/// How long a momentary slowness of a machine lasts, see [`Observation::slowness_percent`].
const SLOW_PERIOD_MS: f64 = 90.0;
/// Usable range of [`Observation::slowness_percent`].
const SLOWNESS_PERCENT: (u32, u32) = (10, 10_000);
/// The largest relative error that one observation adds to the mean.
const RELATIVE_ERROR_MAX: f64 = 10.0;
/// The largest number of routes with a learned length. Names come from peers.
const ROUTES_MAX: usize = 256;
/// Bounds of the learned ratio of actual to announced lengths.
const LENGTH_RATIO: (f64, f64) = (0.05, 20.0);

/// What a request costs at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Number of prompt tokens to read: those that the engine has not cached.
    pub read_tokens: u32,
    /// The time to read them, in milliseconds.
    pub read_ms: f64,
    /// Expected number of tokens of the answer.
    pub output_tokens: u32,
    /// The time to write them, in milliseconds.
    pub output_ms: f64,
}

/// How long work takes at an engine, relative to the typical one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    factor: f64,
    observations: u32,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            observations: 0,
        }
    }
}

impl Speed {
    /// Returns how many times as long as on the typical engine work takes.
    #[must_use]
    pub fn time_factor(self) -> f64 {
        self.factor
    }

    /// Returns the speed relative to the typical engine, in thousandths.
    #[must_use]
    pub fn permille(self) -> u32 {
        permille(1.0 / self.factor)
    }

    /// Returns whether there were observations.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.observations > 0
    }

    /// Returns how long work takes, in thousandths of that on the typical engine; `None`
    /// without observations.
    #[must_use]
    pub fn time_permille(self) -> Option<u32> {
        self.is_known().then(|| permille(self.factor))
    }

    /// Takes over what another daemon has observed.
    pub(super) fn adopt(&mut self, time_permille: u32) {
        self.factor = f64::from(time_permille) / 1000.0;
        self.observations = ADOPTED_OBSERVATIONS;
    }

    fn observe(&mut self, ratio: f64) {
        let age = f64::from(self.observations.min(100));
        let weight = (1.0 / (age + 4.0)).clamp(SPEED_WEIGHT_MIN, SPEED_WEIGHT_MAX);
        let ratio = without_outlier(ratio);
        let factor = self.factor * (1.0 + weight * (ratio - 1.0));
        self.factor = factor.clamp(1.0 / FACTOR_MAX, FACTOR_MAX);
        self.observations = self.observations.saturating_add(1);
    }
}

/// What was observed of a request that got at least one event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Number of prompt tokens that were read.
    pub read_tokens: u32,
    /// The time for the reading that was to be done before, on a typical engine.
    pub backlog_ms: f64,
    /// The time to the first event as it was predicted.
    pub predicted_ms: f64,
    /// The time to the first event.
    pub first_ms: f64,
    /// Number of tokens after the first event and the time they took, if no other prompt
    /// was read at the engine in that time.
    pub output: Option<(u32, f64)>,
    /// How long work took on the engine's machine when it answered, in percent. It holds
    /// for a short time only, so it is taken out of that much of the time.
    pub slowness_percent: Option<u32>,
}

#[derive(Clone, Debug)]
struct RouteLength {
    route: name::Route,
    /// Ratio of the actual to the hinted length.
    hinted: f64,
    /// Ratio of the actual to the largest length, of answers without a hint.
    unhinted: f64,
}

/// What is known about the costs of the requests of one engine service.
#[derive(Clone, Debug)]
pub struct Estimator {
    fixed_ms: f64,
    /// Time to read [`UNIT_TOKENS`], and the part that grows with the square of them.
    linear_ms: f64,
    square_ms: f64,
    step_ms: f64,
    /// Sorted by name.
    lengths: Vec<RouteLength>,
    relative_error: Option<f64>,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            fixed_ms: FIXED_MS,
            linear_ms: UNIT_TOKENS / READ_TOKENS_PER_MS,
            square_ms: 0.0,
            step_ms: STEP_MS,
            lengths: Vec::new(),
            relative_error: None,
        }
    }
}

impl Estimator {
    /// Returns the cost of a request on a typical engine that has the first `cached_tokens`
    /// of its prompt.
    #[must_use]
    pub fn cost(&self, route: &name::Route, demand: &Demand, cached_tokens: u32) -> Cost {
        let read_tokens = demand.prompt_tokens.saturating_sub(cached_tokens);
        let output_tokens = self.output_tokens(route, demand);
        Cost {
            read_tokens,
            read_ms: self.read_ms(read_tokens),
            output_tokens,
            output_ms: f64::from(output_tokens) * self.step_ms,
        }
    }

    /// Returns the time to read prompt tokens on a typical engine.
    #[must_use]
    pub fn read_ms(&self, tokens: u32) -> f64 {
        let units = f64::from(tokens) / UNIT_TOKENS;
        units * (self.linear_ms + units * self.square_ms)
    }

    /// Returns the time to the first event without any reading, on a typical engine.
    #[must_use]
    pub fn fixed_ms(&self) -> f64 {
        self.fixed_ms
    }

    /// Returns the time for one token of an answer on a typical engine.
    #[must_use]
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// Returns the mean relative error of the predicted times to the first event, in
    /// thousandths; `None` without observations.
    #[must_use]
    pub fn error_permille(&self) -> Option<u32> {
        self.relative_error.map(permille)
    }

    /// Learns from a request that an engine has answered.
    pub fn observe(&mut self, speed: &mut Speed, observed: &Observation) {
        let error = (observed.predicted_ms - observed.first_ms).abs() / observed.first_ms.max(1.0);
        let error = error.min(RELATIVE_ERROR_MAX);
        let mean = self.relative_error.unwrap_or(error);
        self.relative_error = Some(mean + SERVICE_WEIGHT * (error - mean));

        let first_ms = without_slowness(observed.first_ms, observed.slowness_percent);
        let own_ms = self.fixed_ms + self.read_ms(observed.read_tokens);
        let expected_ms = (observed.backlog_ms + own_ms) * speed.factor;
        let (tokens, output_ms) = observed.output.unwrap_or_default();
        let expected_output_ms = f64::from(tokens) * self.step_ms * speed.factor;

        // If most of the time was spent on other prompts, it says little about this one.
        if observed.backlog_ms < own_ms {
            let observed_ms = first_ms / speed.factor - observed.backlog_ms;
            self.observe_reading(observed.read_tokens, own_ms, observed_ms);
        }
        if expected_output_ms > 0.0 {
            let ratio = without_outlier(output_ms / expected_output_ms);
            self.step_ms *= 1.0 + SERVICE_WEIGHT * (ratio - 1.0);
            self.step_ms = self.step_ms.clamp(STEP_MS / 100.0, STEP_MS * 100.0);
        }
        speed.observe((first_ms + output_ms) / (expected_ms + expected_output_ms));
    }

    /// Learns the length of a complete answer.
    pub fn observe_length(&mut self, route: &name::Route, demand: &Demand, output_tokens: u32) {
        let search = self
            .lengths
            .binary_search_by(|known| known.route.cmp(route));
        let index = match search {
            Ok(index) => index,
            Err(_) if self.lengths.len() >= ROUTES_MAX => return,
            Err(index) => {
                let length = RouteLength {
                    route: route.clone(),
                    hinted: 1.0,
                    unhinted: UNHINTED_RATIO,
                };
                self.lengths.insert(index, length);
                index
            }
        };
        let length = &mut self.lengths[index];
        let (ratio, announced) = match demand.output_hint {
            Some(hint) => (&mut length.hinted, hint.min(demand.max_output_tokens)),
            None => (&mut length.unhinted, demand.max_output_tokens),
        };
        let observed = f64::from(output_tokens) / f64::from(announced.max(1));
        let observed = observed.clamp(*ratio / 4.0, *ratio * 4.0);
        *ratio += SERVICE_WEIGHT * (observed - *ratio);
        *ratio = ratio.clamp(LENGTH_RATIO.0, LENGTH_RATIO.1);
    }

    /// Makes the mean of the speeds the typical one again. The predictions for these
    /// engines stay the same, those for a new engine become right.
    pub fn rebase<'a>(&mut self, speeds: impl Iterator<Item = &'a mut Speed>) {
        let mut known: Vec<&mut Speed> = speeds.filter(|speed| speed.observations > 0).collect();
        let sum: f64 = known.iter().map(|speed| speed.factor).sum();
        let count = u32::try_from(known.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return;
        }
        let mean = sum / f64::from(count);
        for speed in &mut known {
            speed.factor /= mean;
        }
        for part in [
            &mut self.fixed_ms,
            &mut self.linear_ms,
            &mut self.square_ms,
            &mut self.step_ms,
        ] {
            *part *= mean;
        }
    }

    fn output_tokens(&self, route: &name::Route, demand: &Demand) -> u32 {
        let found = self
            .lengths
            .binary_search_by(|known| known.route.cmp(route));
        let known = found.ok().map(|index| &self.lengths[index]);
        let ratio = known.map_or((1.0, UNHINTED_RATIO), |length| {
            (length.hinted, length.unhinted)
        });
        let longest = demand.max_output_tokens;
        let expected = demand
            .output_hint
            .map_or(f64::from(longest) * ratio.1, |hint| {
                f64::from(hint.min(longest)) * ratio.0
            });
        whole(expected).min(demand.max_output_tokens)
    }

    /// Corrects the three parts of the time to the first event by a normalized gradient
    /// step.
    fn observe_reading(&mut self, tokens: u32, expected_ms: f64, observed_ms: f64) {
        let limit = expected_ms / OUTLIER_RATIO;
        let error = (observed_ms - expected_ms).clamp(-limit, limit);
        let units = f64::from(tokens) / UNIT_TOKENS;
        let norm = 1.0 + units * units + units.powi(4);
        let step = SERVICE_WEIGHT * error / norm;
        self.fixed_ms = (self.fixed_ms + step).clamp(1.0, FIXED_MS * 100.0);
        let linear_ms = UNIT_TOKENS / READ_TOKENS_PER_MS;
        let linear = self.linear_ms + step * units;
        self.linear_ms = linear.clamp(linear_ms / 100.0, linear_ms * 100.0);
        self.square_ms = (self.square_ms + step * units * units).clamp(0.0, linear_ms);
    }
}

/// Returns a time in milliseconds. Times beyond the range of whole milliseconds in a
/// floating-point number, some 285,000 years, lose precision.
pub(super) fn millis(time: Millis) -> f64 {
    Duration::from_millis(time.0).as_secs_f64() * 1000.0
}

/// Returns whole milliseconds, rounded down; zero for a negative time.
pub(super) fn whole_millis(ms: f64) -> Millis {
    let duration = Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::MAX);
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

fn whole(number: f64) -> u32 {
    u32::try_from(whole_millis(number.ceil()).0).unwrap_or(u32::MAX)
}

fn permille(ratio: f64) -> u32 {
    whole((ratio * 1000.0).round())
}

fn without_outlier(ratio: f64) -> f64 {
    ratio.clamp(1.0 / OUTLIER_RATIO, OUTLIER_RATIO)
}

/// Returns a time without what was lost, or won, because of a momentary slowness.
fn without_slowness(ms: f64, slowness_percent: Option<u32>) -> f64 {
    let percent = slowness_percent.unwrap_or(100);
    let slowness = f64::from(percent.clamp(SLOWNESS_PERCENT.0, SLOWNESS_PERCENT.1)) / 100.0;
    ms - ms.min(SLOW_PERIOD_MS) * (1.0 - 1.0 / slowness)
}
