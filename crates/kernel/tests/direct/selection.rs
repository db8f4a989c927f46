use gooseberry_kernel::name;
use gooseberry_kernel::target::selection;
use gooseberry_kernel::target::selection::Candidate;

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index| Candidate {
        target: name::Target::new(&format!("t-{index}")),
        load: 0,
        slots: 100,
        is_avoided: false,
        is_same_domain: false,
    };
    (0..count).map(candidate).collect()
}

#[test]
fn same_prefix_goes_to_one_engine_until_it_is_busy() {
    let mut targets = candidates(18);
    let preferred = selection::pick(&targets, Some(42), 1).expect("there are targets");
    for draw in 0..50 {
        assert_eq!(selection::pick(&targets, Some(42), draw), Some(preferred));
    }
    targets[preferred].load = 90;
    let fallback = selection::pick(&targets, Some(42), 1).expect("there are targets");
    assert_ne!(fallback, preferred);
    // Every daemon picks the same fallback.
    assert_eq!(selection::pick(&targets, Some(42), 9), Some(fallback));
}

#[test]
fn affinity_does_not_depend_on_other_candidates() {
    let targets = candidates(18);
    let preferred = selection::pick(&targets, Some(7), 0).expect("there are targets");
    let fewer: Vec<Candidate> = targets
        .iter()
        .enumerate()
        .filter(|(index, _)| *index == preferred || index % 3 == 0)
        .map(|(_, candidate)| candidate.clone())
        .collect();
    let picked = selection::pick(&fewer, Some(7), 0).expect("there are targets");
    assert_eq!(fewer[picked].target, targets[preferred].target);
}

#[test]
fn without_affinity_picks_least_loaded_and_prefers_same_domain() {
    let mut targets = candidates(3);
    targets[0].load = 50;
    targets[1].load = 5;
    targets[2].load = 8;
    assert_eq!(selection::pick(&targets, None, 3), Some(1));
    targets[2].is_same_domain = true;
    assert_eq!(selection::pick(&targets, None, 3), Some(2));
}

#[test]
fn avoided_target_is_picked_only_if_all_are_avoided() {
    let mut targets = candidates(2);
    targets[0].is_avoided = true;
    targets[1].load = 99;
    assert_eq!(selection::pick(&targets, None, 0), Some(1));
    targets[1].is_avoided = true;
    assert_eq!(selection::pick(&targets, None, 0), Some(0));
    assert_eq!(selection::pick(&[], None, 0), None);
}

/// A placer that does not know yet that a target fails must not keep requests on it.
#[test]
fn preferred_target_is_picked_unless_it_is_avoided_or_no_candidate() {
    let mut targets = candidates(3);
    let preferred = targets[1].target.clone();
    assert_eq!(selection::pick_preferred(&targets, &preferred), Some(1));
    targets[1].is_avoided = true;
    assert_eq!(selection::pick_preferred(&targets, &preferred), None);
    targets.remove(1);
    assert_eq!(selection::pick_preferred(&targets, &preferred), None);
}
