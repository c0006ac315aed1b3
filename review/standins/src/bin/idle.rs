//! A worker that never closes idle channels states the greatest idle timeout. Its answers are lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Consumer, Outcome, RouteTimes, manifest, request, route};
use review_standins::edge::Edge;
use review_standins::store::Store;
use review_standins::worker::{Run, Script};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(20);

/// When the worker begins to state its timeout.
const TROUBLE_AT: Duration = Duration::from_secs(8);

/// Consumers of each machine, each with a channel that it keeps.
const CONSUMERS: u32 = 4;

/// Time between two orders of a consumer: 36 orders a second over three machines.
const PERIOD: Duration = Duration::from_millis(333);

/// More requests than this break the rule.
const ALLOWED: usize = 3;

fn main() {
    let case = Case::prepare();
    let store = Store::start(&case.ip(100));
    let times = RouteTimes {
        timeout: 800,
        target: 300,
    };
    let routes = vec![route("/puxa403/", "non_idempotent", "workshop", times, 1)];
    store.put("config", "main", manifest(7, routes));
    let is_unlimited = Arc::new(AtomicBool::new(false));
    let zones = ["leinster-a", "leinster-b", "leinster-c"];
    let start_worker = |index: usize| {
        let unlimited = Arc::clone(&is_unlimited);
        let script: Script = Arc::new(move |_| {
            let seconds = if index == 0 && unlimited.load(Ordering::Acquire) {
                u64::MAX
            } else {
                5
            };
            Run::Plain {
                work: Duration::from_millis(60),
                body: "x".repeat(800),
                headers: format!("Keep-Alive: timeout={seconds}\r\n"),
            }
        });
        let (id, zone) = (format!("i-{index}"), zones[index]);
        case.worker(&store, &id, "workshop", zone, None, &script)
    };
    let workers: Vec<_> = (0..3).map(start_worker).collect();
    let start_edge = |index: u8| {
        let zone = zones[usize::from(index)];
        case.edge(&store, index + 1, &format!("edge-{zone}-1"), zone)
    };
    let edges: Vec<_> = (0..3).map(start_edge).collect();
    let is_ready = |edge: &Edge| edge.await_ready(Duration::from_secs(15));
    if !edges.iter().all(is_ready) {
        drop(edges);
        case.finish(Outcome::NotRun, "a machine did not become ready");
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let ends_at = started + LENGTH;
    let start_consumer = |number: u32| {
        let machine = edges[number as usize % edges.len()].frontend;
        let case = case.clone();
        thread::spawn(move || {
            let mut consumer = Consumer::new(machine);
            let mut due = started + PERIOD * number / (CONSUMERS * 3);
            let mut answers = Vec::new();
            let mut is_kept = false;
            while due < ends_at {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let attempt = case.attempt();
                let deadline = "X-Comfreychute-Deadline-Ms: 1500\r\n";
                let body = format!("order {attempt} {}", "y".repeat(580));
                let bytes = request("POST", "/puxa403/2f", &attempt, deadline, &body);
                let name = format!("order {attempt}");
                let limit = Duration::from_millis(1500);
                let answer = consumer.call(&case.record, &name, &bytes, limit);
                let was_kept = is_kept;
                is_kept = answer.keeps_connection();
                answers.push((attempt, answer, was_kept));
                due += PERIOD;
            }
            answers
        })
    };
    let consumers: Vec<_> = (0..CONSUMERS * 3).map(start_consumer).collect();
    if case.has_trouble {
        thread::sleep(TROUBLE_AT);
        case.record
            .line("worker i-0 states the greatest idle timeout");
        is_unlimited.store(true, Ordering::Release);
    }
    let answers: Vec<_> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no consumer panics"))
        .collect();
    let output: String = edges.iter().map(Edge::output).collect();
    drop(edges);
    let runs: Vec<String> = workers.iter().flat_map(|worker| worker.runs()).collect();
    let is_lost = |status: u16, fault: &str| {
        status == 0 && matches!(fault, "UnexpectedEof" | "ConnectionReset" | "BrokenPipe")
    };
    // Only those count that came on a channel which had been kept after an earlier answer.
    let lost: Vec<bool> = answers
        .iter()
        .filter(|(attempt, answer, _)| {
            is_lost(answer.status, &answer.fault) && runs.contains(attempt)
        })
        .map(|(_, _, was_kept)| *was_kept)
        .collect();
    let lost_on_kept = lost.iter().filter(|was_kept| **was_kept).count();
    let served = answers
        .iter()
        .filter(|(_, answer, _)| answer.status == 200)
        .count();
    let panics = output
        .lines()
        .filter(|line| line.contains("panicked"))
        .count();
    let detail = format!(
        "of {} orders, {served} were served, and {} ran to their end and got no answer before their \
         channel was closed, {lost_on_kept} of them on kept channels; the machines logged {panics} \
         lines about panics",
        answers.len(),
        lost.len()
    );
    let outcome = if lost_on_kept > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    };
    case.finish(outcome, &detail);
}
