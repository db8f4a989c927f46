use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::deadline_admission;
use gooseberry_kernel::request::deadline_admission::Decision;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::deadline_admission::RETRY_AFTER_MIN;
use gooseberry_kernel::request::deadline_admission::StageEstimate;
use gooseberry_kernel::request::durations::Durations;
use gooseberry_kernel::request::durations::Span;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_kernel::request::routing_table::Route;

use crate::routing_table::route;

const SPEC: BatchSpec = BatchSpec {
    max_pieces: 14,
    call_micros: 240_000,
    piece_micros: 15_000,
    result_capacity_bytes: 17_000_000,
    result_ttl: Millis(4_000),
};

fn stage(wait: u64) -> StageEstimate {
    stage_with_late_wait(wait, wait)
}

fn stage_with_late_wait(wait: u64, late_wait: u64) -> StageEstimate {
    StageEstimate {
        wait: Millis(wait),
        late_wait: Millis(late_wait),
        spec: SPEC,
        pieces: 2,
    }
}

#[test]
fn admits_stages_that_fit_the_deadline() {
    let is_admitted = |stages: &[StageEstimate], left| {
        let left = Millis(left);
        deadline_admission::decide(stages, left, left) == Decision::Admit
    };
    assert!(is_admitted(&[], 200));
    assert!(is_admitted(&[stage(500)], 1_000));
}

#[test]
fn admits_late_request_that_spare_capacity_can_serve() {
    let (on_time, left) = (Millis(0), Millis(6_000));
    let decide = |stages: &[StageEstimate]| deadline_admission::decide(stages, on_time, left);
    let stages = [
        stage_with_late_wait(100, 1_000),
        stage_with_late_wait(100, 3_000),
    ];
    assert_eq!(decide(&stages), Decision::Admit);
    let slow = [
        stage_with_late_wait(100, 3_000),
        stage_with_late_wait(100, 3_000),
    ];
    assert_eq!(decide(&slow), Decision::Refuse(Millis(5_000)));
}

/// Guards against computing the first stage of a late retry whose wait at the
/// second stage is longer than the results are kept.
#[test]
fn refuses_request_whose_results_would_expire_during_a_later_wait() {
    let stages = [stage_with_late_wait(0, 0), stage_with_late_wait(100, 4_000)];
    let decision = deadline_admission::decide(&stages, Millis(0), Millis(9_000));
    assert_eq!(decision, Decision::Refuse(Millis(5_000)));
    // No results are kept yet while the request waits at the first service.
    let stages = [stage_with_late_wait(100, 4_000), stage_with_late_wait(0, 0)];
    let decision = deadline_admission::decide(&stages, Millis(0), Millis(9_000));
    assert_eq!(decision, Decision::Admit);
}

#[test]
fn refusal_tells_when_to_retry() {
    let decide = |stages: &[StageEstimate], left| {
        deadline_admission::decide(stages, Millis(left), Millis(left))
    };
    let Decision::Refuse(retry_after) = decide(&[stage(8_000), stage(0)], 2_000) else {
        panic!("9 s of stages do not fit into 2 s");
    };
    // 8 s of waiting, two calls of 270 ms and the overhead of the first byte.
    assert_eq!(retry_after, Millis(8_000 + 540 + 150 - 2_000));
    // A request that clearly misses its deadline may retry after the burst.
    let Decision::Refuse(retry_after) = decide(&[stage(3_000), stage(0)], 2_000) else {
        panic!("4 s of stages do not fit into 2 s");
    };
    assert_eq!(retry_after, Millis(5_000));
    assert_eq!(decide(&[stage(0)], 419), Decision::Refuse(RETRY_AFTER_MIN));
    assert_eq!(decide(&[stage(0)], 120), Decision::Refuse(Millis(300)));
}

/// Returns whether a daemon that shuts down in `left` may begin a request of this route.
fn may_begin(route: &Route, durations: &mut Durations, span: Span, left: u64) -> bool {
    let (now, deadline) = (Millis(100_000), Millis::NEVER);
    let forecast = Forecast::new(route, durations, span, deadline, now);
    now < forecast.last_start(now + Millis(left))
}

fn stream_route(objective: Millis) -> Route {
    Route {
        form: ResponseForm::Stream,
        objective,
        ..route("a.example", "/s/", &[])
    }
}

fn plain_route(is_idempotent: bool) -> Route {
    Route {
        is_idempotent,
        objective: Millis(150),
        ..route("a.example", "/p/", &[])
    }
}

#[test]
fn shutting_down_daemon_admits_only_requests_that_can_finish() {
    let admits = |route: &Route, left| {
        let mut nothing_known = Durations::default();
        may_begin(route, &mut nothing_known, Span::Whole, left)
    };
    let stream = stream_route(Millis(2_000));
    assert!(admits(&stream, 7_000));
    assert!(!admits(&stream, 1_500));
    assert!(admits(&plain_route(true), 1_500));
    assert!(!admits(&plain_route(true), 200));
}

/// Guards against admitting a stream that the shutdown cuts: with 3.94 s left a
/// stream was admitted that lasted four seconds after its first event.
#[test]
fn shutting_down_daemon_refuses_a_stream_that_would_be_cut() {
    let stream = stream_route(Millis(1_400));
    for span in [Span::Whole, Span::Run] {
        assert!(!may_begin(&stream, &mut Durations::default(), span, 3_940));
    }
}

/// Guards against admitting requests that take twenty objectives now.
#[test]
fn shutting_down_daemon_goes_by_how_long_requests_take_now() {
    for is_idempotent in [false, true] {
        let route = plain_route(is_idempotent);
        let mut durations = Durations::default();
        // All have waited for as long as they ran.
        for number in 0..20 {
            let sent = Millis(90_000 + 100 * number);
            durations.begin(&route.name, sent);
            let end = sent + Millis(3_000);
            durations.end(&route.name, sent, Some(sent - Millis(3_000)), end);
        }
        for (span, needed) in [(Span::Whole, 6_200), (Span::Run, 3_200)] {
            assert!(!may_begin(&route, &mut durations, span, needed));
            assert!(may_begin(&route, &mut durations, span, needed + 1));
        }
    }
}

#[test]
fn a_request_whose_deadline_comes_before_the_end_may_begin() {
    let forecast = |deadline| Forecast {
        duration: Millis(3_000),
        deadline: Millis(deadline),
    };
    let end = Millis(10_000);
    assert_eq!(forecast(10_000).last_start(end), end);
    assert_eq!(forecast(10_001).last_start(end), Millis(7_000));
}

/// The last targets of the second of three services leave.
#[test]
fn refuses_request_that_needs_a_service_without_targets() {
    let decide = |targets: [usize; 3]| deadline_admission::decide_by_targets(targets);
    assert_eq!(decide([5, 1, 3]), Decision::Admit);
    assert_eq!(decide([5, 0, 3]), Decision::Refuse(Millis(5_000)));
    assert_eq!(deadline_admission::decide_by_targets([]), Decision::Admit);
}
