//! A stand-in of a model worker.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::http::{Request, read_request, write_answer};
use crate::ports::listen;
use crate::record::Record;
use crate::store::Store;

/// A base model of the manifest.
#[derive(Debug, Clone)]
pub struct ModelSpec {
    pub name: String,
    pub weights_mb: f64,
    pub load_time: Duration,
}

/// What the manifest says of the workers of a service.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    pub service: String,
    pub models: Vec<ModelSpec>,
    pub adapter_mb: f64,
    pub adapter_load: Duration,
    pub weights_mb: f64,
    pub adapter_slots: usize,
    pub slots: usize,
    pub pieces: u32,
    pub piece_time: Duration,
}

/// What all workers saw.
#[derive(Debug, Default)]
pub struct EngineLog {
    pub orders: usize,
    /// Orders to load more than a worker holds: the time, the worker and what would be held.
    pub overloads: Vec<(f64, String, String)>,
    pub crashes: usize,
    pub cut_streams: usize,
    pub runs: usize,
}

#[derive(Debug)]
struct EngineState {
    born: u64,
    sequence: u64,
    models: BTreeSet<String>,
    /// The base model that is being loaded.
    loading: Option<String>,
    /// Resident adapters, as `MODEL/NAME@VERSION`.
    adapters: BTreeSet<String>,
    pending: BTreeSet<String>,
    running: BTreeMap<String, usize>,
    connections: Vec<AbortHandle>,
    listening: Option<AbortHandle>,
    is_up: bool,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    spec: EngineSpec,
    state: Arc<Mutex<EngineState>>,
    pub log: Arc<Mutex<EngineLog>>,
    store: Store,
    record: Record,
}

