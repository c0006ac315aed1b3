//! A small deployment: a store with its manifest, workers, machines, and the end of a case.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use std::{env, fs, process};

use crate::edge::Edge;
use crate::http::{HttpAnswer, HttpConnection};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Script, Worker, WorkerSetup};

/// The outcome of a case, as its exit code states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(i32)]
pub enum Outcome {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/// Time after which a case that has not ended is given up.
const LIMIT: Duration = Duration::from_secs(115);

/// The folders and the record of a case.
#[derive(Debug, Clone)]
pub struct Case {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
    /// Whether the disruption is to be made.
    pub has_trouble: bool,
    /// The first three numbers of loopback addresses that this run uses.
    network: String,
    attempts: Arc<AtomicU64>,
}

impl Case {
    /// Prepares a run. The first argument is the folder of the case, the second the root of the
    /// repository. The process ends by itself after 115 seconds.
    pub fn prepare() -> Self {
        let arguments: Vec<String> = env::args().collect();
        let folder = PathBuf::from(&arguments[1]);
        let temporary = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let id = process::id();
        let case = Self {
            root: PathBuf::from(&arguments[2]),
            temporary,
            record: Record::create(&folder),
            has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
            network: format!("127.{}.{}", 64 + id % 128, id / 128 % 256),
            attempts: Arc::default(),
        };
        case.record
            .line(&format!("TROUBLE={}", u8::from(case.has_trouble)));
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(LIMIT);
            // The machines end with this process.
            watched.finish(Outcome::NotRun, "the case took too long");
        });
        case
    }

    /// Returns a loopback address of this run.
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.network)
    }

    /// Returns an id for an attempt of a consumer.
    pub fn attempt(&self) -> String {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{:08x}{count:08x}", process::id())
    }

    /// Starts a worker.
    pub fn worker(
        &self,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        model: Option<&str>,
        script: &Script,
    ) -> Worker {
        let setup = WorkerSetup {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            ip: self.ip(200),
            slots: if model.is_some() { 64 } else { 6 },
            model: model.map(str::to_owned),
        };
        Worker::start(setup, store, &self.record, Arc::clone(script))
    }

    /// Starts a machine, whose number gives its address.
    pub fn edge(&self, store: &Store, host: u8, name: &str, zone: &str) -> Edge {
        let ip = self.ip(host);
        match Edge::start(
            &self.root,
            &self.temporary,
            name,
            zone,
            &ip,
            store,
            &self.record,
        ) {
            Ok(edge) => edge,
            Err(error) => self.finish(Outcome::NotRun, &format!("{name} can't start: {error}")),
        }
    }

    /// Removes the temporary folder, records the outcome and ends the process. The machines must have
    /// been dropped before.
    pub fn finish(&self, outcome: Outcome, detail: &str) -> ! {
        self.record.line(&format!("{outcome:?}: {detail}"));
        println!("{outcome:?}: {detail}");
        if env::var_os("KEEP").is_none() {
            let _result = fs::remove_dir_all(&self.temporary);
        }
        exit(outcome as i32);
    }
}

/// The time limits of a route, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct RouteTimes {
    pub timeout: u64,
    pub target: u64,
}

/// Creates a route of the manifest.
pub fn route(prefix: &str, kind: &str, service: &str, times: RouteTimes, attempts: u64) -> Json {
    let is_stream = kind == "streaming";
    let mut route = object([
        ("name", text(&format!("r{}", prefix.replace('/', "-")))),
        ("hostname", text(HOST)),
        ("path_prefix", text(prefix)),
        ("route_type", text(kind)),
        ("timeout_ms", number(times.timeout)),
        ("target_latency_ms", number(times.target)),
        ("priority", number(2)),
        ("service", text(service)),
        ("max_attempts", number(attempts)),
    ]);
    if let (true, Json::Object(members)) = (is_stream, &mut route) {
        members.insert("session_affinity".to_owned(), Json::Bool(true));
        members.insert("resumable".to_owned(), Json::Bool(attempts > 1));
        members.insert("gap_target_ms".to_owned(), number(250));
    }
    route
}

/// The host that consumers name.
pub const HOST: &str = "ficu95.example";

/// Creates the manifest with the services `scribe` (an engine) and `workshop`.
pub fn manifest(version: u64, routes: Vec<Json>) -> Json {
    let model = object([
        ("name", text("m0")),
        ("weights_mb", number(34_300)),
        ("load_s", Json::Number("1.5".to_owned())),
        ("adapters", number(3000)),
        ("adapter_mb", number(40)),
        ("warm_s", Json::Number("0.42".to_owned())),
        ("disk_load_s", Json::Number("0.6".to_owned())),
    ]);
    let engine = object([
        ("slots", number(64)),
        ("kv_capacity_tokens", number(140_419)),
        ("models", Json::List(vec![model])),
        ("weights_mb", number(35_800)),
        ("adapter_slots", number(20)),
        ("loads_per_s", Json::Number("4.5".to_owned())),
    ]);
    let scribe = object([
        ("name", text("scribe")),
        ("health_path", text("/healthz")),
        ("max_conns", number(370)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("engine", engine),
    ]);
    let workshop = object([
        ("name", text("workshop")),
        ("health_path", text("/healthz")),
        ("max_conns", number(110)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    object([
        ("version", number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![scribe, workshop])),
        (
            "limits",
            object([
                ("max_header_bytes", number(16_384)),
                ("max_body_bytes", number(4_194_304)),
                ("header_timeout_ms", number(3000)),
                ("idle_timeout_ms", number(15_000)),
            ]),
        ),
    ])
}

/// Formats a request of a consumer.
pub fn request(method: &str, path: &str, attempt: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Comfreychute-Attempt-Id: {attempt}\r\n\
         {headers}{length}\r\n{body}"
    )
    .into_bytes()
}

/// A consumer that keeps its channel while the machine does.
#[derive(Debug)]
pub struct Consumer {
    address: SocketAddr,
    connection: Option<HttpConnection>,
}

impl Consumer {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes one attempt and records it.
    pub fn call(
        &mut self,
        record: &Record,
        name: &str,
        bytes: &[u8],
        limit: Duration,
    ) -> HttpAnswer {
        record.line(&format!("consumer sends {name} to {}", self.address));
        let opened = match self.connection.take() {
            Some(connection) => Ok(connection),
            None => HttpConnection::open(self.address),
        };
        let answer = match opened {
            Err(error) => HttpAnswer {
                fault: format!("no channel: {:?}", error.kind()),
                ..HttpAnswer::default()
            },
            Ok(mut connection) => {
                let answer = connection.call(bytes, limit);
                if answer.keeps_connection() {
                    self.connection = Some(connection);
                }
                answer
            }
        };
        record.line(&format!(
            "consumer gets {} for {name} after {} ms, whole: {}{}{}",
            answer.status,
            answer.took.as_millis(),
            answer.is_whole,
            if answer.fault.is_empty() { "" } else { ", " },
            answer.fault
        ));
        answer
    }
}
