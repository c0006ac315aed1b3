//! Workers lose some answers for four seconds. Afterwards, all lookups of one path are refused, although
//! their queries differ and the workers are sound.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Outcome, RouteTimes, manifest, request, route};
use review_standins::store::Store;
use review_standins::traffic::{self, Kind};
use review_standins::worker::{Run, Script};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(75);

/// When the answers begin to be lost, and for how long.
const TROUBLE_AT: Duration = Duration::from_secs(6);
const TROUBLE_FOR: Duration = Duration::from_secs(4);

fn main() {
    let case = Case::prepare();
    let store = Store::start(&case.ip(100));
    let times = RouteTimes {
        timeout: 800,
        target: 300,
    };
    let routes = vec![
        route("/cufi504/", "idempotent", "workshop", times, 2),
        route("/puxa403/", "non_idempotent", "workshop", times, 1),
    ];
    store.put("config", "main", manifest(7, routes));
    let is_losing = Arc::new(AtomicBool::new(false));
    let zones = ["leinster-a", "leinster-b", "leinster-c"];
    let start_worker = |index: usize| {
        let (draws, losing) = (AtomicU64::new(0), Arc::clone(&is_losing));
        // Three of the five workers lose two of five answers.
        let can_lose = index < 3;
        let script: Script = Arc::new(move |_| {
            let work = Duration::from_millis(60);
            let is_drawn = can_lose && losing.load(Ordering::Acquire);
            if is_drawn && draws.fetch_add(1, Ordering::Relaxed) % 5 < 2 {
                return Run::Lost { work };
            }
            Run::Plain {
                work,
                body: "x".repeat(800),
                headers: String::new(),
            }
        });
        let (id, zone) = (format!("i-{index}"), zones[index % zones.len()]);
        case.worker(&store, &id, "workshop", zone, None, &script)
    };
    let _workers: Vec<_> = (0..5).map(start_worker).collect();
    let start_edge = |index: u8| {
        let zone = zones[usize::from(index % 3)];
        let name = format!("edge-{zone}-{}", index / 3 + 1);
        case.edge(&store, index + 1, &name, zone)
    };
    let edges: Vec<_> = (0..9).map(start_edge).collect();
    let is_ready = |edge: &review_standins::edge::Edge| edge.await_ready(Duration::from_secs(15));
    if !edges.iter().all(is_ready) {
        drop(edges);
        case.finish(Outcome::NotRun, "a machine did not become ready");
    }
    thread::sleep(Duration::from_secs(2));
    let machines: Vec<_> = edges.iter().map(|edge| edge.frontend).collect();
    let deadline = "X-Comfreychute-Deadline-Ms: 1500\r\n";
    let lookup = Kind {
        name: "lookup",
        rate: 14.4,
        budget: Duration::from_millis(1500),
        is_idempotent: true,
        consumers: 4,
        format: Arc::new(move |attempt, serial| {
            let path = format!("/cufi504/fi50/2f?proof={serial}");
            request("GET", &path, attempt, deadline, "")
        }),
    };
    let order = Kind {
        name: "order",
        rate: 36.0,
        budget: Duration::from_millis(1500),
        is_idempotent: false,
        consumers: 4,
        format: Arc::new(move |attempt, serial| {
            let body = format!("order {serial} {}", "y".repeat(580));
            request("POST", "/puxa403/2f", attempt, deadline, &body)
        }),
    };
    let started = Instant::now();
    let (ends_at, split_at) = (started + LENGTH, started + TROUBLE_AT + TROUBLE_FOR);
    let (mut consumers, lookups) = traffic::start(&case, &lookup, &machines, ends_at, split_at);
    let (more, orders) = traffic::start(&case, &order, &machines, ends_at, split_at);
    consumers.extend(more);
    if case.has_trouble {
        thread::sleep(TROUBLE_AT);
        case.record.line("three workers lose two of five answers");
        is_losing.store(true, Ordering::Release);
        thread::sleep(TROUBLE_FOR);
        is_losing.store(false, Ordering::Release);
        case.record.line("no more answers are lost");
    }
    for consumer in consumers {
        let _result = consumer.join();
    }
    drop(edges);
    let lookups = *lookups.lock().expect("no consumer panics");
    let orders = *orders.lock().expect("no consumer panics");
    let asked: u32 = lookups.iter().chain(&orders).map(|it| it.asked).sum();
    let served: u32 = lookups.iter().chain(&orders).map(|it| it.served).sum();
    let all = f64::from(served) / f64::from(asked.max(1));
    let lookups_served: u32 = lookups.iter().map(|it| it.served).sum();
    let lookups_asked: u32 = lookups.iter().map(|it| it.asked).sum();
    let share = f64::from(lookups_served) / f64::from(lookups_asked.max(1));
    let detail = format!(
        "lookups served {share:.3} (until the end of the disruption {:?}, after it {:?}), all \
         requests {all:.3}, orders {:?}",
        lookups[0], lookups[1], orders
    );
    let is_broken = share < all / 4.0;
    case.finish(
        if is_broken {
            Outcome::Broken
        } else {
            Outcome::Held
        },
        &detail,
    );
}
