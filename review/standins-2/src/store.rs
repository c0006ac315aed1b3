//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::{Request, read_request, write_answer};
use crate::ports::listen;
use crate::record::Record;

type Key = (String, String);

#[derive(Debug, Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: Value,
}

/// The content of the store at a time.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    objects: BTreeMap<Key, StoredObject>,
    events: Vec<(u64, String, Value, bool)>,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreCopy,
}

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
    record: Record,
}

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const LIST_PAGE: usize = 500;

impl Store {
    pub async fn start(record: &Record) -> Self {
        let listener = listen([127, 0, 0, 1].into()).await;
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
            changed: watch::channel(0).0,
            record: record.clone(),
        };
        // The revision starts above zero.
        store.lock().content.revision = 100;
        let shared = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().serve(stream));
            }
        });
        store
    }

    /// Creates or replaces an object, as the operator or a server does. Does nothing if it is the same.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.content.objects.get(&key);
        if known.is_some_and(|known| known.spec == *spec) {
            return;
        }
        state.content.write(key, spec.clone());
        let revision = state.content.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        state.content.remove(&(kind.to_owned(), name.to_owned()));
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock()
            .content
            .objects
            .get(&key)
            .map(|object| object.spec.clone())
    }

    async fn serve(self, mut stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            sleep(ANSWER_TIME).await;
            let (status, body) = self.answer(&request).await;
            if request.target.contains("/comfreychute-owners") {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.record.line(&format!(
                    "store: {} {} {text} -> {status} {body}",
                    request.method, request.target
                ));
            }
            let headers = "Content-Type: application/json\r\nStore-Era: 0\r\n";
            if write_answer(&mut stream, status, headers, &body.to_string())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn answer(&self, request: &Request) -> (u16, Value) {
        let path: Vec<String> = request.path().split('/').skip(3).map(decode).collect();
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let in_query = request.query("revision").and_then(|text| text.parse().ok());
        let expected = body["metadata"]["revision"].as_u64().or(in_query);
        match (request.method.as_str(), path.as_slice()) {
            ("GET", [kind]) => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = request.query("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)))
                        .await
                }
                None => (200, self.list(kind, request.query("after"))),
            },
            ("GET", [kind, name]) => {
                let state = self.lock();
                match state
                    .content
                    .objects
                    .get(&((*kind).to_owned(), (*name).to_owned()))
                {
                    Some(object) => (200, object.to_wire(name)),
                    None => (404, json!({})),
                }
            }
            ("POST", [kind]) => {
                let name = body["metadata"]["name"]
                    .as_str()
                    .unwrap_or_default()
                    .to_owned();
                self.write(kind, &name, &body["spec"], None, true)
            }
            ("PUT", [kind, name]) => self.write(kind, name, &body["spec"], expected, false),
            ("DELETE", [kind, name]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let known = self.lock().content.objects.get(&key).cloned();
                match known {
                    None => (404, json!({})),
                    Some(known) if expected.is_some_and(|it| it != known.revision) => {
                        (409, known.to_wire(name))
                    }
                    Some(known) => {
                        self.delete(kind, name);
                        (200, known.to_wire(name))
                    }
                }
            }
            _ => (400, json!({})),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &Value,
        expected: Option<u64>,
        is_new: bool,
    ) -> (u16, Value) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.lock();
        let known = state.content.objects.get(&key).cloned();
        match known {
            Some(known) if is_new => return (409, known.to_wire(name)),
            None if !is_new => return (404, json!({})),
            Some(known) if expected.is_some_and(|it| it != known.revision) => {
                return (409, known.to_wire(name));
            }
            Some(known) if known.spec == *spec => return (200, known.to_wire(name)),
            Some(_) | None => {}
        }
        state.content.write(key.clone(), spec.clone());
        let revision = state.content.revision;
        let wire = state.content.objects[&key].to_wire(name);
        drop(state);
        self.changed.send_replace(revision);
        (if is_new { 201 } else { 200 }, wire)
    }

    fn list(&self, kind: &str, after: Option<String>) -> Value {
        let after = after.map(|name| decode(&name)).unwrap_or_default();
        let state = self.lock();
        let of_kind = state.content.objects.iter();
        let mut items: Vec<Value> = of_kind
            .filter(|((known, name), _)| known == kind && *name > after)
            .map(|((_, name), object)| object.to_wire(name))
            .collect();
        let more = items.len() > LIST_PAGE;
        items.truncate(LIST_PAGE);
        json!({"items": items, "more": more, "store_revision": state.content.revision})
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Value) {
        let mut changed = self.changed.subscribe();
        let found = async {
            loop {
                changed.mark_unchanged();
                {
                    let state = self.lock();
                    if after > state.content.revision {
                        return (410, Vec::new());
                    }
                    let events = state.content.events.iter();
                    let events: Vec<Value> = events
                        .filter(|(revision, known, _, _)| known == kind && *revision > after)
                        .map(
                            |(_, _, object, deleted)| json!({"object": object, "deleted": deleted}),
                        )
                        .collect();
                    if !events.is_empty() {
                        return (200, events);
                    }
                }
                let _changed = changed.changed().await;
            }
        };
        let (status, events) = timeout(wait, found).await.unwrap_or((200, Vec::new()));
        if status == 410 {
            return (410, json!({}));
        }
        let revision = self.lock().content.revision;
        (200, json!({"events": events, "store_revision": revision}))
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoreCopy {
    fn write(&mut self, key: Key, spec: Value) {
        self.revision += 1;
        let revision = self.revision;
        let created = self
            .objects
            .get(&key)
            .map_or(revision, |known| known.created);
        let object = StoredObject {
            revision,
            created,
            spec,
        };
        self.events
            .push((revision, key.0.clone(), object.to_wire(&key.1), false));
        self.objects.insert(key, object);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(object) = self.objects.remove(key) {
            self.revision += 1;
            let wire = object.to_wire(&key.1);
            self.events.push((self.revision, key.0.clone(), wire, true));
        }
    }
}

impl StoredObject {
    fn to_wire(&self, name: &str) -> Value {
        json!({
            "metadata": {"name": name, "revision": self.revision, "created": self.created,
                "finalizers": [], "deletion_pending": false},
            "spec": self.spec, "status": null,
        })
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
