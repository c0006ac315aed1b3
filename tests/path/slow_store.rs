//! A slow weight store stops neither resident adapters nor early refusals.

use std::time::Duration;

use serde_json::json;

use crate::process_fleet::{FleetPlan, ProcessFleet, completion, expected_text};
use crate::typed_answer::TypedAnswer;

/// Deadline of the requests for cold adapters.
const COLD_DEADLINE: Duration = Duration::from_secs(6);

/// Guards against requests for resident adapters that wait behind slow loads, and against requests
/// for cold ones that are held until their deadline instead of being refused with a retry time.
#[tokio::test]
async fn resident_adapters_are_served_and_cold_ones_refused_early() {
    let fleet = ProcessFleet::start(FleetPlan::new("slow-store")).await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    let resident = async |number: usize| {
        let (adapter, prompt) = (format!("coop-{}@1", number % 3), format!("label {number}"));
        let body = completion(&adapter, &prompt, 5, false);
        let address = addresses[number % addresses.len()];
        let answer = TypedAnswer::fetch(address, "standard", 50_000, &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let text = expected_text(&adapter, &prompt, 5);
        assert_eq!(answer.body["choices"][0]["text"], text);
    };
    for number in 0..9 {
        resident(number).await;
    }
    let slow = json!({ "load_time": "60s", "store_rate": 1.0, "store_in_flight": 1 });
    for engine in &fleet.engines.addresses {
        fleet.control(*engine, &slow).await;
    }
    let cold = (0..24).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            tokio::time::sleep(Duration::from_millis(150 * number as u64)).await;
            let body = completion(&format!("coop-{}@1", 100 + number), "label", 5, false);
            let deadline = u64::try_from(COLD_DEADLINE.as_millis()).expect("a short deadline");
            TypedAnswer::fetch(address, "standard", deadline, &body).await
        }
    });
    let steady = async {
        for number in 0..30 {
            resident(number).await;
        }
    };

    let (answers, ()) = tokio::join!(futures_util::future::join_all(cold), steady);

    for answer in &answers {
        assert_eq!(answer.error("code"), "overloaded", "{answer:?}");
        assert_eq!(answer.error("run_state"), "not_run", "{answer:?}");
        assert!(
            answer.body["error"]["retry_after_ms"].is_u64(),
            "a retry time is stated: {answer:?}"
        );
        assert!(
            answer.elapsed < COLD_DEADLINE,
            "refused before the deadline: {answer:?}"
        );
    }
}
