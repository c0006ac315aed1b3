use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio_util::sync::DropGuard;

use super::link_core::LinkCore;
use super::{LivePeer, PeerIdentity, PeerLink};
use crate::id::InstanceId;

/// State of one peer in the mesh.
#[derive(Debug, Default)]
pub(super) struct PeerEntry {
    /// Identity of the process that last connected.
    pub(super) identity: Option<PeerIdentity>,
    pub(super) outgoing: Option<PeerLink>,
    pub(super) incoming: Option<PeerLink>,
    /// When the last frame was received on a link that has since been removed.
    pub(super) last_received_at: Option<Instant>,
    pub(super) status: PeerStatus,
    pub(super) is_draining: bool,
    /// Sequence number of the last heartbeat with content that was sent.
    pub(super) sent_sequence: u64,
    /// Highest sequence number of a heartbeat received from the current process.
    pub(super) received_sequence: u64,
    /// Address from the last list that was passed to the mesh.
    pub(super) address: Option<SocketAddr>,
    /// Since when the peer has been listed without a working link, as last checked.
    pub(super) unlinked_since: Option<Instant>,
    /// Why the last link or attempt failed.
    pub(super) last_failure: Option<String>,
    pub(super) dialler: Option<PeerDialler>,
}

/// Liveness of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum PeerStatus {
    /// Not reached yet.
    #[default]
    New,
    /// Has joined and was not declared dead since.
    Live,
    /// Was silent for the peer timeout.
    Silent,
    /// Its process has certainly ended.
    Refused,
}

/// Handle of the task that keeps the outgoing link; dropping it stops the task.
#[derive(Debug)]
pub(super) struct PeerDialler {
    pub(super) address: SocketAddr,
    /// When a call or request last used the link; `None` for a persistent link.
    pub(super) used_at: Option<Instant>,
    pub(super) _stop: DropGuard,
}

impl PeerEntry {
    pub(super) fn is_live(&self) -> bool {
        self.status == PeerStatus::Live
    }

    /// Returns a working link, preferably the outgoing one.
    pub(super) fn working_link(&self) -> Option<&PeerLink> {
        [&self.outgoing, &self.incoming]
            .into_iter()
            .flatten()
            .find(|link| !link.is_closed())
    }

    /// Records whether a link works; returns whether none has for at least `grace`.
    pub(super) fn lacks_link(&mut self, now: Instant, grace: Duration) -> bool {
        if self.working_link().is_some() {
            self.unlinked_since = None;
            return false;
        }
        let since = *self.unlinked_since.get_or_insert(now);
        now.saturating_duration_since(since) >= grace
    }

    /// Returns whether the link is the one that carries heartbeats with content.
    pub(super) fn is_primary(&self, core: &Arc<LinkCore>) -> bool {
        self.working_link()
            .is_some_and(|primary| Arc::ptr_eq(&primary.core, core))
    }

    /// Returns whether the link comes from another process than the one at the peer's address, such
    /// as a process that was paused and replaced.
    pub(super) fn is_superseded(&self, core: &LinkCore) -> bool {
        !core.is_dialled
            && self.outgoing.as_ref().is_some_and(|link| {
                !link.is_closed() && link.identity().incarnation != core.identity.incarnation
            })
    }

    /// Adds a link; returns the links that it replaces and those to a former process.
    pub(super) fn add_link(&mut self, core: &Arc<LinkCore>) -> Vec<PeerLink> {
        let slot = if core.is_dialled {
            &mut self.outgoing
        } else {
            &mut self.incoming
        };
        let link = PeerLink {
            core: Arc::clone(core),
        };
        let mut replaced: Vec<_> = slot.replace(link).into_iter().collect();
        let is_former =
            |link: &mut PeerLink| link.identity().incarnation != core.identity.incarnation;
        replaced.extend(self.outgoing.take_if(is_former));
        replaced.extend(self.incoming.take_if(is_former));
        replaced
    }

    /// Removes a link that was lost.
    pub(super) fn remove_link(&mut self, core: &Arc<LinkCore>) {
        let is_lost = |link: &mut PeerLink| Arc::ptr_eq(&link.core, core);
        if self.outgoing.take_if(is_lost).is_some() || self.incoming.take_if(is_lost).is_some() {
            self.last_received_at = self.last_received_at.max(Some(core.last_received_at()));
            self.last_failure = Some(core.close_reason().to_owned());
        }
    }

    /// Records that a call or request uses the link.
    pub(super) fn record_use(&mut self) {
        if let Some(used_at) = self
            .dialler
            .as_mut()
            .and_then(|dialler| dialler.used_at.as_mut())
        {
            *used_at = Instant::now();
        }
    }

    pub(super) fn last_received_at(&self) -> Option<Instant> {
        [&self.outgoing, &self.incoming]
            .into_iter()
            .flatten()
            .map(PeerLink::last_received_at)
            .chain(self.last_received_at)
            .max()
    }

    /// Returns whether no link works and no frame was received within the last `limit`.
    pub(super) fn is_silent(&self, now: Instant, limit: Duration) -> bool {
        self.working_link().is_none()
            && self
                .last_received_at()
                .is_none_or(|last| now.saturating_duration_since(last) > limit)
    }

    pub(super) fn live_peer(&self, id: &InstanceId, now: Instant) -> Option<LivePeer> {
        let identity = self.identity.as_ref().filter(|_| self.is_live())?;
        Some(LivePeer {
            id: id.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            silent_for: self
                .last_received_at()
                .map_or(Duration::MAX, |last| now.saturating_duration_since(last)),
            is_draining: self.is_draining,
            is_linked: self.working_link().is_some(),
        })
    }
}
