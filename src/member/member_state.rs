use std::net::SocketAddr;
use std::time::Duration;

use crate::id::DomainId;

/// State of one instance other than this one.
#[derive(Debug, Clone)]
pub(super) struct MemberState {
    pub(super) domain: DomainId,
    pub(super) listing: ListState,
    pub(super) link: LinkState,
    /// Whether the mesh keeps a persistent link to the instance, so that a missing link indicates a
    /// failure.
    pub(super) is_persistent: bool,
    /// Whether the instance has reported that it is shutting down.
    pub(super) is_draining: bool,
    /// When the last frame was received from it.
    pub(super) last_received_at: Option<Duration>,
    /// Incarnation of the process that connected last.
    pub(super) incarnation: Option<u64>,
}

/// Whether the platform lists an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListState {
    /// Not listed yet.
    Unlisted,
    /// Listed before, but no longer.
    Removed,
    /// Listed continuously since `since` at the same address.
    Listed {
        address: SocketAddr,
        since: Duration,
        is_leaving: bool,
    },
}

/// State of the links to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// No link works; the process may or may not be running.
    Down,
    /// A link works.
    Up,
    /// The process has certainly ended.
    Refused,
}

impl MemberState {
    pub(super) const fn new(domain: DomainId) -> Self {
        Self {
            domain,
            listing: ListState::Unlisted,
            link: LinkState::Down,
            is_persistent: true,
            is_draining: false,
            last_received_at: None,
            incarnation: None,
        }
    }

    pub(super) const fn is_listed(&self) -> bool {
        matches!(self.listing, ListState::Listed { .. })
    }

    /// Returns whether the process that connected last has certainly ended.
    pub(super) const fn has_ended(&self) -> bool {
        match self.link {
            LinkState::Up => false,
            LinkState::Refused => true,
            LinkState::Down => matches!(self.listing, ListState::Removed),
        }
    }

    /// Returns whether the instance counts as live.
    ///
    /// An instance whose process has ended is not live. Otherwise, without a working link, it counts
    /// as live until `timeout` after the last frame or after it was listed, and for as long as it is
    /// listed if no persistent link to it is kept.
    pub(super) fn is_live(&self, now: Duration, timeout: Duration) -> bool {
        let is_recent = |since: Duration| now.saturating_sub(since) <= timeout;
        let is_recently_received = self.last_received_at.is_some_and(is_recent);
        match (self.link, self.listing) {
            (LinkState::Up, _) => true,
            (LinkState::Refused, _) | (LinkState::Down, ListState::Removed) => false,
            (LinkState::Down, ListState::Unlisted) => is_recently_received,
            (LinkState::Down, ListState::Listed { since, .. }) => {
                is_recently_received || is_recent(since) || !self.is_persistent
            }
        }
    }

    /// Returns whether the instance may become an owner.
    pub(super) fn is_candidate(&self, now: Duration, timeout: Duration) -> bool {
        let is_leaving = matches!(
            self.listing,
            ListState::Listed {
                is_leaving: true,
                ..
            }
        );
        self.is_live(now, timeout) && !self.is_draining && !is_leaving
    }
}
