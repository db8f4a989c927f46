//! When an answer counts as late.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name::Target;
use gooseberry_kernel::request::punctuality::Lateness;
use gooseberry_kernel::request::punctuality::Punctuality;

#[test]
fn a_stream_is_late_by_its_first_event_or_by_a_pause() {
    let lateness = |events: &[u64], gap_max| {
        let mut punctuality = Punctuality::default();
        for at in events {
            punctuality.record_event(Millis(*at), &Target::new("e-1"));
        }
        punctuality.lateness(Millis(9_000), Millis(1_000), Millis(gap_max))
    };
    for (events, expected) in [
        (&[1_000, 1_500, 2_000][..], Lateness::No),
        (&[1_001, 1_500], Lateness::First),
        // The measure of the first event alone took this one for on time.
        (&[900, 1_401, 1_500], Lateness::Gap),
        (&[1_001, 1_502], Lateness::Both),
        (&[1_000], Lateness::No),
        // Without an event, the end of the answer counts.
        (&[], Lateness::First),
    ] {
        assert_eq!(lateness(events, 500), expected, "{events:?}");
    }
    assert_eq!(lateness(&[900, 8_000], 0), Lateness::No, "no pause matters");
}

#[test]
fn a_pause_over_a_resume_counts_for_the_target_that_broke_off() {
    let mut punctuality = Punctuality::default();
    for (at, target) in [(0, "e-1"), (100, "e-1"), (900, "e-2"), (1_200, "e-2")] {
        punctuality.record_event(Millis(at), &Target::new(target));
    }
    assert_eq!(punctuality.longest_gap(), Millis(800));
    assert_eq!(punctuality.gap_target(), Some(&Target::new("e-1")));
    // Another target's whole answer replaces an error reply; there is no pause between them.
    punctuality.record_whole(Millis(5_000));
    assert_eq!(punctuality.longest_gap(), Millis::ZERO);
    assert_eq!(punctuality.first_at(), Some(Millis(5_000)));
}
