use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::mesh_core::MeshCore;
use super::peer_entry::{PeerDialler, PeerEntry};
use super::{
    CallEvents, CallOpen, LivePeer, MeshConfig, MeshHooks, PeerLink, PeerReply, PeerRequest,
    accept_task, dial_task,
};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::member::rendezvous_score;
use crate::platform_client::ListedInstance;
use crate::time::spawn_supervised;

/// The links of this instance to its peers.
///
/// The mesh stops when its last clone is dropped.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    core: Arc<MeshCore>,
    _stop: Arc<DropGuard>,
}

impl PeerMesh {
    /// Starts listening for peers; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be bound.
    pub fn start(config: MeshConfig, hooks: MeshHooks) -> Result<Self> {
        let (listener, address) = listen(config.listen).map_err(|error| {
            Error::new(
                ErrorKind::Settings,
                format!("cannot listen for peers at {}: {error}", config.listen),
            )
        })?;
        let stop = CancellationToken::new();
        let core = Arc::new(MeshCore::new(config, hooks, address, stop.clone()));
        accept_task::spawn(Arc::clone(&core), listener);
        spawn_until_stopped("heartbeats", &core, run_heartbeats);
        spawn_until_stopped("sweeps", &core, run_sweeps);
        Ok(Self {
            core,
            _stop: Arc::new(stop.drop_guard()),
        })
    }

