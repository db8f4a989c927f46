//! Sends a request, and sends it once more while its target is silent.
//!
//! A sound target may be silent for a while and go on, and another one may refuse the
//! request, fail or be silent, too. The first call is therefore kept beside the second one,
//! and the answer that is whole first is passed on.

use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::continuation::Use;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_kernel::target::placement::End;
use gooseberry_platform::target::Validity;
use http::StatusCode;
use tokio::time::sleep;

use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::forward::attempt::Path;
use crate::forward::call::Call;
use crate::forward::call::Step;
use crate::forward::call::next_step;
use crate::forward::time_left::deadline_passed;
use crate::link;

/// How long a reply may be silent, before its head and within its body, until another target
/// is sought, as a multiple of its route's latency objective.
const SILENCE_FACTOR: u64 = 2;
/// How long after a search that has found no target the next one begins.
const SEARCH_INTERVAL: Millis = Millis(500);
/// How long two targets may have a stream at once. The second one refuses it within a round
/// trip if it does; a closed call still lingers a little, and two targets may not work on a
/// stream for 400 ms.
pub(super) const STREAM_OVERLAP_MAX: Millis = Millis(200);

/// The calls of a request that are open, and how the others ended.
struct Race {
    /// In the order in which they were sent; never empty.
    calls: Vec<Call>,
    search: Search,
    /// Whether a detour was sought, since the link went down.
    has_lost_link: bool,
    /// When the earlier calls of a stream are closed.
    overlap_end: Option<Millis>,
    /// The failure of a target that may have run the request.
    failure: Option<Failure>,
    /// A target's answer with an error, which is passed on if there is no better one.
    error_reply: Option<Box<StartedReply>>,
    /// Whether results of the stages are gone.
    are_inputs_gone: bool,
}

/// The search for another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Search {
    /// It begins at this time, unless a reply makes progress before.
    At(Millis),
    Running,
}

/// What happens next to a request.
enum Event {
    /// The reply of the call with this index has come a step further.
    Step(usize, Step),
    /// Its targets have been silent for too long.
    Silent,
    /// Its targets cannot be reached any more, and a peer may reach some.
    LinkLost,
    /// The search for another target has ended.
    Searched(Result<Path, Failure>),
    /// The second target of a stream has had the time to refuse it.
    OverlapEnd,
}

impl Forwarder {
    /// Sends the request until a target's reply begins, or is whole if it is not a stream.
    /// Counts all targets that may have run the request but one, if the outcome says that
    /// one has.
    pub(super) async fn send_once(&mut self, path: Path) -> SendOutcome {
        let mut race = Race {
            calls: vec![self.begin_call(path)],
            search: Search::At(self.silence_end()),
            has_lost_link: false,
            overlap_end: None,
            failure: None,
            error_reply: None,
            are_inputs_gone: false,
        };
        loop {
            match self.next_event(&mut race).await {
                Event::Step(index, step) => {
                    if let Some(outcome) = self.take_step(&mut race, index, step) {
                        return outcome;
                    }
                }
                Event::Silent => self.begin_search(&mut race),
                Event::LinkLost => {
                    race.has_lost_link = true;
                    self.begin_search(&mut race);
                }
                Event::Searched(path) => self.take_search(&mut race, path),
                Event::OverlapEnd => self.close_earlier(&mut race),
            }
        }
    }

    async fn next_event(&mut self, race: &mut Race) -> Event {
        let now = self.context.now();
        let is_searching = race.search == Search::Running;
        let search_at = match race.search {
            Search::At(at) => at,
            Search::Running => now,
        };
        let may_search = !is_searching && self.may_send_beside(race);
        let is_direct = race.calls.iter().all(|call| call.target().is_some());
        let may_detour = may_search && is_direct && !race.has_lost_link;
        let (context, service) = (self.context.clone(), self.job.service.name.clone());
        let tried_detours = self.tried_detours.clone();
        if is_searching {
            // A search that another event has interrupted may have left one.
            self.end_placed(End::NotRun);
        }
        let until = |at: Millis| sleep(Duration::from_millis((at - now).0));
        tokio::select! {
            biased;
            (index, step) = next_step(&mut race.calls) => Event::Step(index, step),
            () = until(race.overlap_end.unwrap_or(now)), if race.overlap_end.is_some() => {
                Event::OverlapEnd
            }
            path = self.choose_proved_path(None), if is_searching => Event::Searched(path),
            () = until(search_at), if may_search => Event::Silent,
            () = link::until_detour(&context, &service, &tried_detours), if may_detour => {
                Event::LinkLost
            }
        }
    }

