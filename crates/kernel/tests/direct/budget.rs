use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::budget::Budget;
use gooseberry_kernel::request::budget::Terms;

const TERMS: Terms = Terms {
    per_thousand: 200,
    slack: 60,
    window: Millis(10_000),
};

fn taken(budget: &mut Budget, service: &name::Service, members: usize, now: Millis) -> usize {
    (0..1_000)
        .take_while(|_| budget.take(service, members, now))
        .count()
}

#[test]
fn the_parts_of_all_daemons_stay_within_the_whole() {
    let service = name::Service::new("ledger");
    for members in [1, 2, 6, 63] {
        let total: usize = (0..members)
            .map(|_| {
                let mut budget = Budget::new(TERMS);
                for _ in 0..50 {
                    budget.note_first(&service, Millis(5_000));
                }
                taken(&mut budget, &service, members, Millis(5_100))
            })
            .sum();
        assert!(
            total <= members * 50 / 5 + 60,
            "{members} daemons took {total}"
        );
    }
}

#[test]
fn what_was_taken_counts_for_a_whole_window() {
    let service = name::Service::new("ledger");
    let mut budget = Budget::new(TERMS);
    assert_eq!(taken(&mut budget, &service, 6, Millis(1_000)), 10);
    assert_eq!(taken(&mut budget, &service, 6, Millis(10_900)), 0);
    assert_eq!(taken(&mut budget, &service, 6, Millis(12_500)), 10);
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = Budget::new(TERMS);
    let (one, other) = (name::Service::new("a"), name::Service::new("b"));
    assert_eq!(taken(&mut budget, &one, 6, Millis(1_000)), 10);
    assert_eq!(taken(&mut budget, &other, 6, Millis(1_000)), 10);
}
