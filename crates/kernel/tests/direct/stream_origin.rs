use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Incarnation;
use gooseberry_kernel::request::stream_origin;
use gooseberry_kernel::request::stream_origin::BACKUPS;
use gooseberry_kernel::request::stream_origin::BACKUPS_ASKED;
use gooseberry_kernel::request::stream_origin::Departure;
use gooseberry_kernel::request::stream_origin::MEMORY;
use gooseberry_kernel::request::stream_origin::Origin;
use gooseberry_kernel::request::stream_origin::Origins;
use gooseberry_kernel::request::stream_origin::Versions;
use gooseberry_kernel::request::version_history;
use gooseberry_kernel::request::version_history::Change;
use gooseberry_kernel::request::version_history::Entry;
use gooseberry_kernel::request::version_history::Reading;
use gooseberry_kernel::request::version_history::Search;

fn origin(version: &str) -> Origin {
    Origin {
        service: name::Service::new("engine"),
        version: name::Version::new(version),
    }
}

fn member(number: u16) -> MemberState {
    let [high, low] = number.to_be_bytes();
    MemberState {
        name: name::Member::new(&format!("d-{number}")),
        incarnation: 1,
        beat: 1,
        address: ([10, 0, high, low], 7000).into(),
        cpu_millicores: 250,
        is_leaving: false,
    }
}

const RESUMED_AT: Millis = Millis(100_000);

/// A list that is known since `listed_since` and that was asked for at `asked_at`.
fn versions(seen: &[&str], listed_since: Option<Millis>, asked_at: Option<Millis>) -> Versions {
    let seen = seen.iter().map(|version| name::Version::new(version));
    Versions {
        seen: seen.collect(),
        departures: Vec::new(),
        listed_since,
        asked_at,
        history: None,
    }
}

fn incarnation(target: &str, version: &str) -> Incarnation {
    Incarnation {
        target: name::Target::new(target),
        started: 5,
        version: name::Version::new(version),
    }
}

/// A change of the entry of a target of the service "engine"; the version is empty if the entry
/// was removed, and "?" if it cannot be used.
fn change(target: &str, is_past_known: bool, version: &str) -> Change {
    let entry = match version {
        "" => Entry::Removed,
        "?" => Entry::Unusable,
        version => Entry::Target(name::Service::new("engine"), incarnation(target, version)),
    };
    Change {
        target: name::Target::new(target),
        is_past_known,
        entry,
    }
}

#[test]
fn one_of_several_versions_is_not_taken_for_that_of_a_stream() {
    let only_one = |seen: &[&str]| {
        let versions = versions(seen, Some(Millis(500)), Some(RESUMED_AT));
        versions.only_one(RESUMED_AT).cloned()
    };
    assert_eq!(only_one(&["v1"]), Some(name::Version::new("v1")));
    assert_eq!(only_one(&["v1", "v2"]), None);
    assert_eq!(only_one(&[]), None);
}

#[test]
fn a_started_daemon_does_not_take_its_list_for_all_versions() {
    let only_one = |listed_since| {
        let versions = versions(&["v1"], listed_since, Some(RESUMED_AT));
        versions.only_one(RESUMED_AT).is_some()
    };
    let listed_long_enough = RESUMED_AT - MEMORY;
    assert!(only_one(Some(listed_long_enough)));
    assert!(!only_one(Some(listed_long_enough + Millis(1))));
    assert!(!only_one(None));
}

/// A version may have joined since the list was asked for, however soon it was read.
#[test]
fn a_list_from_before_a_client_came_back_is_not_taken_for_all_versions() {
    let only_one = |asked_at| {
        let versions = versions(&["v1"], Some(Millis(500)), asked_at);
        let is_candidate = versions.only_one_if_current(RESUMED_AT).is_some();
        (is_candidate, versions.only_one(RESUMED_AT).is_some())
    };
    assert_eq!(only_one(Some(RESUMED_AT)), (true, true));
    assert_eq!(only_one(Some(RESUMED_AT - Millis(1))), (true, false));
    assert_eq!(only_one(None), (true, false));
}

