use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::{Framed, FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;

use super::link_core::LinkCore;
use super::link_reader::LinkReader;
use super::link_writer::LinkWriter;
use super::peer_entry::PeerEntry;
use super::{FrameCodec, HeartbeatBody, MeshConfig, MeshHooks, PeerChange, PeerIdentity, PeerLink};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;

/// What the tasks of a mesh share.
#[derive(Debug)]
pub(super) struct MeshCore {
    pub(super) config: MeshConfig,
    pub(super) hooks: MeshHooks,
    pub(super) address: SocketAddr,
    pub(super) stop: CancellationToken,
    pub(super) beats: watch::Sender<Arc<HeartbeatBody>>,
    pub(super) beat_bytes: AtomicU64,
    peers: Mutex<BTreeMap<InstanceId, PeerEntry>>,
}

impl MeshCore {
    pub(super) fn new(
        config: MeshConfig,
        hooks: MeshHooks,
        address: SocketAddr,
        stop: CancellationToken,
    ) -> Self {
        let first = Arc::new((hooks.heartbeat)());
        Self {
            config,
            hooks,
            address,
            stop,
            beats: watch::Sender::new(first),
            beat_bytes: AtomicU64::new(0),
            peers: Mutex::default(),
        }
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<InstanceId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a link after its handshake until it is lost.
    pub(super) async fn run_link(
        self: &Arc<Self>,
        mut connection: Framed<TcpStream, FrameCodec>,
        identity: PeerIdentity,
        is_dialled: bool,
    ) {
        connection.codec_mut().limit_to(FrameCodec::MAX_LEN);
        let parts = connection.into_parts();
        let (read_half, write_half) = parts.io.into_split();
        let mut reader = FramedRead::new(read_half, FrameCodec::new(FrameCodec::MAX_LEN));
        // Frames that followed the handshake closely were already received.
        *reader.read_buffer_mut() = parts.read_buf;
        let (core, queues) = LinkCore::new(identity, is_dialled, self.config.limits);
        core.hear();
        self.add_link(&core);
        let (mesh, link) = (Arc::clone(self), Arc::clone(&core));
        let sent = Arc::clone(self);
        let writer = LinkWriter {
            core: Arc::clone(&core),
            queues,
            frames: FramedWrite::new(write_half, FrameCodec::new(FrameCodec::MAX_LEN)),
            write_timeout: self.config.link_timeout,
            beats: self.beats.subscribe(),
            body: Box::new(move |full| mesh.link_beat(&link, full)),
            on_sent: Box::new(move |bytes| {
                sent.beat_bytes.fetch_add(bytes, Ordering::Relaxed);
            }),
        };
        let reader = LinkReader {
            core: Arc::clone(&core),
            mesh: Arc::clone(self),
            frames: reader,
            link_timeout: self.config.link_timeout,
        };
        // Also closes the link if this future is dropped, as by a dialler that is stopped.
        let _guard = LinkGuard {
            mesh: self,
            core: &core,
        };
        let run = async { tokio::join!(reader.run(), writer.run()) };
        self.stop.run_until_cancelled(run).await;
    }

    /// Builds the heartbeat of one link: the whole content on the one in use, none on the other.
    fn link_beat(&self, link: &Arc<LinkCore>, full: &HeartbeatBody) -> HeartbeatBody {
        let is_main = self
            .peers()
            .get(&link.identity.instance)
            .and_then(PeerEntry::working_link)
            .is_none_or(|main| Arc::ptr_eq(&main.core, link));
        if is_main {
            full.clone()
        } else {
            HeartbeatBody::default()
        }
    }

    pub(super) fn take_heartbeat(&self, link: &Arc<LinkCore>, body: HeartbeatBody) {
        let id = &link.identity.instance;
        let change = {
            let mut peers = self.peers();
            let entry = peers.entry(id.clone()).or_default();
            let starts = body.is_draining && !entry.is_draining;
            entry.is_draining |= body.is_draining;
            starts.then(|| PeerChange::Draining(id.clone()))
        };
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
        (self.hooks.on_heartbeat)(id, body);
    }

    fn add_link(&self, core: &Arc<LinkCore>) {
        let identity = core.identity.clone();
        let (change, replaced) = {
            let mut peers = self.peers();
            let entry = peers.entry(identity.instance.clone()).or_default();
            let slot = if core.is_dialled {
                &mut entry.outgoing
            } else {
                &mut entry.incoming
            };
            let replaced = slot.replace(PeerLink {
                core: Arc::clone(core),
            });
            let previous = entry.identity.replace(identity.clone());
            let change = match previous {
                Some(previous) if previous.incarnation != identity.incarnation => {
                    entry.is_draining = false;
                    Some(PeerChange::Replaced {
                        now: identity,
                        previous: previous.incarnation,
                    })
                }
                _ if !entry.is_live => Some(PeerChange::Joined(identity)),
                _ => None,
            };
            entry.is_live = true;
            entry.fault = None;
            (change, replaced)
        };
        if let Some(link) = replaced {
            link.core.close("the peer opened a newer connection");
        }
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
    }

    fn remove_link(&self, core: &Arc<LinkCore>) {
        let mut peers = self.peers();
        let Some(entry) = peers.get_mut(&core.identity.instance) else {
            return;
        };
        entry.heard_at = entry.heard_at.max(Some(core.heard_at()));
        entry.fault = Some(core.fault().to_owned());
        for slot in [&mut entry.outgoing, &mut entry.incoming] {
            if slot
                .as_ref()
                .is_some_and(|link| Arc::ptr_eq(&link.core, core))
            {
                *slot = None;
            }
        }
    }

    /// Notes a failed attempt; a refusal without any working link means that the process has ended.
    pub(super) fn note_failure(&self, id: &InstanceId, error: &Error, is_refused: bool) {
        let change = {
            let mut peers = self.peers();
            let Some(entry) = peers.get_mut(id) else {
                return;
            };
            entry.fault = Some(error.detail().to_owned());
            let is_dead = is_refused && entry.is_live && entry.working_link().is_none();
            if is_dead {
                entry.is_live = false;
            }
            is_dead.then(|| PeerChange::Refused(id.clone()))
        };
        if let Some(change) = change {
            (self.hooks.on_peer_change)(change);
        }
    }

    /// Declares peers dead that have been silent for too long, and forgets those without a dialler.
    pub(super) fn sweep(&self, now: Instant) {
        let mut silent = Vec::new();
        self.peers().retain(|id, entry| {
            if entry.is_live && entry.is_silent(now, self.config.peer_timeout) {
                entry.is_live = false;
                silent.push(PeerChange::Silent(id.clone()));
            }
            entry.is_live || entry.dialler.is_some() || entry.working_link().is_some()
        });
        for change in silent {
            (self.hooks.on_peer_change)(change);
        }
    }

    pub(super) fn link(&self, id: &InstanceId) -> Result<PeerLink> {
        let peers = self.peers();
        let entry = peers.get(id);
        if let Some(link) = entry.and_then(PeerEntry::working_link) {
            return Ok(link.clone());
        }
        let fault = entry
            .and_then(|entry| entry.fault.as_deref())
            .unwrap_or("it was not dialled");
        Err(Error::new(
            ErrorKind::Peer,
            format!("no link to peer {id}: {fault}"),
        ))
    }
}

/// Closes a link and removes it from the mesh.
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