/// Interval of the entries that a worker writes.
const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Engine {
    pub async fn start(
        id: &str,
        zone: &str,
        spec: &EngineSpec,
        models: &[&str],
        store: &Store,
        record: &Record,
        log: &Arc<Mutex<EngineLog>>,
    ) -> Self {
        let listener = listen([127, 0, 0, 1].into()).await;
        let engine = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            spec: spec.clone(),
            state: Arc::new(Mutex::new(EngineState {
                born: unix_millis(),
                sequence: 0,
                // At the start, models lie on the workers.
                models: models.iter().map(|name| (*name).to_owned()).collect(),
                loading: None,
                adapters: BTreeSet::new(),
                pending: BTreeSet::new(),
                running: BTreeMap::new(),
                connections: Vec::new(),
                listening: None,
                is_up: true,
            })),
            log: Arc::clone(log),
            store: store.clone(),
            record: record.clone(),
        };
        engine.listen(listener);
        let beating = engine.clone();
        beating.beat();
        tokio::spawn(async move {
            loop {
                sleep(HEARTBEAT).await;
                beating.beat();
            }
        });
        engine
    }

    /// Writes the entry of the worker to the store, unless it is down.
    fn beat(&self) {
        if !self.lock().is_up {
            return;
        }
        let mut entry = self.report();
        entry["service"] = json!(self.spec.service);
        entry["address"] = json!(self.address.to_string());
        entry["zone"] = json!(self.zone);
        entry["version"] = json!("v1");
        entry["slots"] = json!(self.spec.slots);
        entry["state"] = json!("ready");
        entry["cold_left_ms"] = json!(0);
        self.store.put("servers", &self.id, &entry);
    }

    fn report(&self) -> Value {
        let state = self.lock();
        let models: Vec<Value> = state
            .models
            .iter()
            .map(|model| {
                let held = state
                    .adapters
                    .iter()
                    .filter_map(|name| name.strip_prefix(model.as_str()));
                let adapters: Vec<&str> = held.filter_map(|name| name.strip_prefix('/')).collect();
                json!({"name": model, "version": 1, "adapters": adapters})
            })
            .collect();
        let pending: Vec<&String> = state.pending.iter().collect();
        json!({
            "stage": "both", "models": models, "busy": state.loading.is_some(),
            "sequence": state.sequence, "queued": 0,
            "active": state.running.values().sum::<usize>(),
            "kv_used": 0, "kv_total": 140_419, "handles": 0, "pending": pending,
            "born": state.born,
        })
    }

    fn listen(&self, listener: TcpListener) {
        let shared = self.clone();
        let listening = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = tokio::spawn(shared.clone().serve(stream));
                let mut state = shared.lock();
                state
                    .connections
                    .retain(|connection| !connection.is_finished());
                state.connections.push(serving.abort_handle());
            }
        });
        self.lock().listening = Some(listening.abort_handle());
    }

    async fn serve(self, mut stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        // A worker that crashes resets its connections.
        let _linger = stream.set_zero_linger();
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            let expected = request.header("x-comfreychute-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!("X-Comfreychute-Instance-Id: {}\r\n", self.id);
                if write_answer(&mut stream, 421, &headers, "").await.is_err() {
                    return;
                }
                continue;
            }
            let written = match request.path() {
                "/api/report" => {
                    let body = self.report().to_string();
                    write_answer(
                        &mut stream,
                        200,
                        "Content-Type: application/json\r\n",
                        &body,
                    )
                    .await
                }
                "/api/order" => {
                    let status = self.take_order(&request);
                    write_answer(&mut stream, status, "", "").await
                }
                "/healthz" => {
                    let headers = format!("X-Comfreychute-Instance-Id: {}\r\n", self.id);
                    write_answer(&mut stream, 200, &headers, "").await
                }
                _ => self.run(&mut stream, &request).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Runs a request: a stream of events.
    async fn run(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let attempt = request
            .header("x-comfreychute-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = format!("X-Comfreychute-Attempt-Id: {attempt}\r\n");
        let refusal = format!("{echo}X-Comfreychute-Not-Executed: 1\r\n");
        if attempt.is_empty() {
            return write_answer(stream, 400, &refusal, "").await;
        }
        let model = request.header("x-comfreychute-model").unwrap_or_default();
        let (base, adapter) = model.split_once('/').unwrap_or((model, ""));
        let named = request.header("x-comfreychute-expect-version");
        let name = format!("{base}/{adapter}@{}", named.unwrap_or("1"));
        let is_held = {
            let state = self.lock();
            state.models.contains(base) && (adapter.is_empty() || state.adapters.contains(&name))
        };
        if !is_held {
            return write_answer(stream, 421, &refusal, "").await;
        }
        if self.lock().running.values().sum::<usize>() >= self.spec.slots {
            return write_answer(stream, 503, &refusal, "").await;
        }
        self.record
            .line(&format!("{}: runs {attempt} ({model})", self.id));
        self.log().runs += 1;
        *self.lock().running.entry(name.clone()).or_default() += 1;
        let run = RunGuard {
            engine: self.clone(),
            name,
            attempt: attempt.clone(),
            is_done: false,
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Comfreychute-Response-Signature: s.{attempt}\r\n\
             X-Comfreychute-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let first: u32 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        for id in first + 1..=self.spec.pieces {
            let event = format!("id: {id}\ndata: {attempt} {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            let mut byte = [0];
            tokio::select! {
                () = sleep(self.spec.piece_time) => {}
                read = stream.read(&mut byte) => {
                    // Clients of a worker send nothing during an answer.
                    read?;
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
        run.finish();
        Ok(())
    }

    fn take_order(&self, request: &Request) -> u16 {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let status = self.carry_out(&order);
        self.record
            .line(&format!("{}: order {order} -> {status}", self.id));
        self.log().orders += 1;
        status
    }

    fn carry_out(&self, order: &Value) -> u16 {
        if order["holder"].as_str().is_none() || order["fencing_token"].as_u64().is_none() {
            return 400;
        }
        let mut state = self.lock();
        let expected = order["expected"].as_u64();
        if state.loading.is_some() || expected.is_some_and(|it| it != state.sequence) {
            return 409;
        }
        let is_load = order["operation"] == "load";
        let model = order["model"].as_str().unwrap_or_default();
        let Some(model) = self.spec.models.iter().find(|known| known.name == model) else {
            return 400;
        };
        let Some(adapter) = order["adapter"].as_str() else {
            if state.models.contains(&model.name) == is_load {
                return 200;
            }
            if !is_load {
                return 409;
            }
            state.sequence += 1;
            state.loading = Some(model.name.clone());
            drop(state);
            return self.check_room().unwrap_or_else(|| {
                self.finish_later(model.load_time, |state| {
                    state.models.extend(state.loading.take());
                });
                202
            });
        };
        if !state.models.contains(&model.name) {
            return 409;
        }
        let prefix = format!("{}/{adapter}@", model.name);
        if !is_load {
            let held = state
                .adapters
                .iter()
                .find(|held| held.starts_with(&prefix))
                .cloned();
            let Some(held) = held else {
                return 200;
            };
            if state.running.get(&held).copied().unwrap_or(0) > 0 {
                return 409;
            }
            state.adapters.remove(&held);
            state.sequence += 1;
            return 200;
        }
        let name = format!("{prefix}{}", order["version"].as_u64().unwrap_or(1));
        if state.adapters.contains(&name) {
            return 200;
        }
        if state.pending.contains(&name) {
            return 202;
        }
        if state.pending.len() >= 4 {
            return 409;
        }
        state.sequence += 1;
        state.pending.insert(name.clone());
        drop(state);
        self.check_room().unwrap_or_else(|| {
            self.finish_later(self.spec.adapter_load, move |state| {
                if state.pending.remove(&name) {
                    state.adapters.insert(name);
                }
            });
            202
        })
    }

    /// Crashes if the worker was ordered to load more than it holds; returns the status then.
    fn check_room(&self) -> Option<u16> {
        let state = self.lock();
        let names = state.models.iter().chain(&state.loading);
        let weights = names.filter_map(|name| self.spec.models.iter().find(|it| it.name == *name));
        let count = state.adapters.len() + state.pending.len();
        let adapters = u32::try_from(count).map_or(f64::MAX, f64::from);
        let megabytes =
            weights.map(|model| model.weights_mb).sum::<f64>() + adapters * self.spec.adapter_mb;
        if megabytes <= self.spec.weights_mb && count <= self.spec.adapter_slots {
            return None;
        }
        drop(state);
        let reason = format!(
            "{count} adapters of {} places, {megabytes} MB of {} MB",
            self.spec.adapter_slots, self.spec.weights_mb
        );
        self.record.say(&format!(
            "{}: ordered to load more than it holds ({reason})",
            self.id
        ));
        self.log()
            .overloads
            .push((self.record.now(), self.id.clone(), reason));
        self.crash(Duration::from_secs(3));
        Some(202)
    }

    /// Changes the state after a time, unless the worker has crashed by then.
    fn finish_later(&self, time: Duration, change: impl FnOnce(&mut EngineState) + Send + 'static) {
        let (engine, born) = (self.clone(), self.lock().born);
        tokio::spawn(async move {
            sleep(time).await;
            let mut state = engine.lock();
            if state.born == born {
                change(&mut state);
            }
        });
    }

    /// Crashes the worker, which resets its connections; it is back, empty, after `away_time`.
    pub fn crash(&self, away_time: Duration) {
        self.record.say(&format!("{}: crashes", self.id));
        self.log().crashes += 1;
        let connections = {
            let mut state = self.lock();
            state.is_up = false;
            state.models.clear();
            state.loading = None;
            state.adapters.clear();
            state.pending.clear();
            state.sequence = 0;
            state.born = 0;
            if let Some(listening) = state.listening.take() {
                listening.abort();
            }
            std::mem::take(&mut state.connections)
        };
        for connection in connections {
            connection.abort();
        }
        let engine = self.clone();
        tokio::spawn(async move {
            sleep(away_time).await;
            let listener = TcpListener::bind(engine.address)
                .await
                .expect("the port stays free");
            {
                let mut state = engine.lock();
                state.born = unix_millis();
                state.is_up = true;
            }
            engine.record.say(&format!("{}: is back, empty", engine.id));
            engine.listen(listener);
            engine.beat();
        });
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self) -> MutexGuard<'_, EngineLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends a run when it is dropped.
struct RunGuard {
    engine: Engine,
    name: String,
    attempt: String,
    is_done: bool,
}

impl RunGuard {
    fn finish(mut self) {
        self.is_done = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(count) = self.engine.lock().running.get_mut(&self.name) {
            *count = count.saturating_sub(1);
        }
        if !self.is_done {
            self.engine.log().cut_streams += 1;
            let text = format!("{}: the run of {} was cut", self.engine.id, self.attempt);
            self.engine.record.line(&text);
        }
    }
}

fn unix_millis() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(time.as_millis()).unwrap_or(0)
}
