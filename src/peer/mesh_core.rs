use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::{Framed, FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;

use super::link_core::LinkCore;
use super::link_heartbeats::{LinkHeartbeats, NodeHeartbeat};
use super::link_reader::LinkReader;
use super::link_writer::LinkWriter;
use super::peer_entry::{PeerDialler, PeerEntry, PeerStatus};
use super::{
    FrameCodec, HeartbeatBody, MeshConfig, MeshHooks, PeerChange, PeerFrame, PeerIdentity, PeerLink,
};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;

/// Time since the last use after which an on-demand link is closed.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by the tasks of a mesh.
#[derive(Debug)]
pub(super) struct MeshCore {
    pub(super) config: MeshConfig,
    pub(super) hooks: MeshHooks,
    pub(super) address: SocketAddr,
    pub(super) stop: CancellationToken,
    pub(super) heartbeats: watch::Sender<Arc<NodeHeartbeat>>,
    pub(super) heartbeat_bytes: AtomicU64,
    /// Number of links added so far; changes wake tasks that wait for a link.
    pub(super) link_count: watch::Sender<u64>,
    peers: Mutex<BTreeMap<InstanceId, PeerEntry>>,
}

impl MeshCore {
    pub(super) fn new(
        config: MeshConfig,
        hooks: MeshHooks,
        address: SocketAddr,
        stop: CancellationToken,
    ) -> Self {
        let first = Arc::new(NodeHeartbeat {
            full: (hooks.heartbeat)(),
            load_interval: 1,
        });
        Self {
            config,
            hooks,
            address,
            stop,
            heartbeats: watch::Sender::new(first),
            heartbeat_bytes: AtomicU64::new(0),
            link_count: watch::Sender::new(0),
            peers: Mutex::default(),
        }
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<InstanceId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the current state of the node to all links, which send it as their next heartbeat.
    pub(super) fn publish_heartbeat(&self) {
        let links = self
            .peers()
            .values()
            .filter(|entry| entry.working_link().is_some())
            .count();
        let load_interval = links.div_ceil(self.config.full_rate_links.max(1)).max(1) as u64;
        let full = (self.hooks.heartbeat)();
        self.heartbeats.send_replace(Arc::new(NodeHeartbeat {
            full,
            load_interval,
        }));
    }

    /// Runs a link after its handshake until it is lost.
    ///
    /// `first` is the frame by which the accepting side confirmed a link that this instance opened.
    pub(super) async fn run_link(
        self: &Arc<Self>,
        connection: Framed<TcpStream, FrameCodec>,
        identity: PeerIdentity,
        first: Option<PeerFrame>,
    ) {
        let is_dialled = first.is_some();
        let parts = connection.into_parts();
        let (read_half, write_half) = parts.io.into_split();
        let mut reader = FramedRead::new(read_half, FrameCodec::new(FrameCodec::MAX_LEN));
        // The buffer may already contain frames that followed the handshake.
        *reader.read_buffer_mut() = parts.read_buf;
        let (core, queues) = LinkCore::new(
            identity,
            is_dialled,
            self.config.limits,
            self.config.idle_factor,
        );
        core.record_received();
        if let Err(error) = self.add_link(&core) {
            log::warn!(
                "link to peer {} was closed: {error}",
                core.identity.instance
            );
            return;
        }
        let writer = LinkWriter {
            core: Arc::clone(&core),
            queues,
            frames: FramedWrite::new(write_half, FrameCodec::new(FrameCodec::MAX_LEN)),
            write_timeout: self.config.link_timeout,
            ticks: self.heartbeats.subscribe(),
            heartbeats: LinkHeartbeats::new(Arc::clone(self), Arc::clone(&core)),
        };
        let reader = LinkReader {
            core: Arc::clone(&core),
            mesh: Arc::clone(self),
            frames: reader,
            first,
            link_timeout: self.config.link_timeout,
        };
        // Also closes the link if this future is dropped, for example by a stopped dialler.
        let _guard = LinkGuard {
            mesh: self,
            core: &core,
        };
        let run = async { tokio::join!(reader.run(), writer.run()) };
        self.stop.run_until_cancelled(run).await;
    }

    pub(super) fn handle_heartbeat(&self, link: &Arc<LinkCore>, body: HeartbeatBody) {
        let id = &link.identity.instance;
        let change = {
            let mut peers = self.peers();
            let Some(entry) = peers.get_mut(id) else {
                return;
            };
            // Heartbeats on two links may arrive out of order, and those of a replaced process are
            // ignored. Sequence number zero is a keep-alive without content.
            let is_current = entry
                .identity
                .as_ref()
                .is_some_and(|identity| identity.incarnation == link.identity.incarnation);
            if !is_current || body.sequence <= entry.received_sequence {
                return;
            }
            entry.received_sequence = body.sequence;
            let is_new = body.is_draining && !entry.is_draining;
            entry.is_draining |= body.is_draining;
            is_new.then(|| PeerChange::Draining(id.clone()))
        };
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
        (self.hooks.on_heartbeat)(id, body);
    }

    fn add_link(&self, core: &Arc<LinkCore>) -> Result<()> {
        let identity = core.identity.clone();
        let (change, replaced) = {
            let mut peers = self.peers();
            if peers.len() >= self.config.max_peers && !peers.contains_key(&identity.instance) {
                return Err(Error::new(
                    ErrorKind::Overloaded,
                    format!(
                        "the maximum of {} known peers is reached",
                        self.config.max_peers
                    ),
                ));
            }
            let entry = peers.entry(identity.instance.clone()).or_default();
            if entry.is_superseded(core) {
                return Err(Error::new(
                    ErrorKind::Protocol,
                    "another process is running at the address of the peer",
                ));
            }
            let replaced = entry.add_link(core);
            let previous = entry.identity.replace(identity.clone());
            let change = match previous {
                Some(previous) if previous.incarnation != identity.incarnation => {
                    entry.is_draining = false;
                    entry.received_sequence = 0;
                    Some(PeerChange::Replaced {
                        now: identity,
                        previous: previous.incarnation,
                    })
                }
                _ if !entry.is_live() => Some(PeerChange::Joined(identity)),
                _ => None,
            };
            entry.status = PeerStatus::Live;
            entry.last_failure = None;
            (change, replaced)
        };
        for link in replaced {
            link.core.close("a newer connection took its place");
        }
        self.link_count.send_modify(|count| *count += 1);
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
        Ok(())
    }

    fn remove_link(&self, core: &Arc<LinkCore>) {
        let mut peers = self.peers();
        if let Some(entry) = peers.get_mut(&core.identity.instance) {
            entry.remove_link(core);
        }
    }

    /// Records a failed attempt; a refusal without any working link means that the process has
    /// ended.
    pub(super) fn record_failure(&self, id: &InstanceId, error: &Error, is_refused: bool) {
        let change = {
            let mut peers = self.peers();
            let Some(entry) = peers.get_mut(id) else {
                return;
            };
            entry.last_failure = Some(error.detail().to_owned());
            // Also reported for a peer that was silent or never reached, because the refusal proves
            // that its process has ended.
            let is_ended =
                is_refused && entry.status != PeerStatus::Refused && entry.working_link().is_none();
            if is_ended {
                entry.status = PeerStatus::Refused;
            }
            is_ended.then(|| PeerChange::Refused(id.clone()))
        };
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
    }

    /// Declares silent peers dead, closes unused on-demand links and removes peers that are neither
    /// live, listed nor linked.
    ///
    /// Silence before `resumed_at` is ignored because this process itself was paused.
    pub(super) fn sweep(&self, now: Instant, resumed_at: Instant) {
        let mut silent = Vec::new();
        let mut unused = Vec::new();
        self.peers().retain(|id, entry| {
            let is_silent = entry.is_silent(now, self.config.peer_timeout);
            if entry.is_live() && is_silent && now - resumed_at > self.config.peer_timeout {
                entry.status = PeerStatus::Silent;
                silent.push(PeerChange::Silent(id.clone()));
            }
            let is_unused = |dialler: &mut PeerDialler| {
                dialler
                    .used_at
                    .is_some_and(|used| now - used > IDLE_LINK_TIMEOUT)
            };
            unused.extend(entry.dialler.take_if(is_unused));
            entry.is_live() || entry.address.is_some() || entry.working_link().is_some()
        });
        drop(unused);
        for change in silent {
            (self.hooks.on_peer_change)(change);
        }
    }

    /// Returns the working link to a peer and records its use.
    pub(super) fn link(&self, id: &InstanceId) -> Result<PeerLink> {
        let mut peers = self.peers();
        let mut fault = "it is not listed";
        if let Some(entry) = peers.get_mut(id) {
            entry.record_use();
            if let Some(link) = entry.working_link() {
                return Ok(link.clone());
            }
            fault = entry
                .last_failure
                .as_deref()
                .unwrap_or("it was not reached yet");
        }
        Err(Error::new(
            ErrorKind::Peer,
            format!("no link to peer {id}: {fault}"),
        ))
    }
}

/// Closes a link and removes it from the mesh when dropped.
struct LinkGuard<'a> {
    mesh: &'a MeshCore,
    core: &'a Arc<LinkCore>,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.core.close("this instance dropped the link");
        self.mesh.remove_link(self.core);
    }
}