    /// Returns the address that the mesh listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Returns the number that identifies this process among those of its instance.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.config.incarnation
    }

    /// Keeps one link to each of `peers` other than this instance, and closes links that were
    /// dialled to peers that are no longer listed or are listed at another address.
    ///
    /// With [`MeshConfig::max_persistent_links`], persistent links are kept to some of the peers;
    /// the others are dialled on demand, when a call or request is sent to them.
    pub fn dial(&self, peers: &[ListedInstance]) {
        let listed: BTreeMap<&InstanceId, SocketAddr> = peers
            .iter()
            .filter(|peer| peer.id != self.core.config.instance)
            .map(|peer| (&peer.id, peer.peer_address))
            .collect();
        let persistent = select_persistent_peers(&self.core.config, peers);
        let mut stopped = Vec::new();
        let mut entries = self.core.peers();
        for (id, entry) in entries.iter_mut() {
            entry.address = listed.get(id).copied();
            let address = entry.address;
            stopped.extend(
                entry
                    .dialler
                    .take_if(|dialler| Some(dialler.address) != address),
            );
        }
        for (id, address) in listed {
            let entry = entries.entry(id.clone()).or_default();
            entry.address = Some(address);
            let is_persistent = persistent.contains(id);
            if let Some(dialler) = &mut entry.dialler {
                let used_at = dialler.used_at.unwrap_or_else(Instant::now);
                dialler.used_at = (!is_persistent).then_some(used_at);
            } else if is_persistent && self.is_own_dial(id, entry) {
                entry.dialler = Some(dial_task::spawn(&self.core, id, address, None));
            }
        }
        drop(entries);
    }

    /// Returns whether this instance opens the link to a peer rather than the peer.
    fn is_own_dial(&self, id: &InstanceId, entry: &mut PeerEntry) -> bool {
        let grace = self.core.config.dial_grace;
        grace.is_none_or(|grace| {
            self.core.config.instance < *id || entry.lacks_link(Instant::now(), grace)
        })
    }

    /// Forwards a request to a peer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if there is no working link, and [`ErrorKind::Overloaded`] if
    /// too many calls are open on it. In both cases the request did not run.
    pub async fn open_call(&self, to: &InstanceId, open: CallOpen) -> Result<CallEvents> {
        self.link(to).await?.open_call(open).await
    }

    /// Sends a request to a peer and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if there is no working link, if it is lost, or if no reply is
    /// received within the request timeout.
    pub async fn request(&self, to: &InstanceId, request: PeerRequest) -> Result<PeerReply> {
        self.link(to)
            .await?
            .request(request, self.core.config.request_timeout)
            .await
    }

    /// Returns the link to a peer; dials a listed peer without a link on demand.
    async fn link(&self, to: &InstanceId) -> Result<PeerLink> {
        let mut link_count = self.core.link_count.subscribe();
        let is_dialled = self.dial_on_demand(to);
        let linked = async {
            loop {
                // The sender is owned by the mesh, which outlives this call.
                let _added = link_count.changed().await;
                if let Ok(link) = self.core.link(to) {
                    return link;
                }
            }
        };
        match self.core.link(to) {
            Err(error) if is_dialled => timeout(self.core.config.dial_timeout(), linked)
                .await
                .or(Err(error)),
            found => found,
        }
    }

    /// Dials a listed peer without a link; returns whether an on-demand link is being opened.
    fn dial_on_demand(&self, to: &InstanceId) -> bool {
        let mut entries = self.core.peers();
        let Some(entry) = entries.get_mut(to) else {
            return false;
        };
        if entry.working_link().is_some() {
            return false;
        }
        if entry.dialler.is_none() {
            let now = Some(Instant::now());
            entry.dialler = entry
                .address
                .map(|address| dial_task::spawn(&self.core, to, address, now));
        }
        entry
            .dialler
            .as_ref()
            .is_some_and(|dialler| dialler.used_at.is_some())
    }

    /// Returns the peers that have joined and were not declared dead since.
    #[must_use]
    pub fn live_peers(&self) -> Vec<LivePeer> {
        let now = Instant::now();
        self.core
            .peers()
            .iter()
            .filter_map(|(id, entry)| entry.live_peer(id, now))
            .collect()
    }

    /// Returns the peers to which persistent links are kept; with
    /// [`MeshConfig::max_persistent_links`] these are fewer than the listed peers.
    #[must_use]
    pub fn persistent_peers(&self) -> BTreeSet<InstanceId> {
        let is_persistent = |dialler: &PeerDialler| dialler.used_at.is_none();
        self.core
            .peers()
            .iter()
            .filter(|(_, entry)| entry.dialler.as_ref().is_some_and(is_persistent))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns why the last link or attempt to a peer failed, or `None` while a link works.
    #[must_use]
    pub fn last_failure(&self, peer: &InstanceId) -> Option<String> {
        self.core
            .peers()
            .get(peer)
            .and_then(|entry| entry.last_failure.clone())
    }

    /// Sends a heartbeat on all links immediately, in addition to those at the fixed interval.
    ///
    /// Used for changes that peers must receive without delay, such as the start of a shutdown.
    pub fn send_heartbeat(&self) {
        self.core.publish_heartbeat();
    }

    /// Returns the number of bytes of all heartbeat frames sent so far.
    #[must_use]
    pub fn heartbeat_bytes(&self) -> u64 {
        self.core.heartbeat_bytes.load(Ordering::Relaxed)
    }

    /// Stops listening, dialling and all links; other clones stop working too.
    pub fn stop(&self) {
        self.core.stop.cancel();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((TcpListener::from_std(listener)?, address))
}

/// Spawns a task that runs until the mesh stops, and starts it again if it panics.
fn spawn_until_stopped<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    core: &Arc<MeshCore>,
    run: impl Fn(Arc<MeshCore>) -> F + Send + 'static,
) {
    let core = Arc::clone(core);
    spawn_supervised(name, move || {
        let (stop, running) = (core.stop.clone(), run(Arc::clone(&core)));
        async move {
            // The mesh may stop at any time; nothing is left to do then.
            let _stopped = stop.run_until_cancelled_owned(running).await;
        }
    });
}

async fn run_heartbeats(core: Arc<MeshCore>) {
    let mut ticks = interval(core.config.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.publish_heartbeat();
    }
}

async fn run_sweeps(core: Arc<MeshCore>) {
    let mut ticks = interval(core.config.peer_timeout / 30);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let mut resumed_at = last;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        if now - last > core.config.link_timeout / 2 {
            // This process was paused; frames arrive again once the links are redialled.
            resumed_at = now;
        }
        last = now;
        core.sweep(now, resumed_at);
    }
}

/// Returns the peers to which persistent links are kept.
///
/// Among peers of other failure domains the selection differs from instance to instance, so that
/// each of them is selected by some.
fn select_persistent_peers<'a>(
    config: &MeshConfig,
    peers: &'a [ListedInstance],
) -> BTreeSet<&'a InstanceId> {
    let mut order: Vec<_> = peers
        .iter()
        .filter(|peer| peer.id != config.instance)
        .map(|peer| {
            let score = rendezvous_score(config.instance.as_str(), peer.id.as_str());
            (peer.domain != config.domain, Reverse(score), &peer.id)
        })
        .collect();
    order.sort_unstable();
    order
        .into_iter()
        .take(config.max_persistent_links.unwrap_or(usize::MAX))
        .map(|(_, _, id)| id)
        .collect()
}
