//! A surge of batch work is refused early, at bounded memory, and urgent work is served.

use std::time::Duration;

use crate::process_fleet::{FleetPlan, ProcessFleet, completion, expected_text};
use crate::typed_answer::TypedAnswer;

/// Memory that a node may occupy.
const MEMORY_LIMIT_KB: u64 = 256 * 1024;
/// Batch requests; two engines finish at most 128 of them within their deadline.
const BATCH_REQUESTS: usize = 1280;

/// Reads the resident memory of a process.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("a line with the resident memory");
    let number = line.split_whitespace().next().expect("a number");
    number.parse().expect("a number of kilobytes")
}

fn check_memory(fleet: &ProcessFleet) {
    for (name, node) in &fleet.nodes {
        let memory = resident_kb(node.process.id());
        assert!(memory < MEMORY_LIMIT_KB, "{name} occupies {memory} kB");
    }
}

/// Loads the adapters and lets the owners learn how long a run takes.
///
/// An average follows 5% of each observation, so each engine needs some tens of runs.
async fn learn(fleet: &ProcessFleet) {
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    for round in 0..4 {
        let runs = (0..32).map(|number| {
            let address = addresses[number % addresses.len()];
            let adapter = format!("coop-{}@1", number % 4);
            let body = completion(&adapter, &format!("learn {round} {number}"), 50, false);
            async move { TypedAnswer::fetch(address, "standard", 50_000, &body).await }
        });
        for answer in futures_util::future::join_all(runs).await {
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
}

/// Guards against queues that grow without bound in a surge, against refusals of work that then
/// runs, and against urgent work that is refused because of batch work.
#[tokio::test]
async fn a_batch_surge_is_refused_early_and_urgent_work_is_answered() {
    let fleet = ProcessFleet::start(FleetPlan::new("surge")).await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    learn(&fleet).await;
    let batch = (0..BATCH_REQUESTS).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            let adapter = format!("coop-{}@1", number % 4);
            // A run takes a second: 50 tokens at 20 ms each.
            let body = completion(&adapter, &format!("batch {number}"), 50, false);
            TypedAnswer::fetch(address, "batch", 4_000, &body).await
        }
    });
    let urgent = (0..40).map(|number| {
        let address = addresses[number % addresses.len()];
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(50 * number as u64)).await;
            let (adapter, prompt) = (format!("coop-{}@1", number % 4), format!("urgent {number}"));
            let body = completion(&adapter, &prompt, 5, false);
            let answer = TypedAnswer::fetch(address, "urgent", 50_000, &body).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            let text = expected_text(&adapter, &prompt, 5);
            assert_eq!(answer.body["choices"][0]["text"], text);
            check_memory(fleet);
        }
    });

    let (answers, _) = tokio::join!(
        futures_util::future::join_all(batch),
        futures_util::future::join_all(urgent)
    );

    let mut attempts = Vec::new();
    for engine in &fleet.engines.addresses {
        let journal = fleet.journal(*engine).await;
        let known = journal.iter().filter_map(|entry| entry["attempt"].as_str());
        attempts.extend(known.map(ToOwned::to_owned));
    }
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status != 200)
        .collect();
    println!("{} of {BATCH_REQUESTS} refused", refused.len());
    assert!(!refused.is_empty(), "the surge is above capacity");
    assert!(refused.len() < BATCH_REQUESTS, "some batch work is served");
    for answer in refused {
        assert_eq!(answer.error("code"), "overloaded", "{answer:?}");
        assert_eq!(answer.error("run_state"), "not_run", "{answer:?}");
        answer.check_refusal(&attempts);
    }
    check_memory(&fleet);
}
