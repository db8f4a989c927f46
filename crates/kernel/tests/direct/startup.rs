use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment::CONFIRMATION_AGE_MAX;
use gooseberry_kernel::fleet::startup::CONFIRMATION_WAIT;
use gooseberry_kernel::fleet::startup::Startup;

/// Contents that the store has not confirmed for a while may lack the withdrawal of a key.
#[test]
fn a_daemon_serves_once_its_copy_is_confirmed_or_the_store_does_not_answer_in_time() {
    let is_over = |confirmed_age, now| {
        let mut startup = Startup::default();
        startup.update(confirmed_age, now);
        startup.is_over
    };
    let before_end = CONFIRMATION_WAIT - Millis(1);
    assert!(is_over(Some(CONFIRMATION_AGE_MAX), Millis(10)));
    assert!(!is_over(None, before_end));
    assert!(!is_over(Some(CONFIRMATION_AGE_MAX + Millis(1)), before_end));
    assert!(is_over(None, CONFIRMATION_WAIT));
    let mut startup = Startup::default();
    startup.update(Some(Millis::ZERO), Millis(10));
    startup.update(Some(Millis(60_000)), before_end);
    assert!(startup.is_over, "an outage does not stop a daemon");
}
