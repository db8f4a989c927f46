//! Requests through three separate daemon processes without faults.

use crate::fleet::Call;
use crate::fleet::Fleet;

#[tokio::test]
async fn three_processes_serve_requests() {
    let fleet = Fleet::start_default().await;
    for index in 0..3 {
        for pipeline in ["read", "brief"] {
            let call = Call::new(pipeline, format!("{pipeline}-{index}"));
            let answer = fleet.send_until_answered(index, &call).await;
            assert_eq!(answer.body, call.expected_body());
            assert_eq!(answer.outcome(), "run");
        }
        let call = Call::post(format!("post-{index}"));
        let answer = fleet.send_until_answered(index, &call).await;
        assert_eq!(answer.body, call.expected_body());
        assert_eq!(fleet.run_count(&call.body), 1);
    }
    fleet.assert_invariants();
}
