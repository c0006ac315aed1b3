//! A leaving upstream receives no new work.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::process_fleet::{FleetPlan, ProcessFleet, complete};

/// The bound that the users set: a few seconds.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Guards against dispatches to a leaving upstream by a node that missed the change, with a lagging
/// list of instances.
#[tokio::test]
async fn a_draining_upstream_gets_no_request_after_three_seconds() {
    let fleet = ProcessFleet::start(FleetPlan::new("leaving")).await;
    fleet
        .control(
            fleet.platform.addresses[0],
            &json!({ "instance_lag": "10s" }),
        )
        .await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    let traffic = (0..160).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            tokio::time::sleep(Duration::from_millis(40 * number as u64)).await;
            let (status, body) =
                complete(address, &format!("coop-{}@1", number % 6), "label", 5).await;
            assert_eq!(status, 200, "{body}");
        }
    });
    let leave = async {
        fleet.nodes["node-3"].process.signal("STOP");
        let engine = "name = \"engine-1\"\n";
        fleet.apply(
            |routes| routes,
            |pools| pools.replace(engine, &format!("{engine}state = \"draining\"\n")),
        );
        let accepted_at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock after 1970");
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        fleet.nodes["node-3"].process.signal("CONT");
        accepted_at
    };

    let (_, accepted_at) = tokio::join!(futures_util::future::join_all(traffic), leave);

    let limit = (accepted_at + LEAVE_LIMIT).as_micros();
    let journal = fleet.journal(fleet.engines.addresses[0]).await;
    let late = journal.iter().filter(|entry| {
        entry["kind"] == "complete"
            && entry["time_us"]
                .as_u64()
                .is_some_and(|time| u128::from(time) > limit)
    });
    assert_eq!(late.count(), 0, "requests reached the leaving engine");
}
