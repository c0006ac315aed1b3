use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::mesh_core::MeshCore;
use super::peer_entry::PeerDialler;
use super::{
    CallEvents, CallOpen, LivePeer, MeshConfig, MeshHooks, PeerAsk, PeerReply, accept_task,
    dial_task,
};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::platform::ListedInstance;

/// The links of this instance to all its peers.
///
/// The mesh stops when its last clone is dropped.
#[derive(Debug, Clone)]
pub struct PeerMesh {
    core: Arc<MeshCore>,
    _stop: Arc<DropGuard>,
}

impl PeerMesh {
    /// Starts listening for peers; call it inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be listened at.
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
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(beat(Arc::clone(&core))),
        );
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(sweep(Arc::clone(&core))),
        );
        Ok(Self {
            core,
            _stop: Arc::new(stop.drop_guard()),
        })
    }

    /// Returns the address that the mesh listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Keeps one link to each of `peers`, without this instance, and drops links to others that
    /// were dialled before.
    pub fn dial(&self, peers: &[ListedInstance]) {
        let wanted: BTreeMap<&InstanceId, SocketAddr> = peers
            .iter()
            .filter(|peer| peer.id != self.core.config.instance)
            .map(|peer| (&peer.id, peer.peer_address))
            .collect();
        let mut entries = self.core.peers();
        let mut dropped = Vec::new();
        for (id, entry) in entries.iter_mut() {
            let address = wanted.get(id);
            if entry.dialler.as_ref().map(|dialler| &dialler.address) != address {
                dropped.extend(entry.dialler.take());
            }
        }
        for (id, address) in wanted {
            let entry = entries.entry(id.clone()).or_default();
            if entry.dialler.is_none() {
                let stop = self.core.stop.child_token();
                dial_task::spawn(Arc::clone(&self.core), id.clone(), address, stop.clone());
                entry.dialler = Some(PeerDialler {
                    address,
                    _stop: stop.drop_guard(),
                });
            }
        }
        drop(entries);
    }

    /// Forwards a request to a peer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if there is no working link, and [`ErrorKind::Overloaded`] if too
    /// many calls are open on it. The request did not run then.
    pub async fn open_call(&self, to: &InstanceId, open: CallOpen) -> Result<CallEvents> {
        self.core.link(to)?.open_call(open).await
    }

    /// Sends a question to a peer and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if there is no working link, if it is lost, or if no reply comes
    /// within the ask timeout.
    pub async fn ask(&self, to: &InstanceId, ask: PeerAsk) -> Result<PeerReply> {
        self.core
            .link(to)?
            .ask(ask, self.core.config.ask_timeout)
            .await
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

    /// Returns why the last link or attempt to a peer failed; none while a link works.
    #[must_use]
    pub fn fault(&self, peer: &InstanceId) -> Option<String> {
        self.core
            .peers()
            .get(peer)
            .and_then(|entry| entry.fault.clone())
    }

    /// Returns the bytes of all heartbeat frames sent so far.
    #[must_use]
    pub fn heartbeat_bytes(&self) -> u64 {
        self.core.beat_bytes.load(Ordering::Relaxed)
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

async fn beat(core: Arc<MeshCore>) {
    let mut ticks = interval(core.config.heartbeat_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let body = (core.hooks.heartbeat)();
        core.beats.send_replace(Arc::new(body));
    }
}

async fn sweep(core: Arc<MeshCore>) {
    let mut ticks = interval(core.config.peer_timeout / 30);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.sweep(Instant::now());
    }
}
