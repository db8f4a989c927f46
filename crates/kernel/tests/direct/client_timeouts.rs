//! The timeouts of client connections, while settings change.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::client_timeouts::ClientTimeouts;
use gooseberry_kernel::request::client_timeouts::FORMER_LIMITS_FOR;
use gooseberry_kernel::request::client_timeouts::RecentLimits;
use gooseberry_kernel::request::client_timeouts::TimeoutCheck;
use gooseberry_kernel::request::routing_table::ClientLimits;

fn limits(idle_ms: u64) -> ClientLimits {
    ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout: Millis(idle_ms / 5),
        idle_timeout: Millis(idle_ms),
    }
}

#[test]
fn an_answer_longer_than_a_lowered_idle_timeout_is_no_idle_time() {
    let mut timeouts = ClientTimeouts::new(limits(1_000), Millis(0));
    timeouts.begin();
    let check = timeouts.check(limits(100), Millis(9_000));
    assert_eq!(check, TimeoutCheck::NotYet(Millis(1_000)));
    timeouts.end(limits(100), Millis(9_000));
    let check = |now| timeouts.check(limits(100), Millis(now));
    assert_eq!(check(9_000), TimeoutCheck::NotYet(Millis(100)));
    assert_eq!(check(9_100), TimeoutCheck::Idle);
}

#[test]
fn a_connection_keeps_the_limits_under_which_it_became_idle() {
    let mut timeouts = ClientTimeouts::new(limits(1_000), Millis(0));
    let lowered = |timeouts: &ClientTimeouts, now| timeouts.check(limits(100), Millis(now));
    assert_eq!(lowered(&timeouts, 900), TimeoutCheck::NotYet(Millis(100)));
    assert_eq!(lowered(&timeouts, 1_000), TimeoutCheck::Idle);
    // A raised limit holds at once.
    let raised = timeouts.check(limits(3_000), Millis(1_000));
    assert_eq!(raised, TimeoutCheck::NotYet(Millis(2_000)));
    timeouts.record_bytes(Millis(900));
    timeouts.record_bytes(Millis(950));
    assert_eq!(lowered(&timeouts, 1_000), TimeoutCheck::NotYet(Millis(100)));
    assert_eq!(lowered(&timeouts, 1_100), TimeoutCheck::SlowHead);
}

#[test]
fn former_limits_hold_for_some_seconds_through_several_versions() {
    let mut recent = RecentLimits::new(limits(1_000));
    let idle = |recent: &RecentLimits, now| recent.at(now).idle_timeout;
    for (step, idle_ms) in [500, 100, 200].into_iter().enumerate() {
        recent.replace(limits(idle_ms), Millis(step as u64 * 100));
        assert_eq!(idle(&recent, Millis(step as u64 * 100)), Millis(1_000));
    }
    // The same limits again change nothing.
    recent.replace(limits(200), Millis(4_000));
    let end = Millis(200) + FORMER_LIMITS_FOR;
    assert_eq!(idle(&recent, end - Millis(1)), Millis(1_000));
    assert_eq!(idle(&recent, end), Millis(200));
}
