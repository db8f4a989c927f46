//! One short story for each rule of the rights, told with and without it.

#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::lease::LeaseState;
use gooseberry_kernel::lease::Leases;
use gooseberry_kernel::lease::Resource;
use gooseberry_kernel::lease::Rules;
use gooseberry_kernel::lease::Timing;
use gooseberry_kernel::lease::UnusableReason;
use gooseberry_kernel::published_list::Lifecycle;
use gooseberry_kernel::published_list::Member;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;

const FRESHNESS: Millis = Millis(1000);
const MEMORY: Millis = Millis(60_000);

/// The rights of a few daemons, whose clocks all start at zero.
struct Site {
    now: Millis,
    leases: Vec<Leases>,
}

fn name(index: usize) -> id::Instance {
    id::Instance::new(&format!("daemon-{index}")).unwrap()
}

fn timing(freshness: Millis) -> Timing {
    Timing {
        freshness,
        dropped_memory: MEMORY,
        horizon: MEMORY,
    }
}

fn list(revision: u64, members: &[usize]) -> PublishedList {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |index: &usize| Member {
        id: name(*index),
        domain: id::Domain::new("huaraz").unwrap(),
        control: address,
        data: address,
        state: Lifecycle::Live,
    };
    let members = members.iter().map(member).collect();
    PublishedList::new(Revision(revision), members, Vec::new())
}

/// Finds a key that the daemon owns under each of the lists.
fn key_of(lists: &[(&PublishedList, usize)]) -> Resource {
    let is_owned = |key: &u64| {
        let owns = |(list, index): &(&PublishedList, usize)| {
            list.owner_of_key(*key).map(|one| &one.id) == Some(&name(*index))
        };
        lists.iter().all(owns)
    };
    Resource::Key((0..100_000).find(is_owned).unwrap())
}

impl Site {
    /// Starts daemons that have settled on the first list of them all.
    fn new(count: usize, rules: Rules) -> Self {
        let mut site = Self {
            now: Millis::ZERO,
            leases: Vec::new(),
        };
        for index in 0..count {
            site.start(index, rules);
        }
        let everyone: Vec<usize> = (0..count).collect();
        for index in &everyone {
            site.read(*index, &list(1, &everyone));
        }
        for _ in 0..6 {
            site.pass(Millis(500));
            site.greet(&everyone);
        }
        site
    }

    fn start(&mut self, index: usize, rules: Rules) {
        let mut leases = Leases::new(name(index), timing(FRESHNESS), self.now);
        leases.set_rules(rules);
        self.leases.push(leases);
    }

    fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
    }

    /// Lets the daemon read the list from the platform.
    fn read(&mut self, index: usize, list: &PublishedList) {
        self.leases[index].adopt(list, self.now);
        self.leases[index].confirm_list(self.now);
    }

    /// Lets each of the daemons ask each other one of them.
    fn greet(&mut self, among: &[usize]) {
        for asking in among {
            self.leases[*asking].tick(self.now);
            for answering in among.iter().filter(|one| *one != asking) {
                self.ask(*asking, *answering);
            }
        }
    }

    fn ask(&mut self, asking: usize, answering: usize) {
        let now = self.now;
        let other = self.leases[answering].clone();
        let me = &mut self.leases[asking];
        me.merge_departures(&other.departures(now), now);
        if let Some(past) = other.recent_lists(now).filter(|_| !me.knows_recent_lists()) {
            me.merge_recent_lists(&past, now);
        }
        if other.may_acknowledge(now) {
            me.record_acknowledgement(&name(answering), &other.acknowledgement(now), now, now);
        }
    }

    fn holds(&self, index: usize, resource: &Resource) -> bool {
        let lease = self.leases[index].lease_state(resource, self.now);
        matches!(lease, LeaseState::Held { .. })
    }

    /// Lets half seconds pass in which the groups greet among themselves, and
    /// tells whether both daemons ever held the right at once.
    fn clash(
        &mut self,
        steps: u32,
        groups: &[&[usize]],
        resource: &Resource,
        who: [usize; 2],
    ) -> bool {
        let mut is_clash = false;
        for _ in 0..steps {
            self.pass(Millis(500));
            for group in groups {
                self.greet(group);
            }
            is_clash |= who.iter().all(|one| self.holds(*one, resource));
        }
        is_clash
    }
}

fn without(change: impl Fn(&mut Rules)) -> Rules {
    let mut rules = Rules::default();
    change(&mut rules);
    rules
}

/// Tells the story with all rules and without one, and wants the fault only
/// without it.
fn needs(change: impl Fn(&mut Rules), story: impl Fn(Rules) -> bool) {
    assert!(!story(Rules::default()), "the rules together do not help");
    assert!(story(without(change)), "the story does not need the rule");
}

