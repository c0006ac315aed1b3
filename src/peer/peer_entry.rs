use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio_util::sync::DropGuard;

use super::{LivePeer, PeerIdentity, PeerLink};
use crate::id::InstanceId;

/// What the mesh knows about one peer.
#[derive(Debug, Default)]
pub(super) struct PeerEntry {
    /// The last process that was seen.
    pub(super) identity: Option<PeerIdentity>,
    pub(super) outgoing: Option<PeerLink>,
    pub(super) incoming: Option<PeerLink>,
    /// When a link that is gone by now was last heard.
    pub(super) heard_at: Option<Instant>,
    /// Whether the peer has joined and was not declared dead since.
    pub(super) is_live: bool,
    pub(super) is_draining: bool,
    /// Why the last link or attempt failed.
    pub(super) fault: Option<String>,
    pub(super) dialler: Option<PeerDialler>,
}

/// The task that keeps the outgoing link; dropping it stops the task.
#[derive(Debug)]
pub(super) struct PeerDialler {
    pub(super) address: SocketAddr,
    pub(super) _stop: DropGuard,
}

impl PeerEntry {
    /// Borrows the link to use: the outgoing one where it works.
    pub(super) fn working_link(&self) -> Option<&PeerLink> {
        [&self.outgoing, &self.incoming]
            .into_iter()
            .flatten()
            .find(|link| !link.is_closed())
    }

    pub(super) fn heard_at(&self) -> Option<Instant> {
        [&self.outgoing, &self.incoming]
            .into_iter()
            .flatten()
            .map(PeerLink::heard_at)
            .chain(self.heard_at)
            .max()
    }

    /// Returns whether no link works and the last frame is older than `limit`.
    pub(super) fn is_silent(&self, now: Instant, limit: Duration) -> bool {
        self.working_link().is_none()
            && self
                .heard_at()
                .is_none_or(|heard| now.saturating_duration_since(heard) > limit)
    }

    pub(super) fn live_peer(&self, id: &InstanceId, now: Instant) -> Option<LivePeer> {
        let identity = self.identity.as_ref().filter(|_| self.is_live)?;
        Some(LivePeer {
            id: id.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            silent_for: self
                .heard_at()
                .map_or(Duration::MAX, |heard| now.saturating_duration_since(heard)),
            is_draining: self.is_draining,
            is_linked: self.working_link().is_some(),
        })
    }
}
