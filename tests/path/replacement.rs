//! A graceful shutdown cuts off no request in progress.

use std::time::Duration;

use serde_json::json;

use crate::fixture::free_ports;
use crate::process_fleet::{FleetPlan, ProcessFleet, complete, expected_text, streamed_text};

/// Guards against cut or refused requests while every node is replaced, one after the other, under
/// load and with the platform out for a part of the time.
#[tokio::test]
async fn a_rolling_replacement_under_load_cuts_nothing() {
    let mut plan = FleetPlan::new("rolling");
    plan.nodes = &[
        ("node-1", "north"),
        ("node-2", "north"),
        ("node-3", "south"),
        ("node-4", "south"),
    ];
    let mut fleet = ProcessFleet::start(plan).await;
    let names: Vec<&'static str> = fleet.nodes.keys().copied().collect();

    for (step, name) in names.into_iter().enumerate() {
        let domain = fleet.nodes[name].domain;
        let entries: Vec<_> = fleet
            .nodes
            .iter()
            .filter(|(other, _)| **other != name)
            .map(|(_, node)| node.ports.caller)
            .collect();
        let leaving = fleet.nodes[name].ports.caller;
        let traffic = (0..40).map(|number| {
            // The balancer sends to the leaving node for a moment after its readiness has gone.
            let address = if number < 10 {
                leaving
            } else {
                entries[number % entries.len()]
            };
            async move {
                tokio::time::sleep(Duration::from_millis(if number < 10 {
                    0
                } else {
                    60 * number as u64
                }))
                .await;
                let (adapter, prompt) =
                    (format!("coop-{}@1", number % 6), format!("label {number}"));
                let (status, body) = complete(address, &adapter, &prompt, 40).await;
                assert_eq!(status, 200, "{body}");
                assert_eq!(streamed_text(&body), expected_text(&adapter, &prompt, 40));
            }
        });
        if step == 1 {
            fleet
                .control(fleet.platform.addresses[0], &json!({ "outage": "refuse" }))
                .await;
        }
        let stop = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.nodes[name].process.signal("TERM");
        };

        tokio::join!(futures_util::future::join_all(traffic), stop);

        let mut node = fleet.nodes.remove(name).expect("the node is known");
        assert!(
            node.process.wait().success(),
            "a graceful stop exits with 0"
        );
        fleet
            .control(fleet.platform.addresses[0], &json!({ "outage": "off" }))
            .await;
        fleet.start_node(name, domain, free_ports());
        fleet.publish().await;
        fleet.ready().await;
    }
}
