//! One scenario for each lease rule, run with and without the rule.

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

/// The leases of a few daemons, whose clocks all start at zero.
struct Cluster {
    now: Millis,
    leases: Vec<Leases>,
}

fn daemon_id(index: usize) -> id::Instance {
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
        id: daemon_id(*index),
        domain: id::Domain::new("huaraz").unwrap(),
        control: address,
        data: address,
        state: Lifecycle::Live,
    };
    let members = members.iter().map(member).collect();
    PublishedList::new(Revision(revision), members, Vec::new())
}

/// Finds a key whose owner under each list is the daemon given with it.
fn key_of(lists: &[(&PublishedList, usize)]) -> Resource {
    let is_owned = |key: &u64| {
        let owns = |(list, index): &(&PublishedList, usize)| {
            list.owner_of_key(*key).map(|owner| &owner.id) == Some(&daemon_id(*index))
        };
        lists.iter().all(owns)
    };
    Resource::Key((0..100_000).find(is_owned).unwrap())
}

impl Cluster {
    /// Starts daemons that have adopted the first list and hold leases under it.
    fn new(count: usize, rules: Rules) -> Self {
        let mut cluster = Self {
            now: Millis::ZERO,
            leases: Vec::new(),
        };
        for index in 0..count {
            cluster.start(index, rules);
        }
        let everyone: Vec<usize> = (0..count).collect();
        for index in &everyone {
            cluster.read(*index, &list(1, &everyone));
        }
        for _ in 0..6 {
            cluster.advance(Millis(500));
            cluster.exchange_heartbeats(&everyone);
        }
        cluster
    }

    fn start(&mut self, index: usize, rules: Rules) {
        let mut leases = Leases::new(daemon_id(index), timing(FRESHNESS), self.now);
        leases.set_rules(rules);
        self.leases.push(leases);
    }

    fn advance(&mut self, span: Millis) {
        self.now = self.now + span;
    }

    /// Lets the daemon read the list from the platform.
    fn read(&mut self, index: usize, list: &PublishedList) {
        self.leases[index].adopt(list, self.now);
        self.leases[index].confirm_list(self.now);
    }

    /// Lets each of the daemons send a heartbeat to each other one.
    fn exchange_heartbeats(&mut self, among: &[usize]) {
        for sender in among {
            self.leases[*sender].tick(self.now);
            for replier in among.iter().filter(|replier| *replier != sender) {
                self.send_heartbeat(*sender, *replier);
            }
        }
    }

    fn send_heartbeat(&mut self, sender: usize, replier: usize) {
        let now = self.now;
        let replier_leases = self.leases[replier].clone();
        let sender_leases = &mut self.leases[sender];
        sender_leases.merge_departures(&replier_leases.departures(now), now);
        if let Some(lists) = replier_leases
            .recent_lists(now)
            .filter(|_| !sender_leases.knows_recent_lists())
        {
            sender_leases.merge_recent_lists(&lists, now);
        }
        if replier_leases.may_acknowledge(now) {
            sender_leases.record_acknowledgement(
                &daemon_id(replier),
                &replier_leases.acknowledgement(now),
                now,
                now,
            );
        }
    }

    fn holds(&self, index: usize, resource: &Resource) -> bool {
        let lease = self.leases[index].lease_state(resource, self.now);
        matches!(lease, LeaseState::Held { .. })
    }

    /// Runs steps of half a second in which each group exchanges heartbeats, and
    /// returns whether both daemons ever held the lease at the same time. Some
    /// callers only let the time pass and ignore the result.
    fn both_held_within(
        &mut self,
        steps: u32,
        groups: &[&[usize]],
        resource: &Resource,
        daemons: [usize; 2],
    ) -> bool {
        let mut both_held = false;
        for _ in 0..steps {
            self.advance(Millis(500));
            for group in groups {
                self.exchange_heartbeats(group);
            }
            both_held |= daemons.iter().all(|daemon| self.holds(*daemon, resource));
        }
        both_held
    }
}

fn without(change: impl Fn(&mut Rules)) -> Rules {
    let mut rules = Rules::default();
    change(&mut rules);
    rules
}

/// Runs the scenario with all rules and with one disabled, and expects the fault
/// only without the rule.
fn check_rule_is_needed(change: impl Fn(&mut Rules), scenario: impl Fn(Rules) -> bool) {
    assert!(
        !scenario(Rules::default()),
        "the fault occurs with all rules in force"
    );
    assert!(
        scenario(without(change)),
        "the fault does not occur without the rule"
    );
}

#[test]
fn a_revision_never_goes_back() {
    check_rule_is_needed(
        |rules| rules.only_newer_lists = false,
        |rules| {
            let mut cluster = Cluster::new(3, rules);
            cluster.read(0, &list(3, &[0, 1]));
            cluster.read(0, &list(2, &[0, 1, 2]));
            cluster.leases[0].revision() < Revision(3)
        },
    );
}

