//! One part of prompts crashes the workers that begin to write an answer on it, before a byte of it has
//! left them. Requests with that part are never refused and crash one worker after the other.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::deploy::{Case, Consumer, Outcome, RouteTimes, manifest, request, route};
use review_standins::edge::Edge;
use review_standins::http::HttpRequest;
use review_standins::store::Store;
use review_standins::worker::{Framing, Run, Script, Worker};

/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(36);

/// When requests with the deadly part begin to come, and for how long.
const DEADLY_AT: Duration = Duration::from_secs(10);
const DEADLY_FOR: Duration = Duration::from_secs(20);

/// Time after which a worker that has crashed is back.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// `stable_window_ms`, after the fifth crash.
const SETTLE: Duration = Duration::from_secs(3);

/// More requests than this that reach workers later break the rule.
const ALLOWED: usize = 3;

/// Consumers of sound requests of each machine, and the time between two requests of one: 51.2 a second.
const CONSUMERS: u32 = 8;
const PERIOD: Duration = Duration::from_micros(1_406_250);

/// Time between two requests with the deadly part, three in a hundred.
const DEADLY_PERIOD: Duration = Duration::from_millis(650);

/// The id of the deadly part.
const DEADLY_PART: &str = "dead0bad";

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
        if prompt.is_some_and(|prompt| prompt.contains(DEADLY_PART)) {
            return Run::Crash {
                first,
                down_for: DOWN_FOR,
                has_left: false,
            };
        }
        Run::Stream {
            first,
            events: 23,
            gap: Duration::from_millis(25),
            framing: Framing::Chunks,
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
    let ends_at = started + LENGTH;
    let count = CONSUMERS * 9;
    let start_consumer = |number: u32| {
        let (case, machine) = (case.clone(), machines[number as usize % machines.len()]);
        thread::spawn(move || {
            let mut consumer = Consumer::new(machine);
            let mut due = started + PERIOD * number / count;
            let mut serial = u64::from(number);
            let mut served = 0_u32;
            while due < ends_at {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let attempt = case.attempt();
                let part = format!("{:08x}", 0x91bd_0000 + serial % 126);
                let bytes = check_request(&attempt, &part, serial);
                let name = format!("check {attempt}");
                let answer = consumer.call(&case.record, &name, &bytes, Duration::from_secs(8));
                served += u32::from(answer.status == 200 && answer.is_whole);
                serial += u64::from(count);
                due += PERIOD;
            }
            served
        })
    };
    let consumers: Vec<_> = (0..count).map(start_consumer).collect();
    let deadly: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    if case.has_trouble {
        let (case, machines, deadly) = (case.clone(), machines.clone(), Arc::clone(&deadly));
        thread::spawn(move || {
            let mut due = started + DEADLY_AT;
            let mut serial = 1_000_000;
            while due < started + DEADLY_AT + DEADLY_FOR {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let machine = machines[usize::try_from(serial).unwrap_or(0) % machines.len()];
                let attempt = case.attempt();
                let mut known = deadly.lock().expect("no consumer panics");
                known.insert(attempt.clone());
                drop(known);
                let case = case.clone();
                thread::spawn(move || {
                    let bytes = check_request(&attempt, DEADLY_PART, serial);
                    let name = format!("deadly check {attempt}");
                    Consumer::new(machine).call(
                        &case.record,
                        &name,
                        &bytes,
                        Duration::from_secs(8),
                    );
                });
                serial += 1;
                due += DEADLY_PERIOD;
            }
        });
    }
    let served: u32 = consumers
        .into_iter()
        .map(|consumer| consumer.join().expect("no consumer panics"))
        .sum();
    drop(edges);
    let mut crashes: Vec<Duration> = engines.iter().flat_map(Worker::crash_times).collect();
    crashes.sort_unstable();
    let deadly = deadly.lock().expect("no consumer panics");
    let settled = crashes.get(4).map(|fifth| *fifth + SETTLE);
    let late = engines
        .iter()
        .flat_map(|engine| engine.runs().into_iter().zip(engine.run_times()))
        .filter(|(attempt, at)| {
            deadly.contains(attempt) && settled.is_some_and(|settled| *at > settled)
        })
        .count();
    let detail = format!(
        "of {} requests with the deadly part, {late} runs began later than 3 s after the fifth crash; \
         {} crashes in all; {served} sound requests were served",
        deadly.len(),
        crashes.len()
    );
    let outcome = if late > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    };
    case.finish(outcome, &detail);
}
