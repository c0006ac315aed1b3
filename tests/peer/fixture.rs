//! Nodes for tests of the peer protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfreychute::Result;
use comfreychute::id::{DomainId, InstanceId};
use comfreychute::peer::{
    CallChunk, CallEvents, CallOpen, CallSink, HeartbeatBody, MeshConfig, MeshHooks, PeerChange,
    PeerMesh, PeerReply, chunk, reply,
};
use comfreychute::platform_client::ListedInstance;
use tokio::time::{sleep, timeout};

/// Upper bound of every wait, generous for a busy machine.
pub const LIMIT: Duration = Duration::from_mins(1);

pub fn id(name: &str) -> InstanceId {
    InstanceId::from_name(name)
}

pub fn config(name: &str, incarnation: u64) -> MeshConfig {
    MeshConfig::new(
        id(name),
        incarnation,
        DomainId::from_name("zone-1"),
        SocketAddr::from(([127, 0, 0, 1], 0)),
    )
}

/// Waits until `condition` returns a value.
pub async fn until<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let poll = async {
        loop {
            if let Some(value) = condition() {
                return value;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, poll)
        .await
        .unwrap_or_else(|_| panic!("not within {LIMIT:?}: {what}"))
}

/// Waits for the next chunk of an answer.
pub async fn next(events: &mut CallEvents) -> Result<Option<CallChunk>> {
    timeout(LIMIT, events.next()).await.expect("in time")
}

/// Events that the hooks of a node received.
#[derive(Debug, Default)]
pub struct Seen {
    pub changes: Vec<PeerChange>,
    pub heartbeats: BTreeMap<InstanceId, Vec<HeartbeatBody>>,
    pub opened: Vec<(InstanceId, CallOpen)>,
}

pub struct TestNode {
    pub mesh: PeerMesh,
    pub name: String,
    pub seen: Arc<Mutex<Seen>>,
    pub heartbeat: Arc<Mutex<HeartbeatBody>>,
}

impl TestNode {
    pub fn start(name: &str) -> Self {
        Self::start_with(config(name, 1), answer_three)
    }

    /// Starts a node whose calls run `serve`.
    pub fn start_with<F, W>(config: MeshConfig, serve: F) -> Self
    where
        F: Fn(CallOpen, CallSink) -> W + Send + Sync + Clone + 'static,
        W: Future<Output = ()> + Send + 'static,
    {
        let name = config.instance.as_str().to_owned();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let heartbeat = Arc::new(Mutex::new(HeartbeatBody::default()));
        let (changes, heartbeats, opened, body) = (
            Arc::clone(&seen),
            Arc::clone(&seen),
            Arc::clone(&seen),
            Arc::clone(&heartbeat),
        );
        let hooks = MeshHooks {
            heartbeat: Box::new(move || body.lock().expect("not poisoned").clone()),
            on_heartbeat: Box::new(move |from, body| {
                let mut seen = heartbeats.lock().expect("not poisoned");
                seen.heartbeats.entry(from.clone()).or_default().push(body);
            }),
            on_call: Box::new(move |from, open, sink| {
                let mut seen = opened.lock().expect("not poisoned");
                seen.opened.push((from, open.clone()));
                tokio::spawn(serve(open, sink));
            }),
            on_request: Box::new(|_, _| {
                Box::pin(async {
                    PeerReply {
                        body: Some(reply::Body::Done(true)),
                    }
                })
            }),
            on_peer_change: Box::new(move |change| {
                changes.lock().expect("not poisoned").changes.push(change);
            }),
        };
        let mesh = PeerMesh::start(config, hooks).expect("a free port");
        Self {
            mesh,
            name,
            seen,
            heartbeat,
        }
    }

    pub fn listed(&self) -> ListedInstance {
        listed(&self.name, self.mesh.address())
    }

    pub fn dial(&self, peers: &[&Self]) {
        let peers: Vec<_> = peers.iter().map(|peer| peer.listed()).collect();
        self.mesh.dial(&peers);
    }

    pub async fn wait_for_link(&self, peer: &str) {
        until(&format!("{} linked to {peer}", self.name), || {
            self.mesh
                .live_peers()
                .into_iter()
                .find(|live| live.id == id(peer) && live.is_linked)
        })
        .await;
    }

    pub fn changes(&self) -> Vec<PeerChange> {
        self.seen.lock().expect("not poisoned").changes.clone()
    }

    pub async fn wait_for_change(&self, expected: impl Fn(&PeerChange) -> bool) -> PeerChange {
        until("a change of a peer", || {
            self.changes().into_iter().find(&expected)
        })
        .await
    }
}

pub fn listed(name: &str, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        id: id(name),
        domain: DomainId::from_name("zone-1"),
        peer_address: address,
        is_leaving: false,
    }
}

pub fn token(number: u64, text: &str) -> CallChunk {
    CallChunk {
        body: Some(chunk::Body::Token(chunk::TokenBody {
            token: number,
            text: text.to_owned(),
            ..chunk::TokenBody::default()
        })),
    }
}

pub fn end(tokens: u64) -> CallChunk {
    CallChunk {
        body: Some(chunk::Body::End(chunk::EndBody {
            finish: "stop".to_owned(),
            tokens,
        })),
    }
}

/// Answers with three tokens and the end marker.
pub async fn answer_three(_: CallOpen, mut sink: CallSink) {
    for number in 0..3 {
        sink.send(token(number, "x")).await.expect("a caller");
    }
    sink.send(end(3)).await.expect("a caller");
}
