//! Consumers send heads with many short header lines, far within the limit in bytes, and are denied.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Consumer, Outcome, RouteTimes, manifest, request, route};
use review_standins::edge::Edge;
use review_standins::store::Store;
use review_standins::worker::{Run, Script};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(20);

/// Time between two lookups of a consumer: 14.4 lookups a second from six consumers.
const PERIOD: Duration = Duration::from_millis(417);
const CONSUMERS: u32 = 6;

/// Header lines of their own that the consumers add, about 2.4 KB of the 16 KB that the manifest allows.
const EXTRA_LINES: usize = 120;

fn main() {
    let case = Case::prepare();
    let store = Store::start(&case.ip(100));
    let times = RouteTimes {
        timeout: 800,
        target: 300,
    };
    let routes = vec![route("/cufi504/", "idempotent", "workshop", times, 2)];
    store.put("config", "main", manifest(7, routes));
    let zones = ["leinster-a", "leinster-b", "leinster-c"];
    let script: Script = Arc::new(|_| Run::Plain {
        work: Duration::from_millis(60),
        body: "x".repeat(800),
        headers: String::new(),
    });
    let start_worker = |index: usize| {
        let (id, zone) = (format!("i-{index}"), zones[index]);
        case.worker(&store, &id, "workshop", zone, None, &script)
    };
    let _workers: Vec<_> = (0..3).map(start_worker).collect();
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
    let lines = if case.has_trouble { EXTRA_LINES } else { 0 };
    let extra: String = (0..lines)
        .map(|line| format!("X-Shop-Field-{line}: v\r\n"))
        .collect();
    let started = Instant::now();
    let start_consumer = |number: u32| {
        let machine = edges[number as usize % edges.len()].frontend;
        let (case, extra) = (case.clone(), extra.clone());
        thread::spawn(move || {
            let mut consumer = Consumer::new(machine);
            let mut due = started + PERIOD * number / CONSUMERS;
            let mut statuses = Vec::new();
            while due < started + LENGTH {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let attempt = case.attempt();
                let headers = format!("X-Comfreychute-Deadline-Ms: 1500\r\n{extra}");
                let bytes = request("GET", "/cufi504/fi50/2f", &attempt, &headers, "");
                let name = format!("lookup {attempt} with a head of {} bytes", bytes.len());
                let limit = Duration::from_millis(1500);
                let answer = consumer.call(&case.record, &name, &bytes, limit);
                statuses.push(answer.status);
                due += PERIOD;
            }
            statuses
        })
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(start_consumer).collect();
    let statuses: Vec<u16> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no consumer panics"))
        .collect();
    drop(edges);
    let is_denied =
        |status: &&u16| (300..500).contains(*status) && ![408, 421, 429].contains(*status);
    let denied = statuses.iter().filter(is_denied).count();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let allowed = 5 + statuses.len() / 500;
    let detail = format!(
        "of {} lookups, {served} were served and {denied} were denied, {allowed} may be",
        statuses.len()
    );
    let outcome = if denied > allowed {
        Outcome::Broken
    } else {
        Outcome::Held
    };
    case.finish(outcome, &detail);
}
