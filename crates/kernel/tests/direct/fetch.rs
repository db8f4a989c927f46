use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::fetch;
use gooseberry_kernel::fleet::fetch::Fetches;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Era;
use gooseberry_kernel::fleet::replica::Position;

fn peer(number: u8) -> SocketAddr {
    ([10, 1, 0, number], 7000).into()
}

fn at(revision: u64) -> Position {
    Position {
        era: Some(Era(1)),
        revision: Revision(revision),
    }
}

#[test]
fn changes_are_fetched_by_one_call_at_a_time() {
    let mut fetches = Fetches::default();
    let now = Millis(10_000);
    assert!(!fetches.begin_changes(at(5), at(5), None, now));
    // The store itself answers this daemon.
    let fresh = Some(Millis(100));
    assert!(!fetches.begin_changes(at(6), at(5), fresh, now));
    assert!(fetches.begin_changes(at(6), at(5), None, now));
    assert!(!fetches.begin_changes(at(7), at(5), None, now));
    fetches.end_changes();
    assert!(fetches.begin_changes(at(7), at(6), None, now));
    // A call that never ended has timed out.
    assert!(fetches.begin_changes(at(8), at(6), None, now + fetch::CALL_TIMEOUT));
}

#[test]
fn chunks_are_asked_of_all_peers_that_have_them() {
    let mut fetches = Fetches::default();
    let now = Millis(10_000);
    assert_eq!(fetches.begin_chunks(1, now), None);
    for number in 1..=6 {
        fetches.add_source(peer(number), at(9), at(8));
    }
    fetches.add_source(peer(7), at(8), at(8));
    let mut asked = [0; 8];
    for draw in 0..600 {
        let source = fetches.begin_chunks(draw, now).expect("a source");
        assert_eq!(fetches.begin_chunks(draw, now), None);
        fetches.end_chunks(source, true);
        let number = (1..=7).find(|number| peer(*number) == source);
        asked[usize::from(number.expect("a known peer"))] += 1;
    }
    assert!(
        asked[1..=6].iter().all(|count| (50..=150).contains(count)),
        "{asked:?}"
    );
    assert_eq!(asked[7], 0);
}

#[test]
fn a_peer_without_the_chunks_is_not_asked_again() {
    let mut fetches = Fetches::default();
    let now = Millis(10_000);
    fetches.add_source(peer(1), at(9), at(8));
    let source = fetches.begin_chunks(1, now).expect("a source");
    fetches.end_chunks(source, false);
    assert_eq!(fetches.begin_chunks(1, now), None);
    fetches.add_source(peer(1), at(9), at(8));
    assert_eq!(fetches.begin_chunks(1, now), Some(peer(1)));
}
