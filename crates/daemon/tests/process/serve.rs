//! The path through separate processes.

use crate::fleet::Call;
use crate::fleet::Fleet;

#[tokio::test]
async fn three_processes_serve_requests() {
    let fleet = Fleet::usual().await;
    for index in 0..3 {
        for pipeline in ["read", "brief"] {
            let call = Call::new(pipeline, format!("{pipeline}-{index}"));
            let told = fleet.answered(index, &call).await;
            assert_eq!(told.body, call.expected());
            assert_eq!(told.outcome(), "run");
        }
        let call = Call::post(format!("post-{index}"));
        let told = fleet.answered(index, &call).await;
        assert_eq!(told.body, call.expected());
        assert_eq!(fleet.runs(&call.body), 1);
    }
    fleet.assert_invariants();
}