    /// Returns until when a reply that makes progress now may be silent.
    fn silence_end(&self) -> Millis {
        self.context.now() + self.job.route.objective * SILENCE_FACTOR
    }

    /// Returns whether one more target may run the request beside those that have it.
    fn may_send_beside(&self, race: &Race) -> bool {
        let has_inputs = self.plan.is_none() || self.results.is_some();
        self.job.route.is_repeatable()
            && self.possible_runs + 1 < self.job.route.max_attempts
            && has_inputs
            && !race.are_inputs_gone
            && self.context.now() < self.job.deadline
    }

    /// Begins to seek another target, if a retry is left for it.
    fn begin_search(&mut self, race: &mut Race) {
        let now = self.context.now();
        let service = &self.job.service.name;
        race.search = if self.context.state().has_retry(service, now) {
            Search::Running
        } else {
            Search::At(now + SEARCH_INTERVAL)
        };
        let newest = race.calls.last_mut();
        let Some(newest) = newest.filter(|call| !call.is_silence_recorded) else {
            return;
        };
        newest.is_silence_recorded = true;
        if let Some(target) = newest.target() {
            self.record_failure(target);
            link::check_after_failure(&self.context, &self.job.service.name, target);
        }
        log::info!(
            request:% = self.job.head.attempt,
            target:% = newest.target().map_or("", name::Target::as_str),
            has_begun = newest.has_begun,
            waited_ms = (now - newest.sent_at).0,
            left_ms = (self.job.deadline - now).0;
            "a target is silent; another one is sought"
        );
    }

    /// Sends the request to the target that was found, if it may be sent again now.
    fn take_search(&mut self, race: &mut Race, path: Result<Path, Failure>) {
        let now = self.context.now();
        match path {
            Ok(path) if self.may_send_now(race) => {
                self.possible_runs += 1;
                race.calls.push(self.begin_call(path));
                race.search = Search::At(self.silence_end());
                if self.job.route.form == ResponseForm::Stream {
                    race.overlap_end = Some(now + STREAM_OVERLAP_MAX);
                }
            }
            Ok(path) => {
                self.abandon(&path);
                self.end_placed(End::NotRun);
                race.search = Search::At(now + SEARCH_INTERVAL);
            }
            Err(failure) => {
                let delay = failure.retry_after.unwrap_or_default();
                race.search = Search::At(now + delay.max(SEARCH_INTERVAL));
            }
        }
    }

    /// Returns whether the request may be sent to one more target now, and takes a retry
    /// from the budget if so.
    fn may_send_now(&mut self, race: &Race) -> bool {
        self.may_send_beside(race)
            && !self.is_part_quarantined()
            && self.may_run_again("unanswered")
            && self.may_still_retry()
    }

    /// Closes all calls but the newest, whose target has not refused the stream.
    fn close_earlier(&mut self, race: &mut Race) {
        race.overlap_end = None;
        let earlier = race.calls.len().saturating_sub(1);
        for call in race.calls.drain(..earlier) {
            self.close(call, End::Broken);
            race.failure = Some(deadline_passed());
        }
    }

    /// Closes a call that has no answer.
    fn close(&mut self, mut call: Call, end: End) {
        self.sends += u32::from(!call.has_begun);
        if let Some(placed) = &mut call.placed {
            placed.record_end(end);
        }
        self.log_call(&call, "closed", "another target has the request");
    }

