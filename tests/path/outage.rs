//! An outage of all engines does not multiply the calls to them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::process_fleet::{FleetPlan, ProcessFleet, complete, completion};
use crate::typed_answer::TypedAnswer;

/// Completions that are sent during the outage.
const REQUESTS: usize = 300;
/// Most calls of the engines for them: 1.1 times the requests.
const MOST_CALLS: usize = 330;

/// Warms one adapter for each engine, so that the requests of the outage need no load.
async fn warm(fleet: &ProcessFleet) {
    let address = fleet.nodes["node-1"].ports.caller;
    for number in 0..6 {
        let (status, body) = complete(address, &format!("coop-{number}@1"), "warm", 2).await;
        assert_eq!(status, 200, "{body}");
    }
}

/// Sends the completions of the outage, a few at a time.
async fn send_all(fleet: &ProcessFleet) -> Vec<TypedAnswer> {
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    let requests = (0..REQUESTS).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            tokio::time::sleep(Duration::from_millis(20 * number as u64)).await;
            let adapter = format!("coop-{}@1", number % 6);
            let body = completion(&adapter, &format!("label {number}"), 5, false);
            TypedAnswer::fetch(address, "standard", 8_000, &body).await
        }
    });
    futures_util::future::join_all(requests).await
}

/// Lists the attempts of the calls in the journals of all engines.
async fn journalled(fleet: &ProcessFleet, kinds: &[&str]) -> Vec<String> {
    let mut attempts = Vec::new();
    for engine in &fleet.engines.addresses {
        let journal = fleet.journal(*engine).await;
        let calls = journal
            .iter()
            .filter(|entry| kinds.iter().any(|kind| entry["kind"] == *kind));
        attempts
            .extend(calls.map(|entry| entry["attempt"].as_str().unwrap_or_default().to_owned()));
    }
    attempts
}

fn check_answers(answers: &[TypedAnswer], attempts: &[String]) {
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status != 200)
        .collect();
    println!(
        "{} requests, {} refused, {} calls",
        answers.len(),
        refused.len(),
        attempts.len()
    );
    assert!(!refused.is_empty(), "the outage reached no request");
    for answer in refused {
        answer.check_refusal(attempts);
    }
    assert!(attempts.len() <= MOST_CALLS, "{} calls", attempts.len());
}

/// Guards against retries that multiply the calls to engines that hang, and against refusals that
/// claim "not run" for a call that an engine got.
#[tokio::test]
async fn hanging_engines_get_few_calls_beyond_the_requests() {
    let fleet = ProcessFleet::start(FleetPlan::new("outage-silent")).await;
    warm(&fleet).await;
    let before = journalled(&fleet, &["complete", "resume"]).await;
    fleet.engines.signal("STOP");
    let resume = async {
        tokio::time::sleep(Duration::from_secs(12)).await;
        fleet.engines.signal("CONT");
    };

    let (answers, ()) = tokio::join!(send_all(&fleet), resume);

    // The engines read what waited in their sockets while they were stopped.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let attempts = journalled(&fleet, &["complete", "resume"]).await;
    let during: Vec<_> = attempts
        .into_iter()
        .filter(|attempt| !before.contains(attempt))
        .collect();
    check_answers(&answers, &during);
}

/// Accepts connections at the address of an engine, notes the attempt of each call and hangs up.
fn spawn_failing_engine(address: SocketAddr, attempts: &Arc<Mutex<Vec<String>>>) {
    let attempts = Arc::clone(attempts);
    tokio::spawn(async move {
        let listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
        loop {
            let Ok((connection, _)) = listener.accept().await else {
                return;
            };
            let attempts = Arc::clone(&attempts);
            tokio::spawn(async move {
                if let Some(attempt) = read_attempt(connection).await {
                    attempts
                        .lock()
                        .expect("no panic holds the lock")
                        .push(attempt);
                }
            });
        }
    });
}

/// Reads one request; returns its attempt if it is a completion or a resume.
async fn read_attempt(mut connection: TcpStream) -> Option<String> {
    let mut buffer = vec![0; 16_384];
    let length = connection.read(&mut buffer).await.ok()?;
    drop(connection.shutdown().await);
    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let line = text.lines().next()?;
    if line.contains("/resume") {
        return Some(line.to_owned());
    }
    if !line.contains("/v1/completions") {
        return None;
    }
    let header = text
        .lines()
        .find_map(|line| line.strip_prefix("x-attempt: "));
    Some(header.unwrap_or_default().to_owned())
}

/// Guards against retries that multiply the calls to engines whose connections fail at once.
#[tokio::test]
async fn failing_engines_get_few_calls_beyond_the_requests() {
    let mut fleet = ProcessFleet::start(FleetPlan::new("outage-failing")).await;
    warm(&fleet).await;
    let attempts = Arc::default();
    let addresses = fleet.engines.addresses.clone();
    fleet.engines.signal("KILL");
    fleet.engines.wait();
    for address in addresses {
        spawn_failing_engine(address, &attempts);
    }

    let answers = send_all(&fleet).await;

    let attempts = attempts.lock().expect("no panic holds the lock").clone();
    check_answers(&answers, &attempts);
    let answered = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(answered, 0, "no engine answers");
    let codes: std::collections::BTreeSet<&str> =
        answers.iter().map(|answer| answer.error("code")).collect();
    println!("codes {codes:?}");
    assert!(
        answers
            .iter()
            .all(|answer| answer.body["error"]["message"] != Value::Null)
    );
}
