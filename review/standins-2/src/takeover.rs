//! The machine that gives the orders is lost, and another one goes on.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::adapter_memory::{engine_spec, manifest};
use crate::clients::Clients;
use crate::edge::{Edge, Machine};
use crate::engine::{Engine, EngineLog, SeenOrder};
use crate::orders::broken_turns;
use crate::store::Store;
use crate::{Setting, Verdict};

pub const ZONE: &str = "leinster-a";

/// What follows the loss of the machine.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The bound `lease_ms` of the settings.
    pub lease_ms: u64,
    /// The time after which a machine with the same name comes at another address, if one does.
    pub replaced_after: Option<Duration>,
}

pub fn holder(store: &Store) -> Option<String> {
    let record = store.get("comfreychute-owners", ZONE)?;
    record["holder"].as_str().map(str::to_owned)
}

pub async fn play(setting: &Setting, plan: Plan) -> Verdict {
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
        let machine = Machine {
            lease_ms: plan.lease_ms,
            ..Machine::new(name, ZONE)
        };
        edges.push(Edge::start(&setting.temp, &machine, store.address).await);
    }
    for edge in &edges {
        if !edge.await_ready().await {
            return Verdict::CannotRun(format!("{} isn't ready", edge.name));
        }
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10)).await;
    let clients = Clients::new(record);
    let frontends: Arc<Mutex<Vec<_>>> =
        Arc::new(Mutex::new(edges.iter().map(|edge| edge.frontend).collect()));
    let (asking, targets) = (clients.clone(), Arc::clone(&frontends));
    let load = tokio::spawn(async move {
        // Demand moves to other adapters all the time, so that there is always one to load.
        for number in 0_usize.. {
            let known = targets
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            asking.ask(
                &known,
                number,
                "/check/",
                &format!("m0/a{}", number % 2000 + 1),
            );
            sleep(Duration::from_millis(100)).await;
        }
    });
    sleep(Duration::from_secs(5)).await;
    // A machine with the name of a former one is told from that by the time of its start.
    let mut replaced: Option<(String, f64)> = None;
    if setting.has_trouble {
        let Some(former) = holder(&store) else {
            return Verdict::CannotRun("nobody holds the zone".to_owned());
        };
        let Some(lost) = edges.iter().position(|edge| edge.name == former) else {
            return Verdict::CannotRun(format!("{former} is no machine"));
        };
        edges.remove(lost).kill();
        record.say(&format!(
            "{former}, which gives the orders, is gone for good"
        ));
        *frontends.lock().unwrap_or_else(PoisonError::into_inner) =
            edges.iter().map(|edge| edge.frontend).collect();
        if let Some(pause) = plan.replaced_after {
            sleep(pause).await;
            let ip = [127, 0, 0, 2].into();
            let machine = Machine {
                ip,
                lease_ms: plan.lease_ms,
                ..Machine::new(&former, ZONE)
            };
            replaced = Some((former.clone(), record.now()));
            record.say(&format!("a new machine {former} starts at {ip}"));
            edges.push(Edge::start(&setting.temp, &machine, store.address).await);
        }
    }
    sleep(Duration::from_secs(12)).await;
    load.abort();
    sleep(Duration::from_secs(1)).await;
    let counts = clients
        .counts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    record.say(&format!("clients: {counts:?}"));
    let mut orders = log
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .orders
        .clone();
    if let Some((name, from)) = &replaced {
        let by_new = |order: &&mut SeenOrder| order.holder == *name && order.at >= *from;
        for order in orders.iter_mut().filter(by_new) {
            order.holder = format!("{name} (the new machine)");
        }
    }
    let lease_s = Duration::from_millis(plan.lease_ms).as_secs_f64();
    let faults = broken_turns(&orders, lease_s, |_| false);
    for fault in &faults {
        record.say(fault);
    }
    record.say(&format!("{} orders, {} faults", orders.len(), faults.len()));
    drop(edges);
    if orders.is_empty() {
        return Verdict::CannotRun("no order was given".to_owned());
    }
    if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
