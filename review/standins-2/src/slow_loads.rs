//! The machine that gives the orders stands still for some seconds while adapters are being loaded.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::adapter_memory::{engine_spec, manifest};
use crate::clients::{Clients, find_starved};
use crate::edge::{Edge, Machine};
use crate::engine::{Engine, EngineLog};
use crate::store::Store;
use crate::{Setting, Verdict};

/// Length and number of the freezes, and the time between two of them.
const FREEZE_TIME: Duration = Duration::from_millis(4400);
const FREEZES: usize = 2;
const FREEZE_GAP: Duration = Duration::from_millis(1200);

/// Adapters that are asked for after the freezes, five times each.
const RARE: usize = 80;

const ZONE: &str = "leinster-a";

/// Returns the machine that gives the orders in the zone.
fn holder(store: &Store) -> Option<String> {
    let record = store.get("comfreychute-owners", ZONE)?;
    record["holder"].as_str().map(str::to_owned)
}

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let spec = engine_spec(40.0);
    let store = Store::start(record).await;
    store.put("config", "main", &manifest(&spec));
    let log: Arc<Mutex<EngineLog>> = Arc::default();
    let mut engines = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"] {
        engines.push(Engine::start(id, ZONE, &spec, &["m0"], &store, record, &log).await);
    }
    let mut edges = Vec::new();
    for name in [
        "edge-leinster-a-1",
        "edge-leinster-a-2",
        "edge-leinster-a-3",
    ] {
        edges.push(Edge::start(&setting.temp, &Machine::new(name, ZONE), store.address).await);
    }
    for edge in &edges {
        if !edge.await_ready().await {
            return Verdict::CannotRun(format!("{} isn't ready", edge.name));
        }
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10)).await;
    let clients = Clients::new(record);
    let frontends: Vec<_> = edges.iter().map(|edge| edge.frontend).collect();
    let (asking, targets) = (clients.clone(), frontends.clone());
    let load = tokio::spawn(async move {
        // Demand moves on to other adapters all the time.
        for number in 0_usize.. {
            let model = format!("m0/a{}", number + 1);
            asking.ask(&targets, number, "/check/", &model);
            sleep(Duration::from_millis(60)).await;
        }
    });
    sleep(Duration::from_secs(4)).await;
    if setting.has_trouble {
        let Some(name) = holder(&store) else {
            return Verdict::CannotRun("nobody holds the zone".to_owned());
        };
        let Some(frozen) = edges.iter().find(|edge| edge.name == name) else {
            return Verdict::CannotRun(format!("{name} is no machine"));
        };
        for _ in 0..FREEZES {
            record.say(&format!("{name}, which gives the orders, freezes"));
            frozen.signal(Signal::STOP);
            sleep(FREEZE_TIME).await;
            frozen.signal(Signal::CONT);
            record.say(&format!("{name} wakes up"));
            sleep(FREEZE_GAP).await;
        }
        if holder(&store).as_ref() != Some(&name) {
            return Verdict::CannotRun("another machine took over".to_owned());
        }
    }
    sleep(Duration::from_secs(2)).await;
    load.abort();
    sleep(Duration::from_secs(6)).await;
    record.say("all is calm; rare adapters are asked for");
    let mut sent: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for number in 0..5 * RARE {
        let model = format!("m0/a{}", 2001 + number % RARE);
        clients.ask(&frontends, number, "/check/", &model);
        sent.entry(model).or_default().push(record.now());
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(9)).await;
    let served = clients
        .served
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let counts = clients
        .counts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    record.say(&format!("clients: {counts:?}"));
    drop(edges);
    let (asked, starved, is_broken) = find_starved(&sent, &served, counts.lost_share());
    record.say(&format!(
        "{} of {asked} adapters never served: {starved:?}",
        starved.len()
    ));
    if counts.whole == 0 {
        return Verdict::CannotRun("no request was served".to_owned());
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
