//! Admission control: a workspace that sends too many requests does not crowd
//! out the others, and few requests are started for an overloaded pool.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::admission::PoolThrottle;
use gooseberry_kernel::admission::ShareLimiter;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;

const LIMIT: usize = 100;

fn workspace(name: &str) -> id::Workspace {
    id::Workspace::new(name).unwrap()
}

/// Sends requests of a workspace until one is refused. Returns the number of
/// admitted requests and why the last one was refused.
fn fill(limiter: &mut ShareLimiter, name: &str, weight: u16) -> (usize, Kind) {
    let mut count = 0;
    loop {
        match limiter.acquire(&workspace(name), weight, LIMIT) {
            Ok(()) => count += 1,
            Err(kind) => return (count, kind),
        }
    }
}

#[test]
fn a_single_workspace_gets_all_but_the_reserved_part() {
    let mut limiter = ShareLimiter::default();
    assert_eq!(fill(&mut limiter, "a.big", 1), (90, Kind::OverShare));
}

#[test]
fn a_returning_workspace_is_admitted_and_gets_its_share() {
    let mut limiter = ShareLimiter::default();
    fill(&mut limiter, "a.big", 1);
    assert_eq!(fill(&mut limiter, "b.small", 1), (10, Kind::Overloaded));
    let mut small = 10;
    for _ in 0..90 {
        limiter.release(&workspace("a.big"));
        small += fill(&mut limiter, "b.small", 1).0;
        fill(&mut limiter, "a.big", 1);
    }
    assert_eq!(small, 50);
}

#[test]
fn shares_follow_the_weights() {
    let mut limiter = ShareLimiter::default();
    for _ in 0..1000 {
        for (name, weight) in [("a.big", 3), ("b.small", 1)] {
            limiter.acquire(&workspace(name), weight, LIMIT).ok();
        }
    }
    for _ in 0..1000 {
        limiter.release(&workspace("a.big"));
        limiter.release(&workspace("b.small"));
        limiter.acquire(&workspace("a.big"), 3, LIMIT).ok();
        limiter.acquire(&workspace("b.small"), 1, LIMIT).ok();
    }
    let mut small = 0;
    while limiter.total() > 0 {
        let before = limiter.total();
        limiter.release(&workspace("b.small"));
        if limiter.total() == before {
            break;
        }
        small += 1;
    }
    assert!((20..=30).contains(&small), "{small} of 100");
}

#[test]
fn small_workspaces_are_not_starved_by_a_flood() {
    let mut limiter = ShareLimiter::default();
    for round in 0..2000_u64 {
        fill(&mut limiter, "a.big", 1);
        if !hash::mix(round, 1).is_multiple_of(3) {
            limiter.release(&workspace("a.big"));
        }
        for index in 0..5 {
            let name = format!("c.small-{index}");
            limiter.acquire(&workspace(&name), 1, LIMIT).unwrap();
        }
        for index in 0..5 {
            limiter.release(&workspace(&format!("c.small-{index}")));
        }
    }
}

/// Offers requests to a pool that accepts `capacity` of them per second for ten
/// seconds. Returns how many the pool refused in the last second.
fn wasted(offered: u64, capacity: u64) -> u64 {
    let pool = policy_site::query(0).pool;
    let mut throttle = PoolThrottle::default();
    let mut random = 1;
    let mut wasted = 0;
    for second in 0..10 {
        wasted = 0;
        let mut capacity_left = capacity;
        for number in 0..offered {
            let now = Millis(second * 1000 + number * 1000 / offered);
            random = hash::mix(random, 1);
            if throttle.should_refuse(&pool, random, now) {
                continue;
            }
            // The pool accepts its requests evenly over the second.
            let is_accepted =
                capacity_left > 0 && number * capacity / offered + capacity_left >= capacity;
            capacity_left -= u64::from(is_accepted);
            wasted += u64::from(!is_accepted);
            throttle.record(&pool, is_accepted, now);
        }
    }
    wasted
}

#[test]
fn an_overloaded_pool_gets_few_more_requests_than_it_accepts() {
    assert_eq!(wasted(100, 100), 0);
    let refused = wasted(300, 100);
    assert!(refused <= 80, "the pool refused {refused} of 300");
}

#[test]
fn refusals_stop_soon_after_the_load_falls() {
    let pool = policy_site::query(0).pool;
    let mut throttle = PoolThrottle::default();
    for number in 0..1000 {
        throttle.record(&pool, number % 10 == 0, Millis(number));
    }
    let mut random = 1;
    let mut last_refused = Millis::ZERO;
    for number in 0..600 {
        let now = Millis(1000 + number * 10);
        random = hash::mix(random, 1);
        let is_refused = throttle.should_refuse(&pool, random, now);
        if is_refused {
            last_refused = now;
        } else {
            throttle.record(&pool, true, now);
        }
    }
    // After the first second the load is one that the pool accepts in full.
    assert!(last_refused < Millis(6000), "refused until {last_refused}");
}
