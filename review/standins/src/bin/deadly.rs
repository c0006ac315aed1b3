//! A part of prompts crashes the workers that begin an answer on it, and later another one. Sound requests
//! that share the first part with them are refused as well, since answers that end with their channel never
//! count as sound.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Consumer, Outcome, RouteTimes, manifest, request, route};
use review_standins::edge::Edge;
use review_standins::http::HttpRequest;
use review_standins::store::Store;
use review_standins::worker::{Framing, Run, Script, Worker};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(54);

/// The deadly parts, and when requests with each of them begin to come.
const DEADLY_PARTS: [(&str, Duration); 2] = [
    ("dead0bad", Duration::from_secs(10)),
    ("dead0bae", Duration::from_secs(32)),
];

/// For how long requests with a deadly part come.
const DEADLY_FOR: Duration = Duration::from_secs(20);

/// Time after which a worker that has crashed is back.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// Twice `stable_window_ms`, after the fifth crash or the last one.
const SETTLE: Duration = Duration::from_secs(6);

/// Consumers of sound requests of each machine, and the time between two requests of one: 51.2 a second.
const CONSUMERS: u32 = 8;
const PERIOD: Duration = Duration::from_micros(1_406_250);

/// Time between two requests with a deadly part, three in a hundred.
const DEADLY_PERIOD: Duration = Duration::from_millis(650);

/// A sound request: when it was sent, and the id of its first attempt.
type Sent = (Duration, String);

fn check_request(attempt: &str, part: &str, serial: u64) -> Vec<u8> {
    // One part for all, the subject's part, and the request's own.
    let headers = format!(
        "X-Comfreychute-Deadline-Ms: 8000\r\nX-Comfreychute-Model: m0\r\n\
         X-Comfreychute-Token-Count: 646,69\r\n\
         X-Comfreychute-Prompt-Prefix: 5c1e07a2:93,{part}:62,{:08x}:491\r\n",
        0xe440_0000 + serial
    );
    let body = format!("check {serial} {}", "z".repeat(1280));
    request("POST", "/lohu930/2f", attempt, &headers, &body)
}

fn main() {
    let case = Case::prepare();
    let store = Store::start(&case.ip(100));
    let times = RouteTimes {
        timeout: 8000,
        target: 500,
    };
    let routes = vec![route("/lohu930/", "streaming", "scribe", times, 2)];
    store.put("config", "main", manifest(7, routes));
    let zones = ["leinster-a", "leinster-b", "leinster-c"];
    let script: Script = Arc::new(|request: &HttpRequest| {
        let first = Duration::from_millis(60);
        let prompt = request.header("x-comfreychute-prompt-prefix");
        let is_deadly = |prompt: &str| DEADLY_PARTS.iter().any(|(part, _)| prompt.contains(part));
        if prompt.is_some_and(is_deadly) {
            return Run::Crash {
                first,
                down_for: DOWN_FOR,
                has_left: true,
            };
        }
        Run::Stream {
            first,
            events: 23,
            gap: Duration::from_millis(25),
            framing: Framing::Channel,
        }
    });
    let start_engine = |index: usize| {
        let (id, zone) = (format!("s-{index}"), zones[index % zones.len()]);
        case.worker(&store, &id, "scribe", zone, Some("m0"), &script)
    };
    let engines: Vec<Worker> = (0..18).map(start_engine).collect();
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
    let started = Instant::now();
    let start_at = case.record.now();
    let ends_at = started + LENGTH;
    let count = CONSUMERS * 9;
    let start_consumer = |number: u32| {
        let (case, machine) = (case.clone(), machines[number as usize % machines.len()]);
        thread::spawn(move || {
            let mut consumer = Consumer::new(machine);
            let mut due = started + PERIOD * number / count;
            let mut serial = u64::from(number);
            let mut sent: Vec<Sent> = Vec::new();
            while due < ends_at {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let attempt = case.attempt();
                let part = format!("{:08x}", 0x91bd_0000 + serial % 126);
                let bytes = check_request(&attempt, &part, serial);
                sent.push((case.record.now(), attempt.clone()));
                let name = format!("check {attempt}");
                consumer.call(&case.record, &name, &bytes, Duration::from_secs(8));
                serial += u64::from(count);
                due += PERIOD;
            }
            sent
        })
    };
    let consumers: Vec<_> = (0..count).map(start_consumer).collect();
    if case.has_trouble {
        let (case, machines) = (case.clone(), machines.clone());
        thread::spawn(move || {
            let mut serial = 1_000_000;
            for (part, deadly_at) in DEADLY_PARTS {
                let mut due = started + deadly_at;
                while due < started + deadly_at + DEADLY_FOR {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let machine = machines[usize::try_from(serial).unwrap_or(0) % machines.len()];
                    let case = case.clone();
                    thread::spawn(move || {
                        let attempt = case.attempt();
                        let bytes = check_request(&attempt, part, serial);
                        let name = format!("deadly check {attempt}");
                        let limit = Duration::from_secs(8);
                        Consumer::new(machine).call(&case.record, &name, &bytes, limit);
                    });
                    serial += 1;
                    due += DEADLY_PERIOD;
                }
            }
        });
    }
    let sent: Vec<Sent> = consumers
        .into_iter()
        .flat_map(|consumer| consumer.join().expect("no consumer panics"))
        .collect();
    drop(edges);
    let begun: BTreeSet<String> = engines.iter().flat_map(Worker::runs).collect();
    let mut crashes: Vec<Duration> = engines.iter().flat_map(Worker::crash_times).collect();
    crashes.sort_unstable();
    let share = |from: Duration, until: Duration| {
        let of_time = sent.iter().filter(|(at, _)| *at >= from && *at < until);
        let (mut all, mut count) = (0_u32, 0_u32);
        for (_, attempt) in of_time {
            all += 1;
            count += u32::from(begun.contains(attempt));
        }
        (all, f64::from(count) / f64::from(all.max(1)))
    };
    let (calm, calm_share) = share(start_at, start_at + DEADLY_PARTS[0].1);
    let mut detail =
        format!("sound requests that began at the first attempt: {calm_share:.3} of {calm} before");
    let mut outcome = Outcome::Held;
    for (part, deadly_at) in DEADLY_PARTS {
        let (from, until) = (start_at + deadly_at, start_at + deadly_at + DEADLY_FOR);
        let of_part: Vec<Duration> = crashes
            .iter()
            .filter(|crash| **crash >= from && **crash < until)
            .copied()
            .collect();
        let last = of_part.get(4).or(of_part.last()).copied();
        let settled = last.map_or(from, |last| last + SETTLE);
        let (later, later_share) = share(settled, until);
        detail += &format!(
            ", {later_share:.3} of {later} from 6 s after the fifth or last of {} crashes on, while requests \
             with {part} still came",
            of_part.len()
        );
        if calm < 20 || later < 20 {
            continue;
        }
        if later_share < calm_share / 2.0 {
            outcome = Outcome::Broken;
        }
    }
    case.finish(outcome, &detail);
}
