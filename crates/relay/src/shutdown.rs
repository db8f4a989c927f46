//! Tells the requests of a daemon that is shutting down how much time is left.

use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::deadline_admission::RETRY_AFTER_MIN;
use gooseberry_runtime::clock::Clock;
use tokio::sync::watch;
use tokio::time::sleep;

/// How often a request that waits looks at how long others take by now.
const FORECAST_INTERVAL: Millis = Millis(100);

/// The progress of a shutdown.
#[derive(Debug)]
pub struct Shutdown {
    clock: Clock,
    /// When the last answers are given; `None` before a shutdown.
    end: watch::Sender<Option<Millis>>,
}

impl Shutdown {
    /// Creates the state of a daemon that is not shutting down.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            end: watch::Sender::new(None),
        }
    }

    /// Sets when the last answers are given.
    pub fn set_end(&self, end: Millis) {
        self.end.send_replace(Some(end));
    }

    /// Checks whether a request may be sent to a target, if the daemon is shutting down.
    ///
    /// # Errors
    /// Returns [`Kind::ShuttingDown`] if the daemon is expected to end before the request.
    pub fn check_unsent(
        &self,
        attempt: &name::Attempt,
        forecast: impl Fn() -> Forecast,
    ) -> Result<(), Failure> {
        let end = *self.end.borrow();
        let Some(end) = end else {
            return Ok(());
        };
        let (forecast, now) = (forecast(), self.clock.now());
        if now < forecast.last_start(end) {
            return Ok(());
        }
        log::info!(
            request:% = attempt,
            expected_ms = forecast.duration.0,
            left_ms = (end - now).0,
            deadline_ms = (forecast.deadline - now).0;
            "not sent: the daemon would end before the request"
        );
        Err(Failure::from(Kind::ShuttingDown).with_retry_after(RETRY_AFTER_MIN))
    }

    /// Waits for something that a request needs before it is sent to a target.
    ///
    /// # Errors
    /// Returns [`Kind::ShuttingDown`] once the daemon is expected to end before the request.
    pub async fn wait_unsent<T>(
        &self,
        attempt: &name::Attempt,
        forecast: impl Fn() -> Forecast,
        wait: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let is_too_late = async {
            let end = self.begun().await;
            loop {
                self.check_unsent(attempt, &forecast)?;
                let next = forecast().last_start(end);
                let next = next.min(self.clock.now() + FORECAST_INTERVAL);
                sleep(self.clock.until(next).max(Duration::from_millis(1))).await;
            }
        };
        tokio::select! {
            biased;
            output = wait => Ok(output),
            failure = is_too_late => failure,
        }
    }

    /// Returns whether the last answers have been given.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let end = *self.end.borrow();
        end.is_some_and(|end| end <= self.clock.now())
    }

    /// Waits until the last answers are given.
    pub async fn ended(&self) {
        let end = self.begun().await;
        sleep(self.clock.until(end)).await;
    }

    /// Waits until a shutdown begins, and returns when its last answers are given.
    async fn begun(&self) -> Millis {
        let mut end = self.end.subscribe();
        // The sender lives as long as this value, so this cannot fail.
        let begun = end.wait_for(Option::is_some).await;
        begun.ok().and_then(|end| *end).unwrap_or(Millis::NEVER)
    }
}
