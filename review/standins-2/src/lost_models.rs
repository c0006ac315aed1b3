//! A worker that alone holds some models crashes, and these are asked for afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::adapter_memory::{engine_spec, manifest};
use crate::clients::Clients;
use crate::edge::{Edge, Machine};
use crate::engine::{Engine, EngineLog, EngineSpec, ModelSpec};
use crate::store::Store;
use crate::{Setting, Verdict};

const MODELS: usize = 14;

/// The models of each worker at the start: two busy ones on all, the others on one worker each. Each
/// worker has room for five.
const PLACES: [[usize; 5]; 4] =
    [[0, 1, 2, 3, 4], [0, 1, 5, 6, 7], [0, 1, 8, 9, 10], [0, 1, 11, 12, 13]];

/// Number of requests from which on a model counts as asked for, and the time that they span.
const MIN_ASKED: usize = 4;
const MIN_SPAN_S: f64 = 8.0;

fn spec() -> EngineSpec {
    let to_model = |index: usize| ModelSpec {
        name: format!("m{index}"),
        weights_mb: 7000.0,
        load_time: Duration::from_millis(500),
    };
    EngineSpec { models: (0..MODELS).map(to_model).collect(), ..engine_spec(40.0) }
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
    let mut sent: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for tick in 0..700_usize {
        if tick == 20 && setting.has_trouble {
            engines[3].crash(Duration::from_secs(2));
        }
        // The busy models and the first others get all requests at first. From 15 s on, demand has moved on
        // to all models.
        let model = if tick < 150 || tick % 2 == 0 { tick % 11 } else { tick / 2 % MODELS };
        sent.entry(model).or_default().push(record.now());
        clients.ask(edges[tick % edges.len()].frontend, "/check/", &format!("m{model}"));
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(9)).await;
    let served = clients.served.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let counts = clients.counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    record.say(&format!("clients: {counts:?}"));
    drop(edges);
    let is_asked = |times: &Vec<f64>| {
        let span = times.last().copied().unwrap_or(0.0) - times.first().copied().unwrap_or(0.0);
        times.len() >= MIN_ASKED && span >= MIN_SPAN_S
    };
    let asked: BTreeSet<usize> =
        sent.iter().filter(|(_, times)| is_asked(times)).map(|(model, _)| *model).collect();
    for (model, times) in &sent {
        let count = served.get(&format!("m{model}")).copied().unwrap_or(0);
        record.say(&format!("m{model}: {} requests, {count} served", times.len()));
    }
    let is_starved = |model: &&usize| !served.contains_key(&format!("m{model}"));
    let starved: Vec<&usize> = asked.iter().filter(is_starved).collect();
    let allowed = 1 + asked.len() / 10;
    record.say(&format!("{} of {} models never served: {starved:?}", starved.len(), asked.len()));
    if counts.whole == 0 {
        return Verdict::CannotRun("no request was served".to_owned());
    }
    // Beyond 1 + 10 in 100.
    if starved.len() > allowed { Verdict::Broken } else { Verdict::Held }
}
