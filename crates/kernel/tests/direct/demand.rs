//! What a request asks of an engine.

use gooseberry_kernel::request::demand::Demand;

#[test]
fn parts_beyond_the_prompt_are_truncated_and_keep_their_order() {
    let demand = Demand::new(1_000, &[("a", 800), ("b", 410), ("c", 250)], 80, Some(500));
    let demand = demand.expect("it is within the limits");
    let tokens: Vec<u32> = demand.parts.iter().map(|part| part.tokens).collect();
    assert_eq!(tokens, [800, 200, 0]);
    assert_eq!(demand.output_hint, Some(80));
    assert_eq!(
        demand.shared_parts().len(),
        2,
        "only the last part is not shared"
    );
    assert_eq!(demand.cached_tokens(|_| true), 1_000);
}

#[test]
fn a_part_is_known_by_all_ids_up_to_it() {
    let chains = |ids: &[&str]| {
        let parts: Vec<(&str, u32)> = ids.iter().map(|id| (*id, 1)).collect();
        let demand = Demand::new(10, &parts, 1, None).expect("it is within the limits");
        demand
            .parts
            .iter()
            .map(|part| part.chain)
            .collect::<Vec<u64>>()
    };
    assert_eq!(chains(&["a", "b", "c"])[..2], chains(&["a", "b", "d"])[..2]);
    // Otherwise a cached part would count for prompts that begin differently.
    assert_ne!(chains(&["a", "b"])[1], chains(&["x", "b"])[1]);
    assert_ne!(chains(&["ab", "c"])[1], chains(&["a", "bc"])[1]);
    assert_ne!(chains(&["a", "a"])[0], chains(&["a", "a"])[1]);
}
