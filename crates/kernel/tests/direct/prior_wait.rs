use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::prior_wait::PriorWaitEstimator;

/// Found in the logs of a calm day: the times that clients give at first differ
/// by 0.15, and half of all requests counted as late by up to an objective.
#[test]
fn clients_that_ask_for_the_first_time_have_not_waited() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    for timeout in [12_000, 10_200, 11_100, 10_500, 11_900] {
        assert_eq!(estimator.estimate(&route, Millis(timeout)), Millis::ZERO);
    }
    let other = name::Route::new("other");
    assert_eq!(estimator.estimate(&other, Millis(4_000)), Millis::ZERO);
}

#[test]
fn a_client_that_comes_back_has_waited_at_least_what_lies_beyond_the_difference() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    estimator.estimate(&route, Millis(12_000));
    // It gave 11 s at first, and comes back after 4 s.
    assert_eq!(estimator.estimate(&route, Millis(7_000)), Millis(3_000));
}

#[test]
fn a_client_that_gives_far_less_is_one_of_another_kind() {
    let route = name::Route::new("r");
    let mut estimator = PriorWaitEstimator::default();
    estimator.estimate(&route, Millis(12_000));
    assert_eq!(estimator.estimate(&route, Millis(1_500)), Millis::ZERO);
}
