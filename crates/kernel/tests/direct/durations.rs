use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::durations::Certainty;
use gooseberry_kernel::request::durations::Durations;
use gooseberry_kernel::request::durations::Span;

fn route() -> name::Route {
    name::Route::new("r")
}

/// Records a complete request of this duration that ends at `end`.
fn record(durations: &mut Durations, duration: u64, end: u64) {
    let sent = Millis(end - duration);
    durations.begin(&route(), sent);
    durations.end(&route(), sent, Some(sent), Millis(end));
}

fn run(durations: &mut Durations, certainty: Certainty, now: u64) -> Option<u64> {
    let estimate = durations.estimate(&route(), Span::Run, certainty, Millis(now));
    estimate.map(|estimate| estimate.duration.0)
}

#[test]
fn a_few_slow_requests_count_only_for_those_that_run_once() {
    let mut durations = Durations::default();
    for number in 0..95 {
        record(&mut durations, 100, 10_000 + number);
    }
    for number in 0..5 {
        record(&mut durations, 5_000, 11_000 + number);
    }
    // The class of 100 ms ends at 127 ms.
    assert_eq!(run(&mut durations, Certainty::Likely, 12_000), Some(127));
    assert_eq!(run(&mut durations, Certainty::Highest, 12_000), Some(5_000));
}

#[test]
fn requests_that_still_run_count_for_those_that_run_once() {
    let mut durations = Durations::default();
    durations.begin(&route(), Millis(1_000));
    durations.begin(&route(), Millis(2_000));
    assert_eq!(run(&mut durations, Certainty::Highest, 4_000), Some(3_000));
    assert_eq!(run(&mut durations, Certainty::Likely, 4_000), None);
    // A request without a complete answer says nothing.
    durations.end(&route(), Millis(1_000), None, Millis(4_000));
    assert_eq!(run(&mut durations, Certainty::Highest, 4_000), Some(2_000));
    durations.end(&route(), Millis(2_000), None, Millis(4_000));
    assert_eq!(run(&mut durations, Certainty::Highest, 4_000), None);
}

#[test]
fn durations_are_forgotten_after_two_windows() {
    let mut durations = Durations::default();
    record(&mut durations, 2_000, 10_000);
    for (now, known) in [(39_000, Some(2_000)), (45_000, Some(2_000)), (80_000, None)] {
        assert_eq!(run(&mut durations, Certainty::Highest, now), known, "{now}");
    }
    record(&mut durations, 10, 81_000);
    assert_eq!(run(&mut durations, Certainty::Highest, 82_000), Some(10));
    durations.expire(Millis(200_000));
    assert_eq!(run(&mut durations, Certainty::Highest, 200_000), None);
}

#[test]
fn few_requests_are_not_relied_on() {
    let mut durations = Durations::default();
    for number in 1..=8 {
        record(&mut durations, 10, 10_000 + number);
        let estimate = durations.estimate(&route(), Span::Whole, Certainty::Likely, Millis(11_000));
        assert_eq!(estimate.map(|known| known.is_firm), Some(number == 8));
    }
}
