use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio_util::sync::DropGuard;

use super::link_core::LinkCore;
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
    pub(super) last_received_at: Option<Instant>,
    pub(super) status: PeerStatus,
    pub(super) is_draining: bool,
    /// The sequence number of the last heartbeat with content that was sent.
    pub(super) sent_sequence: u64,
    /// The sequence number of the last one that was received from the present process.
    pub(super) received_sequence: u64,
    /// The address in the list that was passed to the mesh.
    pub(super) address: Option<SocketAddr>,
    /// Why the last link or attempt failed.
    pub(super) last_failure: Option<String>,
    pub(super) dialler: Option<PeerDialler>,
}

/// Whether a peer counts as live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum PeerStatus {
    /// Never reached so far.
    #[default]
    New,
    /// Has joined and was not declared dead since.
    Live,
    /// Was silent for the peer timeout.
    Silent,
    /// Its process is known to have ended.
    Refused,
}

/// The task that keeps the outgoing link; dropping it stops the task.
#[derive(Debug)]
pub(super) struct PeerDialler {
    pub(super) address: SocketAddr,
    /// When a call or question last used the link; none if the link is kept without use.
    pub(super) used_at: Option<Instant>,
    pub(super) _stop: DropGuard,
}

impl PeerEntry {
    pub(super) fn is_live(&self) -> bool {
        self.status == PeerStatus::Live
    }

    /// Borrows the link to use: the outgoing one where it works.
    pub(super) fn working_link(&self) -> Option<&PeerLink> {
        [&self.outgoing, &self.incoming]
            .into_iter()
            .flatten()
            .find(|link| !link.is_closed())
    }

    /// Returns whether heartbeats with content go over the link.
    pub(super) fn is_primary(&self, core: &Arc<LinkCore>) -> bool {
        self.working_link()
            .is_some_and(|primary| Arc::ptr_eq(&primary.core, core))
    }

    /// Returns whether the link comes from another process than the one that answers at the peer's
    /// address, such as a process that was paused and replaced.
    pub(super) fn is_superseded(&self, core: &LinkCore) -> bool {
        !core.is_dialled
            && self.outgoing.as_ref().is_some_and(|link| {
                !link.is_closed() && link.identity().incarnation != core.identity.incarnation
            })
    }

    /// Adds a link; returns those whose place it takes or that lead to a former process.
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

    /// Notes that a call or question uses the link.
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

    /// Returns whether no link works and the last frame is older than `limit`.
    pub(super) fn is_silent(&self, now: Instant, limit: Duration) -> bool {
        self.working_link().is_none()
            && self
                .last_received_at()
                .is_none_or(|heard| now.saturating_duration_since(heard) > limit)
    }

    pub(super) fn live_peer(&self, id: &InstanceId, now: Instant) -> Option<LivePeer> {
        let identity = self.identity.as_ref().filter(|_| self.is_live())?;
        Some(LivePeer {
            id: id.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            silent_for: self
                .last_received_at()
                .map_or(Duration::MAX, |heard| now.saturating_duration_since(heard)),
            is_draining: self.is_draining,
            is_linked: self.working_link().is_some(),
        })
    }
}
