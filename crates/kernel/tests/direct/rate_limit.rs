use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Target;
use gooseberry_kernel::target::rate_limit;
use gooseberry_kernel::target::rate_limit::Booking;
use gooseberry_kernel::target::rate_limit::Change;
use gooseberry_kernel::target::rate_limit::NextSend;
use gooseberry_kernel::target::rate_limit::Observation;
use gooseberry_kernel::target::rate_limit::Rate;
use gooseberry_kernel::target::rate_limit::RateLimits;

use crate::fixtures;
use crate::fixtures::members;

/// Length of the window in which the platform judges a limit.
const WINDOW_MS: usize = 4_000;

fn target(started: u64) -> Target {
    fixtures::target("t", started)
}

/// The most requests that the platform allows in a window: one and a half times the
/// limit, and 5.
fn allowed(rate: Rate) -> usize {
    usize::try_from(rate.0 * 6 / 1000).expect("small") + 5
}

/// Returns the largest number of requests in a window.
fn most_in_window(sends: &[usize]) -> usize {
    let windows = sends.windows(WINDOW_MS);
    windows.map(|window| window.iter().sum()).max().unwrap_or(0)
}

/// A daemon that always has a request for the target.
struct Daemon {
    me: name::Member,
    limits: RateLimits,
}

impl Daemon {
    fn new(me: &name::Member, rate: Rate, now: Millis) -> Self {
        let mut limits = RateLimits::default();
        limits.observe(&target(1), Some(rate), now);
        Self {
            me: me.clone(),
            limits,
        }
    }

    /// Returns how many requests it sends now.
    fn step(&mut self, rate: Rate, members: &[name::Member], now: Millis) -> usize {
        let target = target(1);
        let share = rate_limit::share(rate, &target.name, &self.me, members, members.len());
        self.limits.set_share(&target.name, share, now);
        let mut sent = 0;
        while self.limits.next_send(&target, share, now).is_due(now) {
            self.limits.spend(&target, share, now);
            sent += 1;
        }
        sent
    }
}

#[test]
fn all_daemons_together_keep_to_a_limit_in_a_fleet_of_any_size() {
    for rate in [Rate(300), Rate(1_100), Rate(7_500), Rate(120_000)] {
        for count in [1, 2, 7, 63, 295] {
            let members = members(count);
            let mut daemons: Vec<Daemon> = members
                .iter()
                .map(|me| Daemon::new(me, rate, Millis(0)))
                .collect();
            let sends: Vec<usize> = (0..20_000)
                .step_by(50)
                .map(|now| {
                    let steps = daemons.iter_mut();
                    steps.map(|one| one.step(rate, &members, Millis(now))).sum()
                })
                .flat_map(|sent| std::iter::once(sent).chain([0; 49]))
                .collect();
            let most = most_in_window(&sends);
            assert!(
                most <= allowed(rate),
                "{count} daemons send {most} for {rate} a second"
            );
            let total: usize = sends.iter().sum();
            let intended = usize::try_from(rate.0).expect("small") * 20 / 1000;
            assert!(
                total * 2 >= intended,
                "{count} daemons send {total} of {intended}"
            );
        }
    }
}

#[test]
fn daemons_that_restart_one_after_the_other_do_not_spend_their_shares_twice() {
    let rate = Rate(2_000);
    let members = members(7);
    let mut daemons: Vec<Daemon> = members
        .iter()
        .map(|me| Daemon::new(me, rate, Millis(0)))
        .collect();
    let mut sends = Vec::new();
    for now in 0..30_000 {
        let now = Millis(now);
        if now.0.is_multiple_of(400) {
            let index = usize::try_from(now.0 / 400).expect("small") % members.len();
            daemons[index] = Daemon::new(&members[index], rate, now);
        }
        let steps = daemons.iter_mut();
        sends.push(steps.map(|one| one.step(rate, &members, now)).sum());
    }
    let most = most_in_window(&sends);
    assert!(most <= allowed(rate), "{most}");
}

#[test]
fn a_limit_ends_with_an_answer_without_it_or_with_the_run_of_its_target() {
    let mut limits = RateLimits::default();
    let now = Millis(100);
    assert_eq!(limits.observe(&target(1), None, now), None);
    let named = limits.observe(&target(1), Some(Rate(1_000)), now);
    assert_eq!(named, Some(Change::Named(Rate(1_000))));
    assert_eq!(limits.observe(&target(1), Some(Rate(1_000)), now), None);
    assert_eq!(
        limits.next_send(&target(1), None, now),
        NextSend::Never,
        "others have the shares"
    );
    assert_eq!(
        limits.next_send(&target(2), None, now),
        NextSend::Unlimited,
        "another run"
    );
    assert_eq!(limits.observe(&target(1), None, now), Some(Change::Ended));
    assert_eq!(limits.next_send(&target(1), None, now), NextSend::Unlimited);
    // Another run under the same name replaces the former one.
    limits.observe(&target(2), Some(Rate(2_000)), now);
    assert_eq!(limits.rate(&target(2)), Some(Rate(2_000)));
    assert_eq!(limits.rate(&target(1)), None);
}

