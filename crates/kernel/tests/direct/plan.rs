use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Stage;
use gooseberry_kernel::stage::plan::Invalid;
use gooseberry_kernel::stage::plan::Plan;

fn stage(service: &str, after: &[usize]) -> Stage {
    Stage {
        service: name::Service::new(service),
        after: after.to_vec(),
        bytes: 1_000,
    }
}

fn handles(names: &[&str]) -> Vec<name::Handle> {
    names.iter().map(|name| name::Handle::new(name)).collect()
}

/// A stage with large results that only the final run reads, beside a chain of
/// three stages.
fn chain_with_side_stage() -> Vec<Stage> {
    vec![
        stage("desk", &[]),
        stage("desk", &[]),
        stage("roll", &[1]),
        stage("returns", &[2]),
    ]
}

#[test]
fn stage_read_only_by_the_run_starts_with_the_last_chain_level() {
    let mut plan = Plan::new(&chain_with_side_stage(), &[2, 1, 4, 3]).expect("the plan is valid");
    assert_eq!(plan.longest_chain(), [1, 2, 3]);
    assert_eq!(plan.readers(1), [2]);
    assert!(!plan.has_results());
    assert_eq!(plan.start_ready(), [1]);
    assert!(plan.start_ready().is_empty(), "a stage starts only once");
    assert!(plan.finish(1, handles(&["x"])).is_empty());
    assert_eq!(plan.start_ready(), [2]);
    assert_eq!(plan.inputs(2), handles(&["x"]));
    let freed = plan.finish(2, handles(&["a", "b", "c", "d"]));
    assert_eq!(freed[0].handles, handles(&["x"]));
    assert_eq!(plan.start_ready(), [0, 3]);
    plan.finish(0, handles(&["l1", "l2"]));
    assert!(!plan.is_complete());
    plan.finish(3, handles(&["r1", "r2", "r3"]));
    assert!(plan.is_complete());
    assert_eq!(plan.outputs(), handles(&["l1", "l2", "r1", "r2", "r3"]));
}

#[test]
fn omitted_stage_passes_its_inputs_to_its_readers() {
    let stages = [stage("a", &[]), stage("b", &[0]), stage("c", &[1])];
    let mut plan = Plan::new(&stages, &[1, 0, 2]).expect("the plan is valid");
    assert_eq!(plan.start_ready(), [0]);
    plan.finish(0, handles(&["x"]));
    assert_eq!(plan.start_ready(), [2]);
    assert_eq!(plan.inputs(2), handles(&["x"]));
}

#[test]
fn result_is_freed_after_all_its_readers_are_computed() {
    let stages = [stage("a", &[]), stage("b", &[0]), stage("c", &[0])];
    let mut plan = Plan::new(&stages, &[1, 1, 1]).expect("the plan is valid");
    plan.start_ready();
    plan.finish(0, handles(&["x"]));
    assert_eq!(plan.start_ready(), [1, 2]);
    assert!(plan.finish(1, handles(&["y"])).is_empty());
    let freed = plan.finish(2, handles(&["z"]));
    assert_eq!(freed[0].handles, handles(&["x"]));
}

#[test]
fn a_request_without_pieces_is_complete_from_the_start() {
    let plan = Plan::new(&chain_with_side_stage(), &[0, 0, 0, 0]).expect("the plan is valid");
    assert!(plan.is_complete());
    assert!(plan.longest_chain().is_empty());
}

#[test]
fn invalid_counts_and_graphs_are_rejected() {
    assert_eq!(
        Plan::new(&chain_with_side_stage(), &[1, 1]).err(),
        Some(Invalid::Counts)
    );
    let cycle = [stage("a", &[0])];
    assert_eq!(Plan::new(&cycle, &[1]).err(), Some(Invalid::Graph));
    let missing = [stage("a", &[]), stage("b", &[7])];
    assert_eq!(Plan::new(&missing, &[1, 1]).err(), Some(Invalid::Graph));
}

/// Each piece takes memory before the stages begin.
#[test]
fn a_number_of_pieces_that_would_exhaust_the_memory_is_invalid() {
    let stages = chain_with_side_stage();
    for counts in [[u32::MAX, 1, 1, 1], [u32::MAX; 4], [4_000, 4_000, 2_000, 1]] {
        assert_eq!(Plan::new(&stages, &counts).unwrap_err(), Invalid::Pieces);
    }
    assert!(Plan::new(&stages, &[4_000, 4_000, 1_999, 1]).is_ok());
}
