//! Picks a target by the choice of its placer, and has the placer told how the request ended.

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement::End;
use gooseberry_platform::target::Load;

use crate::forward::Forwarder;
use crate::forward::pick;
use crate::placement;
use crate::placement::PlacedRequest;
use crate::state::Need;
use crate::state::PickedTarget;

impl Forwarder {
    /// Returns what the request needs of its target, which is none of those in `tried`.
    pub(super) fn need<'a>(&'a self, tried: &'a [name::Target]) -> Need<'a> {
        Need {
            service: &self.job.service,
            version: self.job.origin.as_ref().map(|origin| &origin.version),
            affinity: self.job.head.shared_prefix_hash,
            preferred: None,
            tried,
            only: self.is_limited_to_writers.then_some(&self.writers),
            draw: self.job.draw(),
            due: self.job.begin_by,
            rank: self.job.rank,
            workspace: self.job.workspace.as_ref(),
            on_time_by: self.job.useful_by(),
            work: self.job.work(),
        }
    }

    /// Picks a target: the one that its placer has chosen, if this daemon can use it. The
    /// request then counts as in flight there.
    pub(super) async fn pick_target(&mut self) -> Result<PickedTarget, Failure> {
        let (context, job) = (&self.context, &self.job);
        let need = self.need(&self.tried);
        let domain = self.preferred_domain.as_ref();
        let placed = placement::place(context, job, need, domain).await;
        let need = Need {
            preferred: placed.as_ref().map(PlacedRequest::target),
            ..need
        };
        let (attempt, forecast) = (&job.head.attempt, || self.forecast());
        let picked = pick::wait_for_target(context, attempt, need, job.deadline, forecast).await;
        let chosen = picked.as_ref().ok().map(|picked| &picked.target);
        self.placed = placed.filter(|placed| placed.record_choice(chosen));
        picked
    }

    /// Records how the request ended at the target that its placer has chosen, if that was
    /// not recorded before.
    pub(super) fn end_placed(&mut self, end: End) {
        if let Some(mut placed) = self.placed.take() {
            placed.record_end(end);
        }
    }

    /// Records the load that the target reports.
    pub(super) fn record_load(&mut self, target: &name::Target, load: Load) {
        let now = self.context.now();
        self.context.state().record_load(target, load, now);
        if let Some(placed) = &mut self.placed {
            placed.record_slowness(load.slowness_percent);
        }
    }
}
