//! Rare adapters are asked for at once, at workers whose memory holds fewer of them than they have places.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::clients::Clients;
use crate::edge::{Edge, Machine};
use crate::engine::{Engine, EngineLog, EngineSpec, ModelSpec};
use crate::store::Store;
use crate::{Setting, Verdict};

/// Megabytes of an adapter. The memory that the model leaves holds twelve of them; a worker has 20 places.
const ADAPTER_MB: f64 = 120.0;

pub fn engine_spec(adapter_mb: f64) -> EngineSpec {
    EngineSpec {
        service: "scribe".to_owned(),
        models: vec![ModelSpec {
            name: "m0".to_owned(),
            weights_mb: 34_300.0,
            load_time: Duration::from_millis(1500),
        }],
        adapter_mb,
        adapter_load: Duration::from_millis(250),
        weights_mb: 35_800.0,
        adapter_slots: 20,
        slots: 64,
        pieces: 23,
        piece_time: Duration::from_millis(25),
    }
}

/// A manifest with one service of model workers, with the figures of a small installation.
pub fn manifest(spec: &EngineSpec) -> Value {
    let to_wire = |model: &ModelSpec| {
        json!({
            "name": model.name, "weights_mb": model.weights_mb,
            "load_s": model.load_time.as_secs_f64(), "adapters": 3000,
            "adapter_mb": spec.adapter_mb, "warm_s": 0.42, "disk_load_s": 0.6,
        })
    };
    let models: Vec<Value> = spec.models.iter().map(to_wire).collect();
    json!({
        "version": 7,
        "routes": [{
            "name": "r-check", "hostname": "shop.example", "path_prefix": "/check/",
            "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 500, "priority": 0,
            "service": spec.service, "max_attempts": 2, "session_affinity": true, "resumable": false,
            "gap_target_ms": 250,
        }],
        "services": [{
            "name": spec.service, "health_path": "/healthz", "max_conns": 370, "protocol": "h1",
            "tls": false,
            "engine": {
                "slots": spec.slots, "kv_capacity_tokens": 140_419, "kv_token_bytes": 327_680,
                "link_mbps": 740_000.0, "moves": true, "backups": true, "stride": 3, "cap": 12,
                "host_mb": 130_000.0, "disk_mb": 380_000.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
                "handle_s": 5.0,
                "models": models,
                "weights_mb": spec.weights_mb, "adapter_slots": spec.adapter_slots, "loads_per_s": 4.5,
            },
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

pub async fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let spec = engine_spec(ADAPTER_MB);
    let store = Store::start(record).await;
    store.put("config", "main", &manifest(&spec));
    let log: Arc<Mutex<EngineLog>> = Arc::default();
    let mut engines = Vec::new();
    for (id, zone) in [
        ("i-1", "leinster-a"),
        ("i-2", "leinster-b"),
        ("i-3", "leinster-c"),
    ] {
        engines.push(Engine::start(id, zone, &spec, &["m0"], &store, record, &log).await);
    }
    let mut edges = Vec::new();
    for (name, zone) in [
        ("edge-a-1", "leinster-a"),
        ("edge-b-1", "leinster-b"),
        ("edge-c-1", "leinster-c"),
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
    for tick in 0..400_usize {
        // The usual demand: six busy adapters, 20 requests a second.
        let usual = format!("m0/a{}", 1 + tick % 6);
        clients.ask(&frontends, tick, "/check/", &usual);
        // From 5 s on, for 4 s, rare adapters are asked for at once: 1.7 times the usual requests.
        if setting.has_trouble && (100..180).contains(&tick) && tick % 10 < 7 {
            let rare = format!("m0/a{}", 1000 + tick);
            clients.ask(&frontends, tick + 1, "/check/", &rare);
        }
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(9)).await;
    let counts = clients
        .counts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    record.say(&format!("clients: {counts:?}"));
    record.say(&format!(
        "workers: {} runs, {} orders, {} orders to load more than is held, {} streams cut",
        log.runs,
        log.orders,
        log.overloads.len(),
        log.cut_streams
    ));
    drop(edges);
    if counts.whole == 0 {
        return Verdict::CannotRun("no request was served".to_owned());
    }
    if log.overloads.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
