//! A quarter of the workers crashes for two seconds, twice. Afterwards, all requests whose prompts share a part
//! are refused, since answers that end with their channel never count as sound.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Outcome, RouteTimes, manifest, request, route};
use review_standins::edge::Edge;
use review_standins::store::Store;
use review_standins::traffic::{self, Kind};
use review_standins::worker::{Framing, Run, Script};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(86);

/// When workers crash, and for how long they are down.
const CRASHES_AT: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(5)];
const DOWN_FOR: Duration = Duration::from_secs(2);

/// When the last workers are back.
const BACK_AT: Duration = Duration::from_secs(7);

fn main() {
    let case = Case::prepare();
    let store = Store::start(&case.ip(100));
    let order_times = RouteTimes {
        timeout: 800,
        target: 300,
    };
    let check_times = RouteTimes {
        timeout: 8000,
        target: 500,
    };
    let routes = vec![
        route("/lohu930/", "streaming", "scribe", check_times, 2),
        route("/puxa403/", "non_idempotent", "workshop", order_times, 1),
    ];
    store.put("config", "main", manifest(7, routes));
    let zones = ["leinster-a", "leinster-b", "leinster-c"];
    let check: Script = Arc::new(|_| Run::Stream {
        first: Duration::from_millis(60),
        events: 23,
        gap: Duration::from_millis(25),
        framing: Framing::Channel,
    });
    let order: Script = Arc::new(|_| Run::Plain {
        work: Duration::from_millis(60),
        body: "x".repeat(800),
        headers: String::new(),
    });
    let start_engine = |index: usize| {
        let (id, zone) = (format!("s-{index}"), zones[index % zones.len()]);
        case.worker(&store, &id, "scribe", zone, Some("m0"), &check)
    };
    let engines: Vec<_> = (0..20).map(start_engine).collect();
    let start_desk = |index: usize| {
        let (id, zone) = (format!("w-{index}"), zones[index % zones.len()]);
        case.worker(&store, &id, "workshop", zone, None, &order)
    };
    let _desks: Vec<_> = (0..4).map(start_desk).collect();
    let start_edge = |index: u8| {
        let zone = zones[usize::from(index % 3)];
        let name = format!("edge-{zone}-{}", index / 3 + 1);
        case.edge(&store, index + 1, &name, zone)
    };
    let edges: Vec<_> = (0..9).map(start_edge).collect();
    let is_ready = |edge: &Edge| edge.await_ready(Duration::from_secs(15));
    if !edges.iter().all(is_ready) {
        drop(edges);
        case.finish(Outcome::NotRun, "a machine did not become ready");
    }
    thread::sleep(Duration::from_secs(3));
    let machines: Vec<_> = edges.iter().map(|edge| edge.frontend).collect();
    let check = Kind {
        name: "check",
        rate: 51.2,
        budget: Duration::from_secs(8),
        is_idempotent: false,
        consumers: 16,
        format: Arc::new(|attempt, serial| {
            // One part for all, one of 126 subjects, and the request's own.
            let headers = format!(
                "X-Comfreychute-Deadline-Ms: 8000\r\nX-Comfreychute-Model: m0\r\n\
                 X-Comfreychute-Token-Count: 646,69\r\n\
                 X-Comfreychute-Prompt-Prefix: 5c1e07a2:93,{:08x}:62,{:08x}:491\r\n",
                0x91bd_0000 + serial % 126,
                0xe440_0000 + serial
            );
            let body = format!("check {serial} {}", "z".repeat(1280));
            request("POST", "/lohu930/2f", attempt, &headers, &body)
        }),
    };
    let order = Kind {
        name: "order",
        rate: 36.0,
        budget: Duration::from_millis(1500),
        is_idempotent: false,
        consumers: 4,
        format: Arc::new(|attempt, serial| {
            let body = format!("order {serial} {}", "y".repeat(580));
            let headers = "X-Comfreychute-Deadline-Ms: 1500\r\n";
            request("POST", "/puxa403/2f", attempt, headers, &body)
        }),
    };
    let started = Instant::now();
    let (ends_at, split_at) = (started + LENGTH, started + BACK_AT);
    let (mut consumers, checks) = traffic::start(&case, &check, &machines, ends_at, split_at);
    let (more, orders) = traffic::start(&case, &order, &machines, ends_at, split_at);
    consumers.extend(more);
    if case.has_trouble {
        for (index, crashes_at) in CRASHES_AT.iter().enumerate() {
            let crashing = &engines[index * 5..][..5];
            thread::sleep((started + *crashes_at).saturating_duration_since(Instant::now()));
            for engine in crashing {
                engine.crash();
            }
            thread::sleep(DOWN_FOR);
            for engine in crashing {
                engine.restart();
            }
        }
    }
    for consumer in consumers {
        let _result = consumer.join();
    }
    drop(edges);
    let checks = *checks.lock().expect("no consumer panics");
    let orders = *orders.lock().expect("no consumer panics");
    let share = |tallies: &[traffic::Tally]| {
        let asked: u32 = tallies.iter().map(|it| it.asked).sum();
        let served: u32 = tallies.iter().map(|it| it.served).sum();
        f64::from(served) / f64::from(asked.max(1))
    };
    let all: Vec<_> = checks.iter().chain(&orders).copied().collect();
    let detail = format!(
        "checks served {:.3} (until the workers are back {:?}, after it {:?}), all requests {:.3}, \
         orders {orders:?}",
        share(&checks),
        checks[0],
        checks[1],
        share(&all)
    );
    let is_broken = share(&checks) < share(&all) / 4.0;
    case.finish(
        if is_broken {
            Outcome::Broken
        } else {
            Outcome::Held
        },
        &detail,
    );
}
