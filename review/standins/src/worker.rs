//! A worker: it registers in the store, takes orders and runs requests.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{HttpRequest, read_request};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::Store;

/// What a worker is, as its entry in the store states it.
#[derive(Debug, Clone)]
pub struct WorkerSetup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
    /// The base model that an engine holds from its start; `None` for a plain service.
    pub model: Option<String>,
}

/// How the end of a stream is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    /// The answer has no length and ends with its channel.
    Channel,
}

/// How a worker runs a request.
#[derive(Debug, Clone)]
pub enum Run {
    /// Works for this time and answers with a whole body.
    Plain {
        work: Duration,
        body: String,
        /// Further header lines, each with its line end.
        headers: String,
    },
    /// Works for this time and loses the answer: the channel is reset.
    Lost { work: Duration },
    /// Begins an answer after this time, and the worker crashes with its first event. It is back after
    /// `down_for`.
    Crash {
        first: Duration,
        down_for: Duration,
        /// Whether the head and the first event leave the worker before it crashes.
        has_left: bool,
    },
    /// Sends events, the first one after `first`.
    Stream {
        first: Duration,
        events: u64,
        gap: Duration,
        framing: Framing,
    },
}

/// Chooses how a request is run.
pub type Script = Arc<dyn Fn(&HttpRequest) -> Run + Send + Sync>;

/// A worker that can crash and start again under the same id.
#[derive(Clone)]
pub struct Worker {
    pub setup: WorkerSetup,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    script: Script,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_up: bool,
    boot: u64,
    born: u64,
    sequence: u64,
    running: u32,
    channels: Vec<TcpStream>,
    /// Adapters, each with the time at which its load ends.
    adapters: BTreeMap<(String, u64), Instant>,
    runs: Vec<String>,
    /// When each run began.
    run_times: Vec<Duration>,
    orders: Vec<Order>,
    crash_times: Vec<Duration>,
    is_draining: bool,
}

/// An order that arrived.
#[derive(Debug, Clone)]
pub struct Order {
    /// Time since the start of the record.
    pub at: Duration,
    pub holder: String,
    pub token: u64,
}

/// Time that the load of an adapter takes.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Interval at which a worker writes its entry.
const BEAT: Duration = Duration::from_millis(1200);

