//! The state that all tasks of the daemon share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::durations::Span;
use gooseberry_kernel::request::routing_table::Route;
use gooseberry_platform::boot::Boot;
use gooseberry_runtime::clock::Clock;
use tokio::sync::Notify;

use crate::body_memory::BodyMemory;
use crate::dispatcher::Dispatcher;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::placement::Asker;
use crate::placement::Placer;
use crate::pool::Pool;
use crate::reply_memory::ReplyMemory;
use crate::shutdown::Shutdown;
use crate::state::State;
use crate::store_check::Checker;
use crate::store_history::HistoryReader;

/// Request bodies may take one part in this many of the daemon's memory; the rest
/// is for connections, which take a few tens of kilobytes each.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Replies may take one part in this many. A buffer that grows takes up to three times
/// what is in it while it is moved.
const REPLY_MEMORY_DIVISOR: u64 = 16;

/// The state that all tasks of the daemon share.
#[derive(Debug)]
pub struct Context {
    /// The settings of this process: its name, addresses and resource limits.
    pub boot: Boot,
    /// The clock since the start of the process.
    pub clock: Clock,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Connections to peers.
    pub peers: Peers,
    /// The queues of the stage services that this daemon dispatches for.
    pub dispatcher: Dispatcher,
    /// The groups of engines that this daemon chooses from.
    pub placer: Placer,
    /// Asks the platform's store whether this daemon's copy is current.
    pub(crate) store_checker: Checker,
    /// Reads the history of the platform's store.
    pub(crate) history_reader: HistoryReader,
    /// What this daemon knows of the placers that it asks.
    pub asker: Asker,
    /// The metrics of this process.
    pub metrics: Metrics,
    /// When the daemon stops serving, once it is shutting down.
    pub shutdown: Shutdown,
    /// The limit on the memory that request bodies take.
    pub body_memory: BodyMemory,
    /// The limit on the memory that the replies of targets take.
    pub reply_memory: ReplyMemory,
    /// Notified when a check of a link to a service has reached a target or has ended.
    pub link_changed: Notify,
    /// Notified when targets have been asked which streams they hold.
    pub survey_ended: Notify,
    state: Mutex<State>,
}

impl Context {
    /// Creates the state of a daemon that knows nothing of the fleet yet.
    /// `incarnation` tells this start of the process from others.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be registered.
    pub fn new(boot: Boot, clock: Clock, incarnation: u64) -> anyhow::Result<Arc<Self>> {
        let metrics = Metrics::new()?;
        Ok(Arc::new(Self {
            state: Mutex::new(State::new(&boot, incarnation)),
            clock,
            pool: Pool::default(),
            peers: Peers::new(metrics.control_bytes()),
            dispatcher: Dispatcher::default(),
            placer: Placer::default(),
            store_checker: Checker::new(boot.store_address),
            history_reader: HistoryReader::new(boot.store_address),
            asker: Asker::default(),
            metrics,
            shutdown: Shutdown::new(clock),
            link_changed: Notify::new(),
            survey_ended: Notify::new(),
            body_memory: BodyMemory::new(boot.memory_bytes / BODY_MEMORY_DIVISOR),
            reply_memory: ReplyMemory::new(boot.memory_bytes / REPLY_MEMORY_DIVISOR),
            boot,
        }))
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns how long a request of a route is expected to take from now on.
    #[must_use]
    pub fn forecast(&self, route: &Route, span: Span, deadline: Millis) -> Forecast {
        let now = self.now();
        Forecast::new(route, self.state().durations(), span, deadline, now)
    }

    /// Locks the daemon's view of the fleet, for one decision.
    ///
    /// No decision waits for anything, so the lock is held for microseconds.
    /// An actor instead of the lock would cost a wake-up for each decision, which
    /// is expensive on the platform's small processors.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
