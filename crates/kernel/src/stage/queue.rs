//! The queue of one stage service, and the choice of the next call.
//!
//! A call to a target of such a service costs much by itself and little for
//! each piece, and a target works on one call at a time. So the pieces of the
//! whole fleet meet in one queue, and a call is made up only when a target is
//! free: what has been sent can no longer be put behind something better.
//!
//! The pieces of one request at one stage are a [`Group`] and stay together
//! where they can, since they all read the same inputs. Groups that can still
//! help an answer to be on time go first, by rank and then by the time that
//! they have; groups that are late anyway use what is left over. One call in
//! several takes the oldest groups, so that no rank waits for ever. A group
//! that cannot end in time at all is given up at once.
//!
//! A request is refused at its first group rather than kept waiting in vain: if
//! the group would not be made in time to help an answer to be on time, and the
//! queue has no capacity left over to make it late either. The load that this
//! answers is a burst of twice the usual requests, or the usual ones with two
//! of five targets gone. Nothing that was begun is refused here: the calls for
//! it have been paid.

mod waits;

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;
use crate::request::deadline_admission::RETRY_AFTER_BURST;
use crate::request::deadline_admission::retry_after;
use crate::request::routing_table::BatchSpec;
use crate::stage::arrivals::Arrivals;
use crate::stage::group::Group;
use crate::stage::near::is_near;
use crate::stage::near::may_go;
use crate::stage::near::needed_room;
use crate::stage::results::Results;

/// One in so many calls takes the oldest groups, whatever their rank.
const OLDEST_EVERY: u64 = 8;
/// How long a target rests after it had no room or no place for a call; a call
/// takes about as long to end.
pub const REST: Millis = Millis(250);

scalar! {
    /// The number of a group in its queue.
    pub struct Ticket(pub u64);
}

value! {
    /// A group that was given up.
    pub struct Expired {
        /// The group.
        pub ticket: Ticket,
        /// Its request.
        pub attempt: name::Attempt,
        /// Why it was given up.
        pub why: Why,
        /// How long what is late would have waited.
        pub late_wait: Millis,
    }

    /// Why a group was given up.
    pub enum Why {
        /// It cannot be made in the time that it has.
        Late,
        /// Its inputs do not exist any more, and would have to be made again.
        Gone,
        /// Too much goes before it; there may be room after the span.
        Full(Millis),
    }

    /// A target that may get a call.
    pub struct Maker {
        /// Its name.
        pub target: name::Target,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Whether calls to it have failed of late.
        pub is_avoided: bool,
    }

    /// What a target tells of itself.
    pub struct Told {
        /// Its name.
        pub target: name::Target,
        /// How many bytes of results it keeps at least, with those of the call
        /// that it works on.
        pub kept_bytes: u64,
        /// Whether it has a call to work on.
        pub is_busy: bool,
    }

    /// A part of a group in a call.
    pub struct Part {
        /// The group.
        pub ticket: Ticket,
        /// The group with just the pieces that the call makes.
        pub group: Group,
    }

    /// A call that is to be sent now.
    pub struct Call {
        /// The target that gets it.
        pub target: name::Target,
        /// Its failure domain.
        pub domain: name::Domain,
        /// What it makes, in this order.
        pub parts: Vec<Part>,
        /// When it should have ended.
        pub expected: Millis,
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    since: Millis,
    group: Group,
}

#[derive(Clone, Debug)]
struct Busy {
    target: name::Target,
    bytes: u64,
    until: Millis,
}

/// The queue of one stage service at its dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
    busy: Vec<Busy>,
    /// Targets that take no call for a moment, and until when.
    resting: Vec<(name::Target, Millis)>,
    results: Results,
    /// The pieces on time that came in of late.
    arrivals: Arrivals,
    /// The pieces that were sent of late.
    sent: Arrivals,
    /// When nothing waited last.
    empty_at: Millis,
    tickets: u64,
    calls: u64,
}