impl Worker {
    /// Starts a worker at a free port.
    pub fn start(setup: WorkerSetup, store: &Store, record: &Record, script: Script) -> Self {
        let listener = TcpListener::bind(format!("{}:0", setup.ip)).expect("a free port");
        let worker = Self {
            address: listener.local_addr().expect("an address"),
            setup,
            store: store.clone(),
            record: record.clone(),
            script,
            state: Arc::default(),
        };
        worker.boot(listener);
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.beat();
            }
        });
        worker
    }

    fn boot(&self, listener: TcpListener) {
        let boot = {
            let mut state = self.lock();
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = born.map_or(1, |it| u64::try_from(it.as_millis()).unwrap_or(1));
            *state = State {
                is_up: true,
                boot: state.boot + 1,
                born: born.max(state.born + 1),
                runs: std::mem::take(&mut state.runs),
                run_times: std::mem::take(&mut state.run_times),
                orders: std::mem::take(&mut state.orders),
                crash_times: std::mem::take(&mut state.crash_times),
                ..State::default()
            };
            state.boot
        };
        self.beat();
        listener.set_nonblocking(true).expect("a socket option");
        let serving = self.clone();
        thread::spawn(move || {
            while serving.is_boot(boot) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _result = stream.set_nonblocking(false);
                        let _result = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            serving.lock().channels.push(kept);
                        }
                        let channel = serving.clone();
                        thread::spawn(move || channel.serve(stream, boot));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Crashes: all channels are reset, and new ones are refused.
    pub fn crash(&self) {
        self.record
            .line(&format!("worker {} crashes", self.setup.id));
        let channels = {
            let mut state = self.lock();
            state.is_up = false;
            state.boot += 1;
            state.crash_times.push(self.record.now());
            std::mem::take(&mut state.channels)
        };
        for channel in &channels {
            reset(channel);
        }
    }

    /// Starts again after a crash, at the same address and under the same id.
    pub fn restart(&self) {
        let until = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > until => panic!("no listener: {error}"),
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.record
            .line(&format!("worker {} is back", self.setup.id));
        self.boot(listener);
    }

    /// Returns the ids of the attempts that began to run, in order.
    pub fn runs(&self) -> Vec<String> {
        self.lock().runs.clone()
    }

    /// Reports that the worker leaves; it goes on serving.
    pub fn drain(&self) {
        self.record
            .line(&format!("worker {} is draining", self.setup.id));
        self.lock().is_draining = true;
        self.beat();
    }

    /// Returns when each run began, in the order of [`Worker::runs`].
    pub fn run_times(&self) -> Vec<Duration> {
        self.lock().run_times.clone()
    }

    /// Ends for good: the entry is removed, and all channels are reset.
    pub fn leave(&self) {
        self.crash();
        self.store.delete("servers", &self.setup.id);
    }

    /// Returns when the worker crashed.
    pub fn crash_times(&self) -> Vec<Duration> {
        self.lock().crash_times.clone()
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Returns the number of requests that run at present.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn is_boot(&self, boot: u64) -> bool {
        let state = self.lock();
        state.is_up && state.boot == boot
    }

    /// Writes the entry, unless the worker is down.
    fn beat(&self) {
        let state = self.lock();
        if !state.is_up {
            return;
        }
        let mut entry = BTreeMap::from([
            ("service".to_owned(), text(&self.setup.service)),
            ("address".to_owned(), text(&self.address.to_string())),
            ("zone".to_owned(), text(&self.setup.zone)),
            ("version".to_owned(), text("v1")),
            ("slots".to_owned(), number(u64::from(self.setup.slots))),
            (
                "state".to_owned(),
                text(if state.is_draining {
                    "draining"
                } else {
                    "ready"
                }),
            ),
            ("cold_left_ms".to_owned(), number(0)),
            ("sequence".to_owned(), number(state.sequence)),
            ("born".to_owned(), number(state.born)),
        ]);
        if self.setup.model.is_some() {
            entry.insert("stage".to_owned(), text("both"));
            entry.insert("models".to_owned(), self.models(&state));
        }
        drop(state);
        self.store
            .put("servers", &self.setup.id, Json::Object(entry));
    }

    fn models(&self, state: &State) -> Json {
        let Some(model) = &self.setup.model else {
            return Json::List(Vec::new());
        };
        let now = Instant::now();
        let held = state.adapters.iter().filter(|(_, ready)| **ready <= now);
        let held = held.map(|((name, version), _)| text(&format!("{name}@{version}")));
        Json::List(vec![object([
            ("name", text(model)),
            ("version", number(1)),
            ("adapters", Json::List(held.collect())),
        ])])
    }

    fn serve(&self, stream: TcpStream, boot: u64) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.is_boot(boot) {
                return;
            }
            let attempt = request.header("x-comfreychute-attempt-id");
            let attempt = attempt.unwrap_or_default().to_owned();
            let expected = request.header("x-comfreychute-expect-instance");
            let is_other = expected.is_some_and(|id| id != self.setup.id);
            let has_ended = match request.path() {
                _ if is_other => self.refuse(&mut writer, 421, &attempt),
                "/api/report" => self.report(&mut writer),
                "/api/order" => self.order(&mut writer, &request),
                "/healthz" => self.write(&mut writer, 200, "", ""),
                _ => self.run(&mut writer, &request, &attempt, boot),
            };
            if has_ended {
                let channel = writer.as_raw_fd();
                let mut state = self.lock();
                // The clone that a crash would reset keeps the channel open otherwise.
                let _result = writer.shutdown(std::net::Shutdown::Both);
                state.channels.retain(|kept| {
                    kept.as_raw_fd() != channel && kept.peer_addr().ok() != writer.peer_addr().ok()
                });
                return;
            }
        }
    }

    /// Writes an answer; returns whether the channel has ended.
    fn write(&self, writer: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
        writer.write_all((head + body).as_bytes()).is_err()
    }

    fn refuse(&self, writer: &mut TcpStream, status: u16, attempt: &str) -> bool {
        let headers =
            format!("X-Comfreychute-Attempt-Id: {attempt}\r\nX-Comfreychute-Not-Executed: 1\r\n");
        self.write(writer, status, &headers, "")
    }

    fn report(&self, writer: &mut TcpStream) -> bool {
        let state = self.lock();
        let now = Instant::now();
        let model = self.setup.model.clone().unwrap_or_default();
        let pending = state.adapters.iter().filter(|(_, ready)| **ready > now);
        let pending =
            pending.map(|((name, version), _)| text(&format!("{model}/{name}@{version}")));
        let report = object([
            ("stage", text("both")),
            ("models", self.models(&state)),
            ("pending", Json::List(pending.collect())),
            ("busy", Json::Bool(false)),
            ("sequence", number(state.sequence)),
            ("queued", number(0)),
            ("active", number(u64::from(state.running))),
            ("kv_used", number(0)),
            ("kv_total", number(140_419)),
            ("handles", number(0)),
            ("born", number(state.born)),
        ]);
        drop(state);
        let headers = "Content-Type: application/json\r\n";
        self.write(writer, 200, headers, &report.to_string())
    }

    fn order(&self, writer: &mut TcpStream, request: &HttpRequest) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&body).unwrap_or(Json::Null);
        self.lock().orders.push(Order {
            at: self.record.now(),
            holder: order.get("holder").text().unwrap_or_default().to_owned(),
            token: order.get("fencing_token").number().unwrap_or(0),
        });
        let status = self.carry_out(&order);
        self.record
            .line(&format!("worker {} order {body}: {status}", self.setup.id));
        self.write(writer, status, "", "")
    }

    fn carry_out(&self, order: &Json) -> u16 {
        let mut state = self.lock();
        let expected = order.get("expected").number();
        if expected.is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        let Some(adapter) = order.get("adapter").text() else {
            // The base model is held from the start.
            return 200;
        };
        let version = order.get("version").number().unwrap_or(1);
        let key = (adapter.to_owned(), version);
        let now = Instant::now();
        match order.get("operation").text() {
            Some("load") => match state.adapters.get(&key) {
                Some(ready) if *ready <= now => 200,
                Some(_) => 202,
                None => {
                    state.adapters.insert(key, now + LOAD_TIME);
                    state.sequence += 1;
                    202
                }
            },
            Some("unload") => {
                let held: BTreeSet<_> = state.adapters.keys().cloned().collect();
                let gone = held.into_iter().filter(|(name, _)| name == adapter);
                for key in gone {
                    state.adapters.remove(&key);
                    state.sequence += 1;
                }
                200
            }
            _ => 400,
        }
    }

    /// Runs a request; returns whether the channel has ended.
    fn run(&self, writer: &mut TcpStream, request: &HttpRequest, attempt: &str, boot: u64) -> bool {
        if !self.holds_adapter(request) {
            return self.refuse(writer, 421, attempt);
        }
        if self.lock().running >= self.setup.slots {
            return self.refuse(writer, 503, attempt);
        }
        let line = format!("{} {}", request.method, request.target);
        self.record
            .line(&format!("worker {} runs {attempt} {line}", self.setup.id));
        {
            let mut state = self.lock();
            state.running += 1;
            state.runs.push(attempt.to_owned());
            state.run_times.push(self.record.now());
        }
        let has_ended = self.play(writer, request, attempt, boot);
        let mut state = self.lock();
        if state.boot == boot {
            state.running -= 1;
        }
        has_ended
    }

    fn holds_adapter(&self, request: &HttpRequest) -> bool {
        let model = request.header("x-comfreychute-model").unwrap_or_default();
        let Some((_, adapter)) = model.split_once('/') else {
            return true;
        };
        let version = request.header("x-comfreychute-expect-version");
        let version: Option<u64> = version.and_then(|it| it.parse().ok());
        let state = self.lock();
        let now = Instant::now();
        state.adapters.iter().any(|((name, held), ready)| {
            name == adapter && *ready <= now && version.is_none_or(|version| version == *held)
        })
    }

    fn play(
        &self,
        writer: &mut TcpStream,
        request: &HttpRequest,
        attempt: &str,
        boot: u64,
    ) -> bool {
        let signed = format!(
            "X-Comfreychute-Attempt-Id: {attempt}\r\n\
             X-Comfreychute-Response-Signature: {}.{attempt}\r\n",
            self.setup.id
        );
        match (self.script)(request) {
            Run::Plain {
                work,
                body,
                headers,
            } => {
                thread::sleep(work);
                !self.is_boot(boot) || self.write(writer, 200, &(signed + &headers), &body)
            }
            Run::Lost { work } => {
                thread::sleep(work);
                self.record.line(&format!(
                    "worker {} loses the answer to {attempt}",
                    self.setup.id
                ));
                reset(writer);
                true
            }
            Run::Crash {
                first,
                down_for,
                has_left,
            } => {
                thread::sleep(first);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
                     Connection: close\r\n\r\nid: 1\ndata: {attempt} 1\n\n"
                );
                if has_left {
                    if !self.is_boot(boot) || writer.write_all(head.as_bytes()).is_err() {
                        return true;
                    }
                    // The event leaves before the channels are reset.
                    thread::sleep(Duration::from_millis(10));
                }
                if self.is_boot(boot) {
                    self.crash();
                    let worker = self.clone();
                    thread::spawn(move || {
                        thread::sleep(down_for);
                        worker.restart();
                    });
                }
                true
            }
            Run::Stream {
                first,
                events,
                gap,
                framing,
            } => {
                thread::sleep(first);
                let last = request
                    .header("last-event-id")
                    .and_then(|it| it.parse().ok());
                let next = last.unwrap_or(0) + 1;
                let framed = match framing {
                    Framing::Chunks => "Transfer-Encoding: chunked\r\n",
                    Framing::Channel => "Connection: close\r\n",
                };
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n{framed}\r\n"
                );
                if !self.is_boot(boot) || writer.write_all(head.as_bytes()).is_err() {
                    return true;
                }
                for id in next..=events {
                    if id > next {
                        thread::sleep(gap);
                    }
                    let event = format!("id: {id}\ndata: {attempt} {id} of {events}\n\n");
                    let bytes = match framing {
                        Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                        Framing::Channel => event,
                    };
                    if !self.is_boot(boot) || writer.write_all(bytes.as_bytes()).is_err() {
                        return true;
                    }
                }
                match framing {
                    Framing::Chunks => writer.write_all(b"0\r\n\r\n").is_err(),
                    Framing::Channel => true,
                }
            }
        }
    }
}

/// Resets a channel at once.
pub fn reset(channel: &TcpStream) {
    // To connect a socket to no address ends its connection with a reset.
    let nowhere = [0_u8; 16];
    // SAFETY: the descriptor is open, and the address has the length that is given.
    let _result = unsafe { connect(channel.as_raw_fd(), nowhere.as_ptr(), 16) };
}

unsafe extern "C" {
    fn connect(descriptor: i32, address: *const u8, length: u32) -> i32;
}
