//! Which target a stage goes to.
//!
//! Candidates are ranked by rendezvous on the prompt prefix, so that one
//! prefix meets the same engines and their caches. Of the first two the less
//! loaded one is taken. The prefix is hashed together with the workspace, so
//! that no workspace can learn what another one has cached.

use crate::clock::Millis;
use crate::derive::value;
use crate::hash;
use crate::id;
use crate::roster::Entry;
use crate::roster::List;
use crate::roster::State;
use crate::settings::Fleet;

value! {
    /// What a stage needs.
    pub struct Ask {
        /// The pool that must serve it.
        pub pool: id::Pool,
        /// The hash of the workspace and the prompt prefix.
        pub prefix: u64,
        /// The targets that were tried already.
        pub tried: Vec<id::Target>,
    }

    /// Why a target is not a candidate now.
    pub enum Out {
        /// The list says that it is leaving.
        Leaving,
        /// It said itself that it is leaving.
        SaidLeaving,
        /// Operators have taken its failure domain out.
        DomainOut,
    }
}

/// How long a load that a reply carried counts.
const LOAD_MEMORY: Millis = Millis(5000);
/// How many targets' loads are kept, so that memory does not grow with the fleet.
const LOADS_MAX: usize = 512;

#[derive(Clone, Debug)]
struct Load {
    target: id::Target,
    /// Calls in flight for each hundred places.
    percent: u32,
    at: Millis,
}

/// What replies have said about the loads and states of targets.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    loads: Vec<Load>,
    leaving: Vec<id::Target>,
}

impl Loads {
    /// Notes the load that a reply carried, in calls for each hundred places.
    pub fn note(&mut self, target: &id::Target, percent: u32, now: Millis) {
        match self.loads.binary_search_by(|one| one.target.cmp(target)) {
            Ok(index) => {
                self.loads[index].percent = percent;
                self.loads[index].at = now;
            }
            Err(index) if self.loads.len() < LOADS_MAX => self.loads.insert(
                index,
                Load {
                    target: target.clone(),
                    percent,
                    at: now,
                },
            ),
            Err(_) => self.loads.retain(|one| one.at + LOAD_MEMORY > now),
        }
    }

    /// Notes that a target has said that it is leaving.
    pub fn note_leaving(&mut self, target: &id::Target) {
        if let Err(index) = self.leaving.binary_search(target) {
            self.leaving.insert(index, target.clone());
        }
    }

    /// Forgets what was said by targets that the list no longer names.
    pub fn retain_listed(&mut self, list: &List) {
        self.loads.retain(|one| list.target(&one.target).is_some());
        self.leaving.retain(|one| list.target(one).is_some());
    }

    /// Returns the last known load, or none if it is too old.
    #[must_use]
    pub fn percent(&self, target: &id::Target, now: Millis) -> u32 {
        let found = self.loads.binary_search_by(|one| one.target.cmp(target));
        let fresh = found.ok().map(|index| &self.loads[index]);
        fresh
            .filter(|one| one.at + LOAD_MEMORY > now)
            .map_or(0, |one| one.percent)
    }

    fn is_leaving(&self, target: &id::Target) -> bool {
        self.leaving.binary_search(target).is_ok()
    }
}

/// Returns why a target may not be given new work, if there is a reason.
///
/// Any one source that says "out" is enough, whatever the others say.
#[must_use]
pub fn why_out(entry: &Entry, fleet: &Fleet, loads: &Loads) -> Option<Out> {
    if entry.state == State::Leaving {
        return Some(Out::Leaving);
    }
    if fleet.is_out(&entry.domain) {
        return Some(Out::DomainOut);
    }
    loads.is_leaving(&entry.id).then_some(Out::SaidLeaving)
}

/// Returns the candidates for a stage, the best by affinity first.
#[must_use]
pub fn candidates<'a>(list: &'a List, fleet: &Fleet, loads: &Loads, ask: &Ask) -> Vec<&'a Entry> {
    let mut found: Vec<&Entry> = list
        .targets
        .iter()
        .filter(|one| one.pool == ask.pool && !ask.tried.contains(&one.id))
        .filter(|one| why_out(one, fleet, loads).is_none())
        .collect();
    let weight = |one: &Entry| hash::mix(ask.prefix, hash::text(one.id.as_str()));
    found.sort_by_key(|one| std::cmp::Reverse(weight(one)));
    found
}

/// Chooses any target at random, as the baseline does.
#[must_use]
pub fn choose_any<'a>(
    list: &'a List,
    fleet: &Fleet,
    loads: &Loads,
    ask: &Ask,
    random: u64,
) -> Option<&'a Entry> {
    let found = candidates(list, fleet, loads, ask);
    let count = u64::try_from(found.len()).ok().filter(|count| *count > 0)?;
    let index = usize::try_from(random % count).ok()?;
    found.get(index).copied()
}

/// Chooses the target for a stage.
#[must_use]
pub fn choose<'a>(
    list: &'a List,
    fleet: &Fleet,
    loads: &Loads,
    ask: &Ask,
    now: Millis,
) -> Option<&'a Entry> {
    let found = candidates(list, fleet, loads, ask);
    let first_two = found.into_iter().take(2);
    first_two.min_by_key(|one| loads.percent(&one.id, now))
}
