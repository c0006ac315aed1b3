use std::net::SocketAddr;
use std::time::Duration;

use crate::id::DomainId;

/// What is known about one instance besides this one.
#[derive(Debug, Clone)]
pub(super) struct MemberState {
    pub(super) domain: DomainId,
    pub(super) listing: ListState,
    pub(super) link: LinkState,
    /// Whether the mesh keeps a link to the instance, so that silence tells something.
    pub(super) is_kept: bool,
    /// Whether the instance said that it is shutting down.
    pub(super) is_draining: bool,
    /// When it was last heard.
    pub(super) heard_at: Option<Duration>,
    /// The process that was last heard.
    pub(super) incarnation: Option<u64>,
}

/// What the platform's list says about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListState {
    /// Not listed so far.
    Unlisted,
    /// Listed before and no more.
    Removed,
    /// Listed without a break since `since`.
    Listed {
        address: SocketAddr,
        since: Duration,
        is_leaving: bool,
    },
}

/// What the mesh says about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// No link works; the process may run or not.
    Down,
    /// A link works.
    Up,
    /// The process is known to have ended.
    Refused,
}

impl MemberState {
    pub(super) const fn new(domain: DomainId) -> Self {
        Self {
            domain,
            listing: ListState::Unlisted,
            link: LinkState::Down,
            is_kept: true,
            is_draining: false,
            heard_at: None,
            incarnation: None,
        }
    }

    /// Returns whether the platform lists the instance.
    pub(super) const fn is_listed(&self) -> bool {
        matches!(self.listing, ListState::Listed { .. })
    }

    /// Returns whether the process that was last heard has certainly ended.
    pub(super) const fn has_ended(&self) -> bool {
        match self.link {
            LinkState::Up => false,
            LinkState::Refused => true,
            LinkState::Down => matches!(self.listing, ListState::Removed),
        }
    }

    /// Returns whether the instance counts as live.
    pub(super) fn is_live(&self, now: Duration, timeout: Duration) -> bool {
        let is_recent = |since: Duration| now.saturating_sub(since) <= timeout;
        let is_heard = self.heard_at.is_some_and(is_recent);
        match (self.link, self.listing) {
            (LinkState::Up, _) => true,
            (LinkState::Refused, _) | (LinkState::Down, ListState::Removed) => false,
            (LinkState::Down, ListState::Unlisted) => is_heard,
            (LinkState::Down, ListState::Listed { since, .. }) => {
                is_heard || is_recent(since) || !self.is_kept
            }
        }
    }

    /// Returns whether the instance may take ownership.
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
