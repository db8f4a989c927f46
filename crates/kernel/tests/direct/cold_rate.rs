use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::cold_rate;
use gooseberry_kernel::target::cold_rate::ColdRateLimiter;

use crate::fixtures::members;

#[test]
fn daemon_shares_sum_to_at_most_the_cold_rate() {
    for count in [1, 2, 5, 6, 16, 17, 63, 81] {
        let members = members(count);
        for target in 0..20 {
            let target = name::Target::new(&format!("t-{target}"));
            let shares = members
                .iter()
                .map(|me| cold_rate::share(16, &target, me, &members, count));
            let total: usize = shares.sum();
            assert!(total <= 16, "{count} daemons send {total}");
            assert!(
                total * 2 >= 16.min(count),
                "{count} daemons send only {total}"
            );
        }
    }
}

#[test]
fn partitioned_daemon_uses_the_full_fleet_size() {
    let alone = members(1);
    let target = name::Target::new("t");
    assert_eq!(cold_rate::share(16, &target, &alone[0], &alone, 6), 2);
}

#[test]
fn sends_count_for_one_second() {
    let target = name::Target::new("t");
    let mut limiter = ColdRateLimiter::default();
    limiter.record_send(&target, Millis(0));
    limiter.record_send(&target, Millis(600));
    assert_eq!(limiter.recent_sends(&target, Millis(999)), 2);
    assert_eq!(limiter.recent_sends(&target, Millis(1_000)), 1);
    assert_eq!(limiter.recent_sends(&target, Millis(1_600)), 0);
}