#[test]
fn a_revision_never_goes_back() {
    needs(
        |rules| rules.only_newer_lists = false,
        |rules| {
            let mut site = Site::new(3, rules);
            site.read(0, &list(3, &[0, 1]));
            site.read(0, &list(2, &[0, 1, 2]));
            site.leases[0].revision() < Revision(3)
        },
    );
}

#[test]
fn a_daemon_that_is_cut_off_loses_its_right_and_the_next_one_waits_for_that() {
    let story = |rules| {
        let mut site = Site::new(5, rules);
        let after = list(2, &[1, 2, 3, 4]);
        let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
        assert!(site.holds(0, &key));
        for index in 1..5 {
            site.read(index, &after);
        }
        site.clash(10, &[&[1, 2, 3, 4]], &key, [0, 1])
    };
    needs(|rules| rules.needs_majority = false, story);
    needs(|rules| rules.waits_for_former_lease = false, story);
}

#[test]
fn a_skipped_list_may_have_given_the_right_to_another() {
    // Daemon 0 was away while the list gave its key to daemon 1 and took it
    // back. Its tenure is a new one, so it vouches for nothing before.
    needs(
        |rules| rules.gap_starts_new_lease = false,
        |rules| {
            let mut site = Site::new(5, rules);
            let all = [0, 1, 2, 3, 4];
            let between = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &all), 0), (&between, 1)]);
            for index in 1..5 {
                site.read(index, &between);
            }
            site.clash(6, &[&[1, 2, 3, 4]], &key, [0, 1]);
            assert!(site.holds(1, &key));
            let back = site.now;
            for index in all {
                site.read(index, &list(3, &all));
            }
            site.clash(6, &[&all], &key, [0, 1]);
            match site.leases[0].lease_state(&key, site.now) {
                LeaseState::Held { since, .. } => since < back,
                lease => panic!("{lease:?}"),
            }
        },
    );
}

#[test]
fn a_dropped_half_still_counts_and_so_does_each_list_of_late() {
    // The list drops three of five, and three fresh daemons come at once. The
    // dropped ones go on under the first list, cut off from all the others.
    let story = |rules| {
        let mut site = Site::new(5, rules);
        let after = list(2, &[3, 4, 5, 6, 7]);
        let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 3)]);
        for index in 5..8 {
            site.start(index, rules);
        }
        for index in 3..8 {
            site.read(index, &after);
        }
        site.clash(20, &[&[0, 1, 2], &[3, 4, 5, 6, 7]], &key, [0, 3])
    };
    needs(
        |rules| {
            rules.counts_dropped_members = false;
            rules.majority_of_each_list = false;
        },
        story,
    );
}

#[test]
fn fresh_daemons_cannot_outvote_a_list_of_late() {
    // Nobody is dropped, so the union is no help: six fresh ones are a
    // majority of the second list, and the former five do not know of it.
    needs(
        |rules| rules.majority_of_each_list = false,
        |rules| {
            let mut site = Site::new(5, rules);
            let everyone: Vec<usize> = (0..12).collect();
            let after = list(2, &everyone);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 5)]);
            for index in 5..12 {
                site.start(index, rules);
            }
            let fresh: Vec<usize> = (4..12).collect();
            for index in &fresh {
                site.read(*index, &after);
            }
            site.clash(20, &[&[0, 1, 2, 3], &fresh], &key, [0, 5])
        },
    );
}

#[test]
fn a_fresh_daemon_holds_nothing_until_it_knows_the_lists_of_late() {
    // As before, but none of the former ones is with the fresh ones.
    needs(
        |rules| rules.needs_recent_lists = false,
        |rules| {
            let mut site = Site::new(5, rules);
            let everyone: Vec<usize> = (0..12).collect();
            let after = list(2, &everyone);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 5)]);
            for index in 5..12 {
                site.start(index, rules);
            }
            let fresh: Vec<usize> = (5..12).collect();
            for index in &fresh {
                site.read(*index, &after);
            }
            site.clash(20, &[&[0, 1, 2, 3, 4], &fresh], &key, [0, 5])
        },
    );
}

#[test]
fn a_daemon_that_starts_anew_under_its_old_id_is_no_witness_at_once() {
    // Daemon 2 has acknowledged the second list, dies, and starts again with
    // an old list from a stale service. Daemon 0 is cut off with it.
    needs(
        |rules| rules.fresh_daemon_abstains = false,
        |rules| {
            let mut site = Site::new(3, rules);
            let after = list(2, &[1, 2]);
            let key = key_of(&[(&list(1, &[0, 1, 2]), 0), (&after, 1)]);
            site.read(1, &after);
            site.read(2, &after);
            site.clash(4, &[&[1, 2]], &key, [0, 1]);
            assert!(site.holds(1, &key));
            let mut again = Leases::new(name(2), timing(FRESHNESS), site.now);
            again.set_rules(rules);
            site.leases[2] = again;
            site.read(2, &list(1, &[0, 1, 2]));
            site.pass(Millis(100));
            site.ask(0, 2);
            site.holds(0, &key) && site.holds(1, &key)
        },
    );
}