    /// Takes a step of a reply; returns the outcome if there is one.
    fn take_step(&mut self, race: &mut Race, index: usize, step: Step) -> Option<SendOutcome> {
        let mut call = race.calls.remove(index);
        self.placed = call.placed.take();
        self.last_send = call.last_send;
        let (outcome, detail) = self.outcome_of_step(race, &call, step);
        if race.calls.is_empty() {
            race.overlap_end = None;
        }
        let started = match outcome {
            SendOutcome::Started(started) => started,
            outcome => {
                self.log_call(&call, outcome.label(), &detail);
                return self.take_failure(race, outcome);
            }
        };
        let is_error = started.reply.status.is_server_error() && self.job.route.is_repeatable();
        let is_stream = self.reply_use(&started.reply) == Use::Stream;
        if !call.has_begun {
            self.log_call(&call, "begun", &detail);
        }
        if !is_stream && started.body.is_none() {
            call.has_begun = true;
            call.placed = self.placed.take();
            call.next_step = self.read_body(started);
            call.is_silence_recorded = false;
            race.calls.insert(index, call);
            race.search = Search::At(self.silence_end());
            return None;
        }
        if is_error && !race.calls.is_empty() {
            self.end_placed(End::Broken);
            race.error_reply = Some(started);
            return None;
        }
        for (other, call) in race.calls.drain(..).enumerate() {
            // Those that were sent before it have been silent for longer.
            let end = if other < index {
                End::Broken
            } else {
                End::Abandoned
            };
            self.close(call, end);
        }
        Some(SendOutcome::Started(started))
    }

    /// Takes the failure of a call; returns the outcome if it was the last one.
    fn take_failure(&mut self, race: &mut Race, outcome: SendOutcome) -> Option<SendOutcome> {
        let is_not_run = !matches!(outcome, SendOutcome::MayHaveRun(_));
        self.end_placed(if is_not_run { End::NotRun } else { End::Broken });
        if !race.calls.is_empty() {
            if is_not_run {
                self.possible_runs = self.possible_runs.saturating_sub(1);
            }
            match outcome {
                SendOutcome::NotRun(_) => race.search = Search::At(self.context.now()),
                SendOutcome::MayHaveRun(failure) => race.failure = Some(failure),
                SendOutcome::Started(_) | SendOutcome::InvalidRequest(_) => {}
            }
            return None;
        }
        if race.are_inputs_gone {
            // The others are released, since all stages are run again.
            self.results = None;
        }
        let has_earlier = race.failure.is_some() || race.error_reply.is_some();
        if is_not_run && has_earlier {
            self.possible_runs = self.possible_runs.saturating_sub(1);
        }
        if let Some(reply) = race.error_reply.take() {
            return Some(SendOutcome::Started(reply));
        }
        let earlier = race.failure.take().filter(|_| is_not_run);
        Some(earlier.map_or(outcome, SendOutcome::MayHaveRun))
    }

    /// Derives the outcome from a step of a reply.
    fn outcome_of_step(
        &mut self,
        race: &mut Race,
        call: &Call,
        step: Step,
    ) -> (SendOutcome, String) {
        let failed = || Failure::from(Kind::TargetFailed).with_unknown_outcome();
        let head = match step {
            Step::Begun(Ok(started)) => {
                self.sends += 1;
                Ok(*started)
            }
            Step::Begun(Err(error)) => Err(self.outcome_of_error(call, error)),
            Step::Detoured(peer, reply) => self.end_detour(peer, call.sent_at, reply),
            Step::Broken(broken) => {
                self.sends += 1;
                let (target, is_fault) = (&broken.target, broken.is_fault_of_target);
                link::check_after_failure(&self.context, &self.job.service.name, target);
                self.record_judged_crash(target, is_fault, broken.at);
                Err((SendOutcome::MayHaveRun(failed()), broken.why))
            }
            Step::Read(started) => Err((SendOutcome::Started(started), String::new())),
            Step::ReadBroken(broken) => {
                if broken.is_fault_of_target {
                    self.record_part_crash(broken.at);
                }
                Err((SendOutcome::MayHaveRun(failed()), broken.why))
            }
            Step::ReadSilent(target) => {
                self.record_failure(&target);
                let why = "the reply was not complete in time".to_owned();
                Err((SendOutcome::MayHaveRun(deadline_passed()), why))
            }
        };
        let started = match head {
            Ok(started) => started,
            Err(outcome) => return outcome,
        };
        let is_not_run = started.reply.validity == Validity::NotRun;
        if is_not_run && started.reply.status == StatusCode::CONFLICT {
            // Other targets may still read those results that are left.
            race.are_inputs_gone = true;
        }
        self.classify(started)
    }
}