// A target that has left may have been of another version.
#[test]
fn a_history_that_leaves_a_version_out_names_none() {
    let shown = |changes: &[Change]| {
        let runs = version_history::runs(changes).ok()?;
        let versions = runs.into_iter().map(|(_, run)| run.version.to_string());
        Some(versions.collect::<Vec<_>>().join(" "))
    };
    let v1 = || change("a", true, "v1");
    assert_eq!(shown(&[]).as_deref(), Some(""));
    assert_eq!(
        shown(&[v1(), change("a", false, "")]).as_deref(),
        Some("v1")
    );
    let again = change("a", false, "v2");
    assert_eq!(shown(&[v1(), again]).as_deref(), Some("v1 v2"));
    let odd = change("b", true, "?");
    assert_eq!(shown(&[v1(), odd]).as_deref(), Some("v1"));
    for unknown in ["", "v1", "?"] {
        assert_eq!(shown(&[v1(), change("b", false, unknown)]), None);
    }
}

#[test]
fn the_history_counts_as_far_as_it_reaches_behind_a_stream() {
    let reading = Reading {
        begun: RESUMED_AT,
        ended: RESUMED_AT + Millis(100),
        reach: Millis(20_000),
    };
    let v1 = name::Version::new("v1");
    let excludes_departed = |asked_at, stream_max| {
        let versions = Versions {
            history: Some(reading),
            ..versions(&["v1", "v2"], Some(Millis(99_500)), Some(asked_at))
        };
        versions.excludes_departed(&v1, RESUMED_AT, Millis(stream_max))
    };
    assert!(excludes_departed(RESUMED_AT, 19_900));
    assert!(!excludes_departed(RESUMED_AT, 19_901));
    assert!(!excludes_departed(RESUMED_AT - Millis(1), 19_900));
}

// A stream whose version is listed no more must not go on at another one that has read its prompt.
#[test]
fn a_target_that_has_left_may_have_written_a_stream() {
    const STREAM_MAX: Millis = Millis(17_000);
    let v1 = name::Version::new("v1");
    let excludes_departed = |left: &[(&str, Millis)], listed_since| {
        let left = left.iter().map(|(version, at)| Departure {
            version: name::Version::new(version),
            at: *at,
        });
        let versions = Versions {
            departures: left.collect(),
            ..versions(&["v1", "v2"], listed_since, Some(RESUMED_AT))
        };
        versions.excludes_departed(&v1, RESUMED_AT, STREAM_MAX)
    };
    let begun = RESUMED_AT - STREAM_MAX;
    assert!(excludes_departed(&[], Some(begun)));
    assert!(!excludes_departed(&[], Some(begun + Millis(1))));
    assert!(!excludes_departed(&[], None));
    assert!(excludes_departed(&[("v1", RESUMED_AT)], Some(begun)));
    assert!(!excludes_departed(
        &[("v1", begun), ("v2", begun)],
        Some(begun)
    ));
    assert!(excludes_departed(&[("v2", begun - Millis(1))], Some(begun)));
}

#[test]
fn the_oldest_revision_with_a_history_is_found_in_few_calls() {
    for (oldest, latest, forgotten) in [
        (0, 900, None),
        (1, 1, None),
        (900, 900, None),
        (77, 1_000_000, None),
        (77, 1_000_000, Some(76)),
    ] {
        let mut search = Search::new(Revision(latest), forgotten.map(Revision));
        let mut calls = 0;
        let mut last = None;
        while let Some(probe) = search.next_probe() {
            calls += 1;
            search.record(probe, probe.0 >= oldest);
            last = Some(probe).filter(|probe| probe.0 >= oldest).or(last);
        }
        assert_eq!(last, Some(Revision(oldest)));
        assert!(calls <= 22, "{calls} calls");
    }
    // A store that has forgotten even its latest revision is not asked for ever.
    let mut search = Search::new(Revision(9), Some(Revision(3)));
    search.record(Revision(9), false);
    assert_eq!(search.next_probe(), None);
}