#[test]
fn a_right_ends_before_others_forget_its_list() {
    // The list drops three of five that live and are cut off from the platform.
    // After the dropped memory the others may go on without them.
    needs(
        |rules| rules.needs_confirmed_list = false,
        |rules| {
            let mut site = Site::new(5, rules);
            let after = list(2, &[3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 3)]);
            site.read(3, &after);
            site.read(4, &after);
            let mut is_clash = false;
            for _ in 0..140 {
                site.leases[3].confirm_list(site.now);
                site.leases[4].confirm_list(site.now);
                is_clash |= site.clash(1, &[&[0, 1, 2], &[3, 4]], &key, [0, 3]);
            }
            assert!(site.holds(3, &key));
            is_clash
        },
    );
}

#[test]
fn a_shorter_freshness_does_not_shorten_the_wait_for_longer_answers() {
    needs(
        |rules| rules.limits_by_acknowledger = false,
        |rules| {
            let mut site = Site::new(5, rules);
            for leases in &mut site.leases {
                leases.set_timing(timing(Millis(20_000)), Millis::ZERO);
            }
            site.clash(50, &[&[0, 1, 2, 3, 4]], &Resource::Key(0), [0, 0]);
            for index in 0..5 {
                let now = site.now;
                site.leases[index].confirm_list(now);
            }
            let after = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
            assert!(site.holds(0, &key));
            let now = site.now;
            for index in 1..5 {
                site.leases[index].set_timing(timing(FRESHNESS), now);
                site.read(index, &after);
            }
            site.clash(50, &[&[1, 2, 3, 4]], &key, [0, 1])
        },
    );
}

#[test]
fn a_goodbye_counts_only_for_who_has_seen_as_new_a_list() {
    // Daemons 2 and 3 have seen the second list, and leave. Daemon 0 has not;
    // with their goodbyes alone it would be one of a majority of two.
    needs(
        |rules| rules.departure_needs_revision = false,
        |rules| {
            let mut site = Site::new(5, rules);
            let after = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
            for index in 1..4 {
                site.read(index, &after);
            }
            let mut is_clash = site.clash(4, &[&[1, 2, 3], &[0, 4]], &key, [0, 1]);
            assert!(site.holds(1, &key));
            for leaver in [2, 3] {
                site.leases[0].record_departure_announcement(&name(leaver), Revision(2), site.now);
            }
            is_clash |= site.clash(1, &[&[0, 4]], &key, [0, 1]);
            is_clash
        },
    );
}

#[test]
fn a_daemon_that_said_goodbye_holds_nothing() {
    let mut site = Site::new(3, Rules::default());
    let key = key_of(&[(&list(1, &[0, 1, 2]), 0)]);
    assert!(site.holds(0, &key));
    site.leases[0].relinquish();
    let lease = site.leases[0].lease_state(&key, site.now);
    assert_eq!(lease, LeaseState::Unusable(UnusableReason::Relinquished));
}

#[test]
fn a_departure_gets_old_however_often_it_is_told_late() {
    let mut site = Site::new(3, Rules::default());
    for index in 0..2 {
        site.read(index, &list(2, &[0, 1]));
    }
    for _ in 0..130 {
        for (from, to) in [(0, 1), (1, 0)] {
            let departures = site.leases[from].departures(site.now);
            site.pass(Millis(250));
            let now = site.now;
            site.leases[to].merge_departures(&departures, now);
        }
    }
    assert!(site.leases[0].departures(site.now).is_empty());
    assert!(site.leases[1].departures(site.now).is_empty());
}

#[test]
fn daemons_that_operators_declare_to_have_ended_count_no_more() {
    let mut site = Site::new(5, Rules::default());
    let after = list(2, &[3, 4]);
    let key = key_of(&[(&after, 3)]);
    for index in [3, 4] {
        site.read(index, &after);
    }
    site.clash(6, &[&[3, 4]], &key, [3, 3]);
    assert!(!site.holds(3, &key));
    for index in [3, 4] {
        site.leases[index].set_ended(&[name(0), name(1), name(2)]);
    }
    site.clash(6, &[&[3, 4]], &key, [3, 3]);
    assert!(site.holds(3, &key));
}
