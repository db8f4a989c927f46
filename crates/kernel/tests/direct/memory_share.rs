use gooseberry_kernel::name;
use gooseberry_kernel::target::memory_share::MemoryShares;

const WHOLE: u64 = 16 << 20;
const STEP: u64 = 10 << 10;

/// Takes as much for a target as it may have.
fn fill(shares: &mut MemoryShares, target: &name::Target) -> u64 {
    let mut taken = 0;
    while shares.try_take(target, STEP) {
        taken += STEP;
    }
    taken
}

#[test]
fn targets_that_take_all_they_can_leave_a_share_for_the_next_one() {
    let mut shares = MemoryShares::new(WHOLE);
    let mut all = Vec::new();
    let mut free = WHOLE;
    for number in 0..20 {
        let target = name::Target::new(&format!("target-{number}"));
        let taken = fill(&mut shares, &target);
        assert!(taken <= free / 5, "{taken} of {free}");
        assert!(taken + STEP > free / 5, "{taken} of {free}");
        free -= taken;
        all.push((target, taken));
    }
    assert!(free > WHOLE / 100, "{free}");
    let first = all[0].1;
    for (target, taken) in all {
        shares.give_back(&target, taken);
    }
    assert_eq!(fill(&mut shares, &name::Target::new("other")), first);
}
