use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::share::Place;
use gooseberry_kernel::fleet::share::Rate;
use gooseberry_kernel::name;
use gooseberry_kernel::request::retry_budget;
use gooseberry_kernel::request::retry_budget::RetryBudget;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;
use gooseberry_kernel::request::retry_budget::SEND_DELAY_MAX;

use crate::fixtures::members;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    retries_per_thousand: 200,
    slack_retries: 60,
    window: Millis(10_000),
};
/// Length of the window, in steps of [`STEP_MS`].
const WINDOW_STEPS: usize = 200;
const STEP_MS: u64 = 50;
/// How long a process takes to discover the fleet.
const DISCOVERY: Millis = Millis(3_000);
/// When a process has saved up all that it may.
const SAVED_UP: Millis = Millis(20_000);

fn share(service: &name::Service, me: &name::Member, members: &[name::Member]) -> Rate {
    let place = Place {
        key: service.as_str(),
        me,
        members,
        fleet_size: members.len(),
    };
    retry_budget::slack_share(&LIMITS, &place)
}

fn spend_all(budget: &mut RetryBudget, service: &name::Service, share: Rate, now: Millis) -> usize {
    (0..1_000)
        .take_while(|_| {
            let has_left = budget.has_left(service, Some(share), now);
            let is_spent = budget.try_spend(service, Some(share), now);
            assert_eq!(is_spent, has_left);
            is_spent
        })
        .count()
}

/// A daemon that has a retry at any time, if it has any.
struct Daemon {
    me: name::Member,
    has_retries: bool,
    budget: RetryBudget,
    started: u64,
}

impl Daemon {
    fn new(me: &name::Member, started: u64) -> Self {
        Self {
            me: me.clone(),
            has_retries: true,
            budget: RetryBudget::new(LIMITS),
            started,
        }
    }

    /// Returns how many retries it sends at a time, after this number of requests.
    fn step(&mut self, requests: usize, members: &[name::Member], now: u64) -> usize {
        let service = name::Service::new("ledger");
        let now = Millis(now - self.started);
        for _ in 0..requests {
            self.budget.record_request(&service, now);
        }
        let share = (now >= DISCOVERY).then(|| share(&service, &self.me, members));
        if let Some(share) = share {
            self.budget.set_slack_share(&service, share, now);
        }
        let tries = if self.has_retries { 0..1_000 } else { 0..0 };
        let tries = tries.take_while(|_| self.budget.try_spend(&service, share, now));
        tries.count()
    }
}

/// Runs a fleet of daemons, of which one restarts every `restart_steps` steps, and
/// returns the retries and requests of each step.
fn run(count: usize, restart_steps: u64, requests: impl Fn(u64) -> usize) -> Vec<(usize, usize)> {
    let members = members(count);
    let mut daemons: Vec<Daemon> = members.iter().map(|me| Daemon::new(me, 0)).collect();
    let steps = (1..1_200).map(|step| {
        let now = step * STEP_MS;
        if step.is_multiple_of(restart_steps) {
            let index = usize::try_from(step / restart_steps).expect("small") % count;
            daemons[index] = Daemon::new(&members[index], now);
        }
        let requests = requests(step);
        let retries = daemons.iter_mut();
        let retries = retries.map(|one| one.step(requests, &members, now)).sum();
        (retries, requests * count)
    });
    steps.collect()
}

/// Checks that the retries of each window are within the budget of its requests.
fn check_windows(steps: &[(usize, usize)]) {
    for window in steps.windows(WINDOW_STEPS) {
        let retries: usize = window.iter().map(|(retries, _)| retries).sum();
        let requests: usize = window.iter().map(|(_, requests)| requests).sum();
        assert!(
            retries <= requests / 5 + 60,
            "{retries} retries for {requests} requests"
        );
    }
}

#[test]
fn daemon_shares_sum_to_at_most_the_fleet_budget() {
    let service = name::Service::new("ledger");
    for count in [1, 2, 6, 63] {
        let members = members(count);
        let totals = members.iter().map(|me| {
            let mut budget = RetryBudget::new(LIMITS);
            let share = share(&service, me, &members);
            for _ in 0..50 {
                budget.record_request(&service, SAVED_UP);
            }
            spend_all(&mut budget, &service, share, SAVED_UP + Millis(100))
        });
        let total: usize = totals.sum();
        assert!(
            total <= count * 50 / 5 + 60,
            "{count} daemons spent {total}"
        );
        // What they have saved up is at least a third of the slack.
        assert!(
            total >= count * 50 / 5 + 20,
            "{count} daemons spent {total}"
        );
    }
}

#[test]
fn daemons_that_always_retry_stay_within_the_budget_of_every_window() {
    for count in [1, 7, 63] {
        let steps = run(count, u64::MAX, |_| 0);
        check_windows(&steps);
        let retries: usize = steps.iter().map(|(retries, _)| retries).sum();
        assert!(retries >= 100, "{count} daemons sent {retries} in a minute");
    }
}

/// Runs a daemon that has retries from one step on, of which the first are sent this
/// many steps after they were counted, and checks all windows.
fn check_burst(first_retry: usize, delay_steps: usize) {
    let members = members(1);
    let mut daemon = Daemon::new(&members[0], 0);
    let mut steps = vec![(0, 20); 1_200];
    for step in 1..1_200 {
        daemon.has_retries = step >= first_retry;
        let retries = daemon.step(20, &members, step as u64 * STEP_MS);
        let is_delayed = step < first_retry + delay_steps;
        let sent = step + if is_delayed { delay_steps } else { 0 };
        if let Some(sent) = steps.get_mut(sent) {
            sent.0 += retries;
        }
    }
    check_windows(&steps);
}

#[test]
fn a_burst_of_retries_is_within_the_budget_of_its_window() {
    // The window of the budget may begin at any time within a bucket.
    for first_retry in 400..420 {
        check_burst(first_retry, 0);
    }
}

#[test]
fn retries_that_are_sent_as_late_as_allowed_are_within_the_budget() {
    let delay_steps = usize::try_from(SEND_DELAY_MAX.0 / STEP_MS).expect("small");
    for first_retry in 400..420 {
        check_burst(first_retry, delay_steps);
    }
}

#[test]
fn daemons_that_restart_in_turn_stay_within_the_budget_of_every_window() {
    for restart_steps in [7, 16, 30, 71] {
        check_windows(&run(7, restart_steps, |_| 0));
        check_windows(&run(7, restart_steps, |_| 1));
    }
}

#[test]
fn a_daemon_that_does_not_know_the_fleet_retries_by_the_ratio_only() {
    let service = name::Service::new("ledger");
    let mut budget = RetryBudget::new(LIMITS);
    assert!(!budget.try_spend(&service, None, Millis(2_900)));
    for _ in 0..5 {
        budget.record_request(&service, Millis(2_900));
    }
    assert!(budget.try_spend(&service, None, Millis(2_900)));
    assert!(!budget.try_spend(&service, None, Millis(2_900)));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(LIMITS);
    let members = members(6);
    for service in ["a", "b"].map(name::Service::new) {
        let share = share(&service, &members[0], &members);
        assert_eq!(spend_all(&mut budget, &service, share, SAVED_UP), 4);
    }
}