#[test]
fn the_daemon_that_has_run_longest_is_asked_first() {
    let mut all: Vec<MemberState> = (0..4).map(member).collect();
    for (member, incarnation) in all.iter_mut().zip([40, 10, 20, 30]) {
        member.incarnation = incarnation;
    }
    all[1].is_leaving = true;
    let view: Vec<&MemberState> = all.iter().collect();
    let order = stream_origin::witnesses(&view, |member| member.incarnation != 20);
    let order: Vec<u64> = order.iter().map(|member| member.incarnation).collect();
    assert_eq!(order, [30, 40, 10, 20]);
}

#[test]
fn a_late_record_does_not_change_where_a_stream_began() {
    let mut origins = Origins::default();
    let attempt = name::Attempt::new("a");
    assert_eq!(origins.record(&attempt, origin("v1"), Millis(0)), None);
    assert_eq!(origins.record(&attempt, origin("v1"), Millis(10)), None);
    let first = origins.record(&attempt, origin("v2"), Millis(20)).cloned();
    assert_eq!(first, Some(origin("v1")));
    assert_eq!(origins.get(&attempt), Some(&origin("v1")));
    // The stream still runs, so it is remembered from then on.
    origins.expire(Millis(10) + MEMORY);
    assert_eq!(origins.get(&attempt), Some(&origin("v1")));
}

#[test]
fn origins_are_forgotten_after_their_time() {
    let mut origins = Origins::default();
    let attempts = ["b", "a"].map(name::Attempt::new);
    origins.record(&attempts[0], origin("v1"), Millis(0));
    origins.record(&attempts[1], origin("v2"), Millis(1_000));
    assert_eq!(origins.get(&attempts[0]), Some(&origin("v1")));
    origins.expire(MEMORY);
    assert_eq!(origins.get(&attempts[0]), None);
    assert_eq!(origins.get(&attempts[1]), Some(&origin("v2")));
}

#[test]
fn a_flood_of_streams_does_not_grow_the_memory_without_bound() {
    let mut origins = Origins::default();
    for number in 0..30_000 {
        let attempt = name::Attempt::new(&number.to_string());
        origins.record(&attempt, origin("v1"), Millis(number / 10));
    }
    assert_eq!(origins.get(&name::Attempt::new("0")), None);
    assert!(origins.get(&name::Attempt::new("29999")).is_some());
}

/// Of the daemons, the one that passed a stream on is lost, and so is any other one.
#[test]
fn a_backup_is_asked_whichever_daemons_are_lost() {
    for size in [3_u16, 7, 63, 295] {
        let all: Vec<MemberState> = (0..size).map(member).collect();
        let view: Vec<&MemberState> = all.iter().collect();
        for number in 0..200 {
            let attempt = name::Attempt::new(&format!("attempt-{number}"));
            let writer = &all[number % usize::from(size)];
            let asker = &all[(number + 1) % usize::from(size)];
            let kept = stream_origin::backups(&attempt, &view, &writer.name, BACKUPS);
            assert!(!kept.contains(&writer.address));
            let lost = kept[number % kept.len()];
            let is_alive = |address: &SocketAddr| *address != lost && *address != writer.address;
            // The asker has already noticed one loss, and not the other.
            let noticed = all.iter().filter(|member| member.address != lost);
            let noticed: Vec<&MemberState> = noticed.collect();
            for view in [&view, &noticed] {
                let backups = stream_origin::backups(&attempt, view, &asker.name, BACKUPS_ASKED);
                let mut alive = backups.iter().filter(|address| is_alive(address));
                let is_own = kept.contains(&asker.address);
                assert!(is_own || alive.any(|address| kept.contains(address)));
            }
        }
    }
}
