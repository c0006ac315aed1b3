//! A worker that alone holds some models crashes, and these are asked for afterwards.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::adapter_memory::{engine_spec, manifest};
use crate::clients::{Clients, find_starved};
use crate::edge::{Edge, Machine};
use crate::engine::{Engine, EngineLog, EngineSpec, ModelSpec};
use crate::store::Store;
use crate::{Setting, Verdict};

const MODELS: usize = 14;

/// The models of each worker at the start: two busy ones on all, the others on one worker each. Each
/// worker has room for five.
const PLACES: [[usize; 5]; 4] = [
    [0, 1, 2, 3, 4],
    [0, 1, 5, 6, 7],
    [0, 1, 8, 9, 10],
    [0, 1, 11, 12, 13],
];

fn spec() -> EngineSpec {
    let to_model = |index: usize| ModelSpec {
        name: format!("m{index}"),
        weights_mb: 7000.0,
        load_time: Duration::from_millis(500),
    };
    EngineSpec {
        models: (0..MODELS).map(to_model).collect(),
        ..engine_spec(40.0)
    }
}

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let spec = spec();
    let store = Store::start(record).await;
    store.put("config", "main", &manifest(&spec));
    let log: Arc<Mutex<EngineLog>> = Arc::default();
    let mut engines = Vec::new();
    let zones = ["leinster-a", "leinster-b", "leinster-c", "leinster-a"];
    for ((number, models), zone) in PLACES.iter().enumerate().zip(zones) {
        let names: Vec<String> = models.iter().map(|index| format!("m{index}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let id = format!("i-{}", number + 1);
        engines.push(Engine::start(&id, zone, &spec, &names, &store, record, &log).await);
    }
    let mut edges = Vec::new();
    for (name, zone) in [
        ("edge-leinster-a-1", "leinster-a"),
        ("edge-leinster-b-1", "leinster-b"),
        ("edge-leinster-c-1", "leinster-c"),
    ] {
        edges.push(Edge::start(&setting.temp, &Machine::new(name, zone), store.address).await);
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
    let mut sent: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for tick in 0..700_usize {
        if tick == 20 && setting.has_trouble {
            engines[3].crash(Duration::from_secs(2));
        }
        // The busy models and the first others get all requests at first. From 15 s on, demand has moved on
        // to all models.
        let model = if tick < 150 || tick % 2 == 0 {
            tick % 11
        } else {
            tick / 2 % MODELS
        };
        let model = format!("m{model}");
        clients.ask(&frontends, tick, "/check/", &model);
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
    for (model, times) in &sent {
        let count = served.get(model).copied().unwrap_or(0);
        record.say(&format!(
            "{model}: {} requests, {count} served",
            times.len()
        ));
    }
    let (asked, starved, is_broken) = find_starved(&sent, &served, counts.lost_share());
    record.say(&format!(
        "{} of {asked} models never served: {starved:?}",
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
