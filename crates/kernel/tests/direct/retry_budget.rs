use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::retry_budget::RetryBudget;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    retries_per_thousand: 200,
    slack_retries: 60,
    window: Millis(10_000),
};

fn spend_all(
    budget: &mut RetryBudget,
    service: &name::Service,
    members: usize,
    now: Millis,
) -> usize {
    (0..1_000)
        .take_while(|_| budget.try_spend(service, members, now))
        .count()
}

#[test]
fn daemon_shares_sum_to_at_most_the_fleet_budget() {
    let service = name::Service::new("ledger");
    for members in [1, 2, 6, 63] {
        let total: usize = (0..members)
            .map(|_| {
                let mut budget = RetryBudget::new(LIMITS);
                for _ in 0..50 {
                    budget.record_request(&service, Millis(5_000));
                }
                spend_all(&mut budget, &service, members, Millis(5_100))
            })
            .sum();
        assert!(
            total <= members * 50 / 5 + 60,
            "{members} daemons spent {total}"
        );
    }
}

#[test]
fn spent_retries_count_until_the_window_has_passed() {
    let service = name::Service::new("ledger");
    let mut budget = RetryBudget::new(LIMITS);
    assert_eq!(spend_all(&mut budget, &service, 6, Millis(1_000)), 10);
    assert_eq!(spend_all(&mut budget, &service, 6, Millis(10_900)), 0);
    assert_eq!(spend_all(&mut budget, &service, 6, Millis(12_500)), 10);
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(LIMITS);
    let (first_service, second_service) = (name::Service::new("a"), name::Service::new("b"));
    assert_eq!(spend_all(&mut budget, &first_service, 6, Millis(1_000)), 10);
    assert_eq!(
        spend_all(&mut budget, &second_service, 6, Millis(1_000)),
        10
    );
}
