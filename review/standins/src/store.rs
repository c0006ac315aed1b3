//! The platform's metadata store, with the calls that the project makes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{HttpRequest, read_request};
use crate::json::{Json, number, object, text};

/// An in-memory store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    events: Vec<(u64, String, Json, bool)>,
}

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
}

/// Maximum number of items in a page of a list.
const PAGE_ITEMS: usize = 500;

impl Store {
    /// Starts a store at a free port of the given loopback address.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::<Shared>::default();
        shared.lock().revision = 100;
        let store = Self { address, shared };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a worker does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        self.put_locked(&mut self.shared.lock(), kind, name, spec)
    }

    fn put_locked(&self, state: &mut State, kind: &str, name: &str, spec: Json) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.get(&key)
            && known.spec == spec
        {
            return known.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state.objects.get(&key).map_or(revision, |it| it.created);
        let stored = Stored {
            revision,
            created,
            spec,
        };
        let event = to_object(name, &stored);
        state.events.push((revision, kind.to_owned(), event, false));
        state.objects.insert(key, stored);
        self.shared.changed.notify_all();
        revision
    }

    /// Removes an object, if it exists.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(stored) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let event = to_object(name, &stored);
            state.events.push((revision, kind.to_owned(), event, true));
            self.shared.changed.notify_all();
        }
    }

    /// Returns the names and contents of a kind.
    pub fn objects(&self, kind: &str) -> Vec<(String, Json)> {
        let state = self.shared.lock();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        of_kind
            .map(|((_, name), stored)| (name.clone(), stored.spec.clone()))
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _result = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpRequest) -> (u16, Json) {
        let path: Vec<String> = request.path().split('/').skip(3).map(unescape).collect();
        let parts: Vec<&str> = path.iter().map(String::as_str).collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match request.parameter("watch") {
                Some(after) => {
                    let wait = request.parameter("wait_ms").and_then(|it| it.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0));
                    (200, self.watch(kind, after.parse().unwrap_or(0), wait))
                }
                None => {
                    let after = request.parameter("after").map(unescape);
                    (200, self.list(kind, &after.unwrap_or_default()))
                }
            },
            ("GET", [kind, name]) => self.read(kind, name),
            ("POST", [kind]) => {
                let name = body.get("metadata").get("name").text().unwrap_or_default();
                if self.read(kind, name).0 == 200 {
                    return (409, self.read(kind, name).1);
                }
                self.put(kind, name, body.get("spec").clone());
                self.read(kind, name)
            }
            ("PUT", [kind, name]) => {
                let mut state = self.shared.lock();
                let key = ((*kind).to_owned(), (*name).to_owned());
                let Some(known) = state.objects.get(&key) else {
                    return (404, Json::Null);
                };
                let expected = body.get("metadata").get("revision").number();
                if expected.is_some_and(|expected| expected != known.revision) {
                    return (409, to_object(name, known));
                }
                self.put_locked(&mut state, kind, name, body.get("spec").clone());
                drop(state);
                self.read(kind, name)
            }
            ("DELETE", [kind, name]) => {
                self.delete(kind, name);
                (200, Json::Null)
            }
            _ => (400, Json::Null),
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.shared.lock();
        let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
        found.map_or((404, Json::Null), |stored| (200, to_object(name, stored)))
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let state = self.shared.lock();
        let found: Vec<Json> = state
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && name.as_str() > after)
            .map(|((_, name), stored)| to_object(name, stored))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        object([
            (
                "items",
                Json::List(found.into_iter().take(PAGE_ITEMS).collect()),
            ),
            ("more", Json::Bool(more)),
            ("store_revision", number(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Json {
        let until = Instant::now() + wait;
        let mut state = self.shared.lock();
        loop {
            let events: Vec<Json> = state
                .events
                .iter()
                .filter(|(revision, known, _, _)| *revision > after && known == kind)
                .map(|(_, _, item, deleted)| {
                    object([("object", item.clone()), ("deleted", Json::Bool(*deleted))])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([
                    ("events", Json::List(events)),
                    ("store_revision", number(state.revision)),
                ]);
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, left)
                .expect("no caller panics")
                .0;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no caller panics")
    }
}

fn to_object(name: &str, stored: &Stored) -> Json {
    object([
        (
            "metadata",
            object([
                ("name", text(name)),
                ("revision", number(stored.revision)),
                ("created", number(stored.created)),
                ("finalizers", Json::List(Vec::new())),
                ("deletion_pending", Json::Bool(false)),
            ]),
        ),
        ("spec", stored.spec.clone()),
        ("status", Json::Null),
    ])
}

fn unescape(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let code = code.and_then(|it| u8::from_str_radix(it, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