fn told(rate: Option<Rate>, started: u64, seen_at: u64) -> Observation {
    Observation {
        target: name::Target::new("t"),
        started,
        rate,
        seen_at: Millis(seen_at),
    }
}

#[test]
fn a_limit_that_a_peer_tells_of_holds_unless_older_news() {
    let mut limits = RateLimits::default();
    let named = limits.merge(told(Some(Rate(1_000)), 1, 500), None);
    assert_eq!(named, Some(Change::Named(Rate(1_000))));
    assert_eq!(limits.merge(told(None, 1, 400), None), None);
    assert_eq!(limits.merge(told(None, 0, 900), None), None);
    assert_eq!(limits.rate(&target(1)), Some(Rate(1_000)));
    assert_eq!(limits.merge(told(None, 1, 600), None), Some(Change::Ended));
    // What has ended is still passed on, and outweighs older news.
    assert_eq!(limits.for_greeting(), [told(None, 1, 600)]);
    assert_eq!(limits.merge(told(Some(Rate(1_000)), 1, 500), None), None);
    limits.expire(|_| true, Millis(600_000));
    assert!(limits.for_greeting().is_empty());
}

/// An odd entry may have stated for a moment that the target started in the far future.
#[test]
fn a_limit_of_the_listed_run_holds_against_that_of_a_later_one() {
    let mut limits = RateLimits::default();
    let [limit, odd] = [1, u64::MAX].map(|started| told(Some(Rate(1_000)), started, 500));
    limits.merge(odd.clone(), Some(u64::MAX));
    limits.merge(limit, Some(1));
    assert_eq!(limits.rate(&target(1)), Some(Rate(1_000)));
    limits.merge(odd, Some(1));
    assert_eq!(limits.rate(&target(1)), Some(Rate(1_000)));
}

#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let mut limits = RateLimits::default();
    limits.observe(&target(1), Some(Rate(0)), Millis(0));
    let rate = limits.rate(&target(1));
    limits.set_share(&target(1).name, rate, Millis(0));
    assert_eq!(
        limits.next_send(&target(1), rate, Millis(0)),
        NextSend::At(Millis(10_000))
    );
}

#[test]
fn greetings_pass_on_all_limits_in_turn() {
    let mut limits = RateLimits::default();
    for index in 0..10 {
        let mut target = target(1);
        target.name = name::Target::new(&format!("t-{index}"));
        limits.observe(&target, Some(Rate(1_000)), Millis(0));
    }
    let mut told: Vec<_> = (0..3).flat_map(|_| limits.for_greeting()).collect();
    told.sort_by(|a, b| a.target.cmp(&b.target));
    told.dedup();
    assert_eq!(told.len(), 10);
}

#[test]
fn requests_that_wait_for_a_limit_get_places_one_after_the_other() {
    let mut limits = RateLimits::default();
    let (target, share) = (target(1), Some(Rate(2_000)));
    limits.observe(&target, Some(Rate(2_000)), Millis(0));
    limits.set_share(&target.name, share, Millis(0));
    let times = (0..3).map(|_| {
        let next = limits.next_send(&target, share, Millis(0));
        limits.spend(&target, share, Millis(0));
        next
    });
    let expected = [500, 1_000, 1_500].map(|at| NextSend::At(Millis(at)));
    assert_eq!(times.collect::<Vec<_>>(), expected);
}

#[test]
fn a_request_is_booked_where_it_is_sent_first() {
    let at = |at| NextSend::At(Millis(at));
    let booking = |targets: &[NextSend]| {
        let targets = targets.iter().copied().zip(0..);
        rate_limit::booking(targets)
    };
    assert_eq!(
        booking(&[at(7), NextSend::Never, at(5)]),
        Booking::At(Millis(5), 2)
    );
    assert_eq!(booking(&[at(7), NextSend::Unlimited]), Booking::Unlimited);
    assert_eq!(booking(&[NextSend::Never]), Booking::NoShare);
}

#[test]
fn a_rate_is_a_decimal_number() {
    for (text, rate) in [("1.3", 1_300), ("0.0004", 0), ("12", 12_000), (".5", 500)] {
        assert_eq!(text.parse(), Ok(Rate(rate)), "{text}");
    }
    for text in ["", ".", "-1", "1e3", "1.2.3", "many", "NaN"] {
        assert!(text.parse::<Rate>().is_err(), "{text}");
    }
    assert_eq!(Rate(1_250).to_string(), "1.250");
}