impl Queue {
    /// Decides whether a request's first group is taken in; `Err` holds the
    /// span after which there may be room.
    ///
    /// # Errors
    /// Returns the span if the group would wait in vain.
    pub fn admit(
        &self,
        group: &Group,
        targets: usize,
        pieces: &BatchSpec,
        now: Millis,
    ) -> Result<(), Millis> {
        if !group.is_first {
            return Ok(());
        }
        let call = pieces.call_duration(u32::try_from(group.pieces.len()).unwrap_or(u32::MAX));
        let rank = group.rank.level();
        let wait = self.waits(targets, pieces, now)[rank];
        let is_on_time = now + wait + call <= group.on_time;
        let late = self.late_wait(targets, pieces, now) + call + group.late_tail;
        if is_on_time || now + late <= group.until {
            return Ok(());
        }
        Err(retry_after(now + wait + call - group.on_time))
    }

    /// Takes in a group.
    pub fn push(&mut self, group: Group, now: Millis) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        if group.on_time > now {
            self.arrivals.note(&group, now);
        }
        self.waiting.push(Waiting {
            ticket,
            since: now,
            group,
        });
        ticket
    }

    /// Takes back pieces that a call did not make, behind the same ticket.
    pub fn push_back(&mut self, ticket: Ticket, group: Group, now: Millis) {
        let found = self.waiting.iter_mut().find(|one| one.ticket == ticket);
        if let Some(waiting) = found {
            waiting.group.pieces.extend(group.pieces);
            return;
        }
        self.waiting.push(Waiting {
            ticket,
            since: now,
            group,
        });
    }

    /// Removes a group whose request is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes the groups that cannot be made in time, and returns them.
    pub fn expire(&mut self, targets: usize, pieces: &BatchSpec, now: Millis) -> Vec<Expired> {
        let late_wait = self.late_wait(targets, pieces, now);
        let why = |waiting: &Waiting| {
            let group = &waiting.group;
            let call = pieces.call_duration(1);
            if now + call > group.until {
                Some(Why::Late)
            } else if now >= group.inputs_until {
                Some(Why::Gone)
            } else if now + call > group.on_time
                && now + late_wait > group.until.min(group.inputs_until)
            {
                Some(Why::Full(RETRY_AFTER_BURST))
            } else {
                None
            }
        };
        let mut expired = Vec::new();
        self.waiting.retain(|waiting| {
            let why = why(waiting);
            expired.extend(why.clone().map(|why| Expired {
                ticket: waiting.ticket,
                attempt: waiting.group.attempt.clone(),
                why,
                late_wait,
            }));
            why.is_none()
        });
        self.results.tick(now);
        self.resting.retain(|(_, until)| *until > now);
        expired
    }

    /// Makes up the next call, if a target is free and something waits.
    pub fn next(&mut self, makers: &[Maker], pieces: &BatchSpec, now: Millis) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let is_free = |maker: &&Maker| !self.is_busy(&maker.target);
        let with_room = |maker| (maker, self.room(maker, pieces, now));
        let free: Vec<(&Maker, u64)> = makers.iter().filter(is_free).map(with_room).collect();
        let is_any_sound = makers.iter().any(|maker| !maker.is_avoided);
        let mut order = self.order(pieces, now);
        if (self.calls + 1).is_multiple_of(OLDEST_EVERY) {
            order.sort_by_key(|index| self.waiting[*index].since);
        }
        // Large results may not fit where the first group wants to go, so the
        // others are tried before the target stays idle.
        for first in &order {
            let group = &self.waiting[*first].group;
            let fits = free.iter().filter(|(maker, room)| {
                let is_sound = !(is_any_sound && maker.is_avoided);
                let is_roomy = *room >= needed_room(group, pieces);
                is_sound && is_roomy && may_go(group, maker, makers, pieces, now)
            });
            let key = |(maker, room): &&(&Maker, u64)| {
                let is_near = is_near(group, maker);
                (is_near, *room, Reverse(maker.target.clone()))
            };
            let Some((maker, room)) = fits.max_by_key(key).copied() else {
                continue;
            };
            let may_go = |group: &Group| may_go(group, maker, makers, pieces, now);
            let order = order
                .iter()
                .copied()
                .filter(|index| may_go(&self.waiting[*index].group));
            let order: Vec<usize> = order.collect();
            return Some(self.take(maker, *first, &order, room, pieces, now));
        }
        None
    }

    /// Notes that a target is done with its call.
    pub fn end(&mut self, target: &name::Target) {
        self.busy.retain(|busy| busy.target != *target);
    }

    /// Gives a target no call for a moment: it had no room, or no place.
    pub fn rest(&mut self, target: &name::Target, now: Millis) {
        self.resting.push((target.clone(), now + REST));
    }

    /// Notes what a target tells of itself; what it keeps for others ages out
    /// within the span.
    ///
    /// A call of another dispatcher keeps it from getting one of this queue for
    /// a moment: it would wait there, and take few pieces with it.
    pub fn note_told(&mut self, told: &Told, span: Millis, now: Millis) {
        let target = &told.target;
        let bytes = told.kept_bytes.saturating_sub(self.promised(target));
        self.results.note_kept(target, bytes, span, now);
        if told.is_busy && !self.busy.iter().any(|busy| busy.target == *target) {
            self.rest(target, now);
        }
    }

    /// Tells whether so many pieces of a group wait.
    #[must_use]
    pub fn holds(&self, ticket: Ticket, pieces: usize) -> bool {
        let found = self.waiting.iter().find(|one| one.ticket == ticket);
        found.is_some_and(|waiting| waiting.group.pieces.len() == pieces)
    }

    /// Returns the account of results.
    pub fn results(&mut self) -> &mut Results {
        &mut self.results
    }

    /// Returns how many pieces wait.
    #[must_use]
    pub fn pieces(&self) -> usize {
        self.waiting.iter().map(|one| one.group.pieces.len()).sum()
    }

    fn take(
        &mut self,
        maker: &Maker,
        first: usize,
        order: &[usize],
        mut room: u64,
        pieces: &BatchSpec,
        now: Millis,
    ) -> Call {
        let batch = usize::try_from(pieces.max_pieces.max(1)).unwrap_or(usize::MAX);
        let mut parts: Vec<Part> = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        let others = order.iter().filter(|index| **index != first);
        for index in std::iter::once(&first).chain(others) {
            let waiting = &mut self.waiting[*index];
            let group = &mut waiting.group;
            let fit = usize::try_from(room / group.bytes.max(1)).unwrap_or(usize::MAX);
            let most = fit.min(batch - count);
            // A group is parted only if it would not fit into any call.
            let is_whole = most >= group.pieces.len();
            if most == 0 || !(is_whole || parts.is_empty()) {
                continue;
            }
            let taken: Vec<u32> = group.pieces.drain(..most.min(group.pieces.len())).collect();
            let size = group.bytes * taken.len() as u64;
            room -= size;
            bytes += size;
            count += taken.len();
            let part = Group {
                pieces: taken,
                ..group.clone()
            };
            parts.push(Part {
                ticket: waiting.ticket,
                group: part,
            });
            if count >= batch {
                break;
            }
        }
        for part in &parts {
            self.sent.note(&part.group, now);
        }
        self.waiting.retain(|one| !one.group.pieces.is_empty());
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        self.calls += 1;
        let expected = now + pieces.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
        self.busy.push(Busy {
            target: maker.target.clone(),
            bytes,
            until: expected,
        });
        Call {
            target: maker.target.clone(),
            domain: maker.domain.clone(),
            parts,
            expected,
        }
    }

    /// Returns the waiting groups, best first.
    fn order(&self, pieces: &BatchSpec, now: Millis) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| {
            let group = &self.waiting[*index].group;
            let count = u32::try_from(group.pieces.len()).unwrap_or(u32::MAX);
            let is_late = now + pieces.call_duration(count) > group.on_time;
            let end = if is_late {
                group.until.min(group.inputs_until)
            } else {
                group.on_time
            };
            (is_late, group.rank, end)
        });
        order
    }

    fn is_busy(&self, target: &name::Target) -> bool {
        let is_resting = self.resting.iter().any(|(resting, _)| resting == target);
        is_resting || self.busy.iter().any(|busy| busy.target == *target)
    }

    fn room(&self, maker: &Maker, pieces: &BatchSpec, now: Millis) -> u64 {
        let kept = self.results.bytes(&maker.target, now);
        let taken = kept + self.promised(&maker.target);
        pieces.result_capacity_bytes.saturating_sub(taken)
    }

    /// Returns how many bytes the call at a target will take there.
    fn promised(&self, target: &name::Target) -> u64 {
        let busy = self.busy.iter().filter(|busy| busy.target == *target);
        busy.map(|busy| busy.bytes).sum()
    }
}