#[test]
fn an_isolated_daemon_loses_its_lease_before_the_next_owner_gets_one() {
    let scenario = |rules| {
        let mut cluster = Cluster::new(5, rules);
        let after = list(2, &[1, 2, 3, 4]);
        let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
        assert!(cluster.holds(0, &key));
        for index in 1..5 {
            cluster.read(index, &after);
        }
        cluster.both_held_within(10, &[&[1, 2, 3, 4]], &key, [0, 1])
    };
    check_rule_is_needed(|rules| rules.needs_majority = false, scenario);
    check_rule_is_needed(|rules| rules.waits_for_former_lease = false, scenario);
}

#[test]
fn a_skipped_list_starts_a_new_lease() {
    // While daemon 0 was cut off, a list moved its key to daemon 1 and the next
    // one moved it back. Daemon 0 has a new lease, because it does not know which
    // requests ran in between.
    check_rule_is_needed(
        |rules| rules.gap_starts_new_lease = false,
        |rules| {
            let mut cluster = Cluster::new(5, rules);
            let all = [0, 1, 2, 3, 4];
            let between = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &all), 0), (&between, 1)]);
            for index in 1..5 {
                cluster.read(index, &between);
            }
            cluster.both_held_within(6, &[&[1, 2, 3, 4]], &key, [0, 1]);
            assert!(cluster.holds(1, &key));
            let relisted_at = cluster.now;
            for index in all {
                cluster.read(index, &list(3, &all));
            }
            cluster.both_held_within(6, &[&all], &key, [0, 1]);
            match cluster.leases[0].lease_state(&key, cluster.now) {
                LeaseState::Held { since, .. } => since < relisted_at,
                lease => panic!("{lease:?}"),
            }
        },
    );
}

#[test]
fn dropped_members_and_recent_lists_still_count() {
    // The list drops three of five daemons and adds three new ones at once. The
    // dropped ones still use the first list, cut off from all others.
    let scenario = |rules| {
        let mut cluster = Cluster::new(5, rules);
        let after = list(2, &[3, 4, 5, 6, 7]);
        let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 3)]);
        for index in 5..8 {
            cluster.start(index, rules);
        }
        for index in 3..8 {
            cluster.read(index, &after);
        }
        cluster.both_held_within(20, &[&[0, 1, 2], &[3, 4, 5, 6, 7]], &key, [0, 3])
    };
    check_rule_is_needed(
        |rules| {
            rules.counts_dropped_members = false;
            rules.majority_of_each_list = false;
        },
        scenario,
    );
}

/// Has seven new daemons join five, and cuts the fleet in two: only the side of the new
/// ones reads the second list. `split` is the number of daemons on the other side.
fn seven_join_five(split: usize) -> impl Fn(Rules) -> bool {
    move |rules| {
        let mut cluster = Cluster::new(5, rules);
        let everyone: Vec<usize> = (0..12).collect();
        let after = list(2, &everyone);
        let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 5)]);
        for index in 5..12 {
            cluster.start(index, rules);
        }
        let (on_first_list, on_second_list) = everyone.split_at(split);
        for index in on_second_list {
            cluster.read(*index, &after);
        }
        cluster.both_held_within(20, &[on_first_list, on_second_list], &key, [0, 5])
    }
}

#[test]
fn new_daemons_cannot_outvote_a_recent_list() {
    // No daemon is dropped, so counting dropped members does not help. The new
    // daemons form a majority of the second list, which the others of the first
    // list have not read.
    check_rule_is_needed(
        |rules| rules.majority_of_each_list = false,
        seven_join_five(4),
    );
}

#[test]
fn a_new_daemon_holds_no_lease_until_it_knows_the_recent_lists() {
    // As in the test above, but none of the former members is on the side of the
    // new ones.
    check_rule_is_needed(|rules| rules.needs_recent_lists = false, seven_join_five(5));
}

#[test]
fn a_restarted_daemon_does_not_acknowledge_at_once() {
    // Daemon 2 has acknowledged the second list, crashes, and restarts with an
    // old list from a stale platform. Daemon 0 can reach only daemon 2.
    check_rule_is_needed(
        |rules| rules.new_daemon_abstains = false,
        |rules| {
            let mut cluster = Cluster::new(3, rules);
            let after = list(2, &[1, 2]);
            let key = key_of(&[(&list(1, &[0, 1, 2]), 0), (&after, 1)]);
            cluster.read(1, &after);
            cluster.read(2, &after);
            cluster.both_held_within(4, &[&[1, 2]], &key, [0, 1]);
            assert!(cluster.holds(1, &key));
            let mut restarted = Leases::new(daemon_id(2), timing(FRESHNESS), cluster.now);
            restarted.set_rules(rules);
            cluster.leases[2] = restarted;
            cluster.read(2, &list(1, &[0, 1, 2]));
            cluster.advance(Millis(100));
            cluster.send_heartbeat(0, 2);
            cluster.holds(0, &key) && cluster.holds(1, &key)
        },
    );
}

