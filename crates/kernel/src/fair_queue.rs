//! Orders the calls that wait for one target.
//!
//! Workspaces take turns by weight (start-time fair queueing), so that the
//! calls of a workspace that sends too many wait behind each other and do not
//! delay other workspaces. Within a workspace, [`Order`] decides. Calls that
//! are already late run after all calls that are not.
//! `docs/design/deadlines.md` compares the orders.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::id;
use crate::slot::Call;

scalar! {
    /// Which call of one workspace starts next.
    pub enum Order {
        /// The one that arrived first.
        Fifo,
        /// The one that is due first.
        EarliestDue,
        /// The one that arrived last.
        Lifo,
    }
}

/// By how much a call advances the virtual start of a workspace with weight one.
const VIRTUAL_TIME_PER_CALL: u64 = 1 << 20;

/// The queueing state of one workspace.
#[derive(Clone, Debug)]
struct Flow {
    workspace: id::Workspace,
    weight: u64,
    /// The virtual time at which its next call may start.
    virtual_start: u64,
    waiting: u64,
}

/// The calls that wait for one target.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// The calls in order of arrival.
    calls: Vec<Call>,
    /// The workspaces that have calls waiting, or whose next start lies ahead of
    /// the virtual time; sorted by workspace.
    flows: Vec<Flow>,
    /// The latest virtual start of the calls that have started.
    virtual_time: u64,
}

impl FairQueue {
    /// Returns the number of waiting calls.
    #[inline]
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    #[inline]
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call; `weight` is the weight of its workspace.
    pub fn push(&mut self, call: Call, weight: u16) {
        let virtual_time = self.virtual_time;
        let flow = self.flow(&call.workspace, weight);
        if flow.waiting == 0 {
            flow.virtual_start = flow.virtual_start.max(virtual_time);
        }
        flow.waiting += 1;
        self.calls.push(call);
    }

    /// Removes and returns the call that arrived first, of any workspace.
    pub fn pop_oldest(&mut self) -> Option<Call> {
        let call = self.calls.first()?.clone();
        self.remove(call.attempt);
        Some(call)
    }

    /// Removes and returns the call that starts next.
    pub fn pop(&mut self, order: Order, now: Millis) -> Option<Call> {
        let is_any_in_time = self.calls.iter().any(|call| call.due > now);
        let is_eligible = |call: &&Call| !is_any_in_time || call.due > now;
        let has_call = |flow: &&Flow| {
            let mut eligible = self.calls.iter().filter(is_eligible);
            eligible.any(|call| call.workspace == flow.workspace)
        };
        let flow = self.flows.iter().filter(has_call);
        let flow = flow.min_by_key(|flow| flow.virtual_start)?.clone();
        let of_flow = |call: &&Call| call.workspace == flow.workspace;
        let mut eligible = self.calls.iter().filter(is_eligible).filter(of_flow);
        let call = match order {
            Order::Fifo => eligible.next(),
            Order::EarliestDue => eligible.min_by_key(|call| call.due),
            Order::Lifo => eligible.next_back(),
        };
        let call = call?.clone();
        self.virtual_time = self.virtual_time.max(flow.virtual_start);
        let index = self.flow_index(&flow.workspace).ok()?;
        self.flows[index].virtual_start = flow.virtual_start + VIRTUAL_TIME_PER_CALL / flow.weight;
        self.remove(call.attempt);
        Some(call)
    }

    /// Removes a call if it is waiting.
    pub fn remove(&mut self, attempt: id::Attempt) {
        self.remove_where(|call| call.attempt == attempt);
    }

    /// Removes and returns the calls that match the condition.
    pub fn remove_where(&mut self, matches: impl Fn(&Call) -> bool) -> Vec<Call> {
        let calls = std::mem::take(&mut self.calls);
        let (removed, kept): (Vec<Call>, Vec<Call>) = calls.into_iter().partition(matches);
        self.calls = kept;
        for call in &removed {
            if let Ok(index) = self.flow_index(&call.workspace) {
                self.flows[index].waiting -= 1;
            }
        }
        let virtual_time = self.virtual_time;
        let is_kept = |flow: &Flow| flow.waiting > 0 || flow.virtual_start > virtual_time;
        self.flows.retain(is_kept);
        removed
    }

    /// Removes and returns the call to evict for a new one in a full queue.
    ///
    /// That is the newest late call. Without a late call it is the newest call
    /// of the workspace with the most waiting calls relative to its weight, if
    /// these are more than the new call's workspace would have. A new call that
    /// is already late evicts no call.
    pub fn evict_for(&mut self, call: &Call, weight: u16, now: Millis) -> Option<Call> {
        if call.due <= now {
            return None;
        }
        let late = self.calls.iter().rfind(|waiting| waiting.due <= now);
        let evicted = late.or_else(|| {
            let flow = self.largest_flow()?;
            let own_waiting = self.waiting(&call.workspace) + 1;
            let is_larger = flow.waiting * u64::from(weight) > own_waiting * flow.weight;
            let of_flow = |waiting: &&Call| waiting.workspace == flow.workspace;
            self.calls.iter().rfind(of_flow).filter(|_| is_larger)
        });
        let evicted = evicted?.clone();
        self.remove(evicted.attempt);
        Some(evicted)
    }

    /// Estimates how many waiting calls start before a new one of the workspace.
    #[must_use]
    pub fn calls_ahead(&self, workspace: &id::Workspace, weight: u16) -> u64 {
        let own_waiting = self.waiting(workspace);
        let ahead_in_flow = |flow: &Flow| {
            if flow.workspace == *workspace {
                return own_waiting;
            }
            let turns = (own_waiting + 1) * flow.weight / u64::from(weight.max(1));
            flow.waiting.min(turns.max(1))
        };
        self.flows.iter().map(ahead_in_flow).sum()
    }

    fn waiting(&self, workspace: &id::Workspace) -> u64 {
        let found = self.flow_index(workspace);
        found.map_or(0, |index| self.flows[index].waiting)
    }

    fn largest_flow(&self) -> Option<&Flow> {
        let by_weight = |flow: &&Flow| flow.waiting * VIRTUAL_TIME_PER_CALL / flow.weight;
        self.flows.iter().max_by_key(by_weight)
    }

    fn flow_index(&self, workspace: &id::Workspace) -> Result<usize, usize> {
        self.flows
            .binary_search_by(|flow| flow.workspace.cmp(workspace))
    }

    fn flow(&mut self, workspace: &id::Workspace, weight: u16) -> &mut Flow {
        let index = self.flow_index(workspace).unwrap_or_else(|index| {
            let flow = Flow {
                workspace: workspace.clone(),
                weight: 1,
                virtual_start: 0,
                waiting: 0,
            };
            self.flows.insert(index, flow);
            index
        });
        let flow = &mut self.flows[index];
        flow.weight = u64::from(weight.max(1));
        flow
    }
}
