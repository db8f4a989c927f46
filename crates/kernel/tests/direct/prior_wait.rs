use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::prior_wait::PriorWaitEstimator;

/// Guards against taking the spread of first timeouts for waiting time. They
/// differ by up to 0.15 of the longest one, and with this fault half of all
/// requests counted as late by up to a latency objective.
#[test]
fn first_requests_have_no_prior_wait() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    for timeout in [12_000, 10_200, 11_100, 10_500, 11_900] {
        assert_eq!(estimator.estimate(&route, Millis(timeout)), Millis::ZERO);
    }
    let other = name::Route::new("other");
    assert_eq!(estimator.estimate(&other, Millis(4_000)), Millis::ZERO);
}

#[test]
fn prior_wait_of_a_retry_excludes_the_timeout_spread() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    estimator.estimate(&route, Millis(12_000));
    // The first timeout of the client was 11 s, and it retries after 4 s.
    assert_eq!(estimator.estimate(&route, Millis(7_000)), Millis(3_000));
}

#[test]
fn much_shorter_timeout_is_not_taken_for_a_retry() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    estimator.estimate(&route, Millis(12_000));
    assert_eq!(estimator.estimate(&route, Millis(1_500)), Millis::ZERO);
}