#[test]
fn a_lease_ends_before_others_forget_its_list() {
    // The list drops three of five daemons that still run but are cut off from
    // the platform. After the dropped memory the others need no majority of them.
    check_rule_is_needed(
        |rules| rules.needs_confirmed_list = false,
        |rules| {
            let mut cluster = Cluster::new(5, rules);
            let after = list(2, &[3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 3)]);
            cluster.read(3, &after);
            cluster.read(4, &after);
            let mut both_held = false;
            for _ in 0..140 {
                cluster.leases[3].confirm_list(cluster.now);
                cluster.leases[4].confirm_list(cluster.now);
                both_held |= cluster.both_held_within(1, &[&[0, 1, 2], &[3, 4]], &key, [0, 3]);
            }
            assert!(cluster.holds(3, &key));
            both_held
        },
    );
}

#[test]
fn a_shorter_freshness_does_not_shorten_the_wait_for_earlier_acknowledgements() {
    check_rule_is_needed(
        |rules| rules.acknowledger_limits_validity = false,
        |rules| {
            let mut cluster = Cluster::new(5, rules);
            for leases in &mut cluster.leases {
                leases.set_timing(timing(Millis(20_000)), Millis::ZERO);
            }
            cluster.both_held_within(50, &[&[0, 1, 2, 3, 4]], &Resource::Key(0), [0, 0]);
            for index in 0..5 {
                let now = cluster.now;
                cluster.leases[index].confirm_list(now);
            }
            let after = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
            assert!(cluster.holds(0, &key));
            let now = cluster.now;
            for index in 1..5 {
                cluster.leases[index].set_timing(timing(FRESHNESS), now);
                cluster.read(index, &after);
            }
            cluster.both_held_within(50, &[&[1, 2, 3, 4]], &key, [0, 1])
        },
    );
}

#[test]
fn a_departure_counts_only_for_daemons_with_an_equally_new_list() {
    // Daemons 2 and 3 have read the second list and depart. Daemon 0 has not read
    // it. If their departures counted for daemon 0, it would need only daemon 4
    // for a majority.
    check_rule_is_needed(
        |rules| rules.departure_needs_revision = false,
        |rules| {
            let mut cluster = Cluster::new(5, rules);
            let after = list(2, &[1, 2, 3, 4]);
            let key = key_of(&[(&list(1, &[0, 1, 2, 3, 4]), 0), (&after, 1)]);
            for index in 1..4 {
                cluster.read(index, &after);
            }
            let mut both_held = cluster.both_held_within(4, &[&[1, 2, 3], &[0, 4]], &key, [0, 1]);
            assert!(cluster.holds(1, &key));
            for departing in [2, 3] {
                cluster.leases[0].record_departure_announcement(
                    &daemon_id(departing),
                    Revision(2),
                    cluster.now,
                );
            }
            both_held |= cluster.both_held_within(1, &[&[0, 4]], &key, [0, 1]);
            both_held
        },
    );
}

#[test]
fn a_daemon_that_relinquished_its_leases_holds_none() {
    let mut cluster = Cluster::new(3, Rules::default());
    let key = key_of(&[(&list(1, &[0, 1, 2]), 0)]);
    assert!(cluster.holds(0, &key));
    cluster.leases[0].relinquish();
    let lease = cluster.leases[0].lease_state(&key, cluster.now);
    assert_eq!(lease, LeaseState::Unusable(UnusableReason::Relinquished));
}

#[test]
fn a_departure_ages_even_when_it_is_relayed_late() {
    let mut cluster = Cluster::new(3, Rules::default());
    for index in 0..2 {
        cluster.read(index, &list(2, &[0, 1]));
    }
    for _ in 0..130 {
        for (from, to) in [(0, 1), (1, 0)] {
            let departures = cluster.leases[from].departures(cluster.now);
            cluster.advance(Millis(250));
            let now = cluster.now;
            cluster.leases[to].merge_departures(&departures, now);
        }
    }
    assert!(cluster.leases[0].departures(cluster.now).is_empty());
    assert!(cluster.leases[1].departures(cluster.now).is_empty());
}

#[test]
fn daemons_declared_ended_no_longer_count() {
    let mut cluster = Cluster::new(5, Rules::default());
    let after = list(2, &[3, 4]);
    let key = key_of(&[(&after, 3)]);
    for index in [3, 4] {
        cluster.read(index, &after);
    }
    cluster.both_held_within(6, &[&[3, 4]], &key, [3, 3]);
    assert!(!cluster.holds(3, &key));
    for index in [3, 4] {
        cluster.leases[index].set_ended(&[daemon_id(0), daemon_id(1), daemon_id(2)]);
    }
    cluster.both_held_within(6, &[&[3, 4]], &key, [3, 3]);
    assert!(cluster.holds(3, &key));
}
