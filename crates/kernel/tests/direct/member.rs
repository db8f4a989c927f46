use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::member::Change;
use gooseberry_kernel::fleet::member::FLEET_MEMORY;
use gooseberry_kernel::fleet::member::GREET_MAX;
use gooseberry_kernel::fleet::member::Process;
use gooseberry_kernel::fleet::member::ROWS_MAX;
use gooseberry_kernel::fleet::member::Row;
use gooseberry_kernel::fleet::member::SILENT_AFTER;
use gooseberry_kernel::fleet::member::Table;
use gooseberry_kernel::name;

fn address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 80).into()
}

fn row(index: u8, incarnation: u64, beat: u64) -> Row {
    Row {
        name: name::Member::new(&format!("d-{index}")),
        incarnation,
        beat,
        address: address(index),
        strength: 250,
        is_leaving: false,
    }
}

#[test]
fn a_member_is_live_while_its_beat_grows_whoever_tells_it() {
    let mut table = Table::new(row(0, 1, 0));
    assert!(table.learn(row(1, 1, 1), Millis(0)).is_some());
    // An old beat, told again, keeps nobody alive.
    table.learn(row(1, 1, 1), Millis(1_400));
    assert!(table.is_live(address(1), Millis(1_400)));
    assert!(!table.is_live(address(1), SILENT_AFTER));
    assert_eq!(table.silent_since(Millis(1_400), SILENT_AFTER).len(), 1);
    let found = table.learn(row(1, 1, 2), Millis(2_000));
    assert_eq!(found, Some(Change::Found(name::Member::new("d-1"))));
}

#[test]
fn a_restart_behind_a_clock_that_jumped_back_is_believed_from_itself_only() {
    let mut table = Table::new(row(0, 1, 0));
    table.hear(row(1, 5_000, 40), Millis(0));
    table.learn(row(1, 3_000, 1), Millis(100));
    assert_eq!(table.rows(Millis(100))[0].incarnation, 5_000);
    table.hear(row(1, 3_000, 1), Millis(200));
    assert_eq!(table.rows(Millis(200))[0].incarnation, 3_000);
}

/// Found in a day's logs: for up to a round of greetings the others went on
/// asking a dispatcher that had told them it was leaving.
#[test]
fn a_member_that_leaves_is_believed_at_once() {
    let mut leaver = Table::new(row(0, 1, 0));
    let mut other = Table::new(row(1, 1, 0));
    leaver.beat(Millis(0));
    other.hear(leaver.me().clone(), Millis(0));
    leaver.leave();
    other.hear(leaver.me().clone(), Millis(100));
    let live = other.live(Millis(100));
    let leaving = live.iter().filter(|row| row.is_leaving);
    assert_eq!(leaving.count(), 1);
}

#[test]
fn a_run_of_a_daemon_is_gone_when_it_is_silent_or_has_a_follower() {
    let mut table = Table::new(row(0, 1, 0));
    let of = |incarnation| Process {
        address: address(1),
        incarnation,
    };
    // A daemon that asks before its first greeting has not ended.
    assert!(!table.is_gone(of(5), Millis(0)));
    table.hear(row(1, 5, 1), Millis(0));
    assert!(!table.is_gone(of(5), Millis(100)));
    table.hear(row(1, 6, 1), Millis(200));
    assert!(table.is_gone(of(5), Millis(200)));
    assert!(!table.is_gone(of(6), Millis(200)));
    assert!(table.is_gone(of(6), Millis(200) + SILENT_AFTER));
}

#[test]
fn shares_count_the_fleet_from_before_a_partition() {
    let mut table = Table::new(row(0, 1, 0));
    for index in 1..6 {
        table.hear(row(index, 1, 1), Millis(0));
    }
    assert_eq!(table.fleet(Millis(10)), 6);
    assert_eq!(table.live(Millis(5_000)).len(), 1);
    assert_eq!(table.fleet(Millis(5_000)), 6);
    assert_eq!(table.fleet(FLEET_MEMORY + Millis(20)), 1);
}

#[test]
fn a_large_fleet_is_greeted_in_turns_that_leave_nobody_out() {
    let mut table = Table::new(row(0, 1, 0));
    for index in 1..65 {
        table.hear(row(index, 1, 1), Millis(0));
    }
    let mut greeted: Vec<SocketAddr> = Vec::new();
    for _ in 0..8 {
        let due = table.beat(Millis(100));
        assert!(due.len() <= GREET_MAX);
        greeted.extend(due);
    }
    greeted.sort();
    greeted.dedup();
    assert_eq!(greeted.len(), 64);
}

#[test]
fn what_a_greeting_tells_does_not_grow_with_the_fleet() {
    let mut table = Table::new(row(0, 1, 0));
    for index in 1..65 {
        table.hear(row(index, 1, 1), Millis(0));
    }
    let mut told: Vec<name::Member> = Vec::new();
    for _ in 0..8 {
        let rows = table.rows(Millis(100));
        assert!(rows.len() <= ROWS_MAX);
        told.extend(rows.into_iter().map(|row| row.name));
    }
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 64);
}

/// Plays a large fleet that tells only a few rows at a time: everybody finds
/// everybody, and one that dies is missed by all.
#[test]
fn a_large_fleet_finds_its_members_and_misses_the_dead() {
    let count: u8 = 64;
    let seeds = [address(0), address(1), address(2)];
    let mut tables: Vec<Table> = (0..count)
        .map(|index| Table::new(row(index, 1, 0)))
        .collect();
    let play = |tables: &mut Vec<Table>, from: u64, until: u64, dead: Option<u8>| {
        for round in from..until {
            let now = Millis(round * 300);
            for index in (0..count).filter(|index| Some(*index) != dead) {
                let mut due = tables[usize::from(index)].beat(now);
                if due.len() < seeds.len() {
                    due.extend(seeds);
                }
                for peer in due {
                    let peer = (0..count)
                        .find(|one| address(*one) == peer)
                        .expect("it exists");
                    if peer == index || Some(peer) == dead {
                        continue;
                    }
                    for (one, other) in [(index, peer), (peer, index)] {
                        let teller = &mut tables[usize::from(one)];
                        let me = teller.me().clone();
                        let rows = teller.rows(now);
                        let hearer = &mut tables[usize::from(other)];
                        hearer.hear(me, now);
                        for row in rows {
                            hearer.learn(row, now);
                        }
                    }
                }
            }
        }
    };
    play(&mut tables, 0, 20, None);
    let live = |tables: &[Table], round: u64| {
        let live = tables
            .iter()
            .map(|table| table.live(Millis(round * 300)).len());
        live.min().unwrap_or(0)
    };
    assert_eq!(live(&tables, 20), usize::from(count));
    play(&mut tables, 20, 60, Some(7));
    tables.remove(7);
    assert_eq!(live(&tables, 60), usize::from(count) - 1);
}
