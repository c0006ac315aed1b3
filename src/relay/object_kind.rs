use std::time::Duration;

/// A kind of objects in the platform's store that every instance follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The configuration: routes, services and limits.
    Config,
    /// The entries by which upstreams register.
    Upstreams,
    /// Announcements of new versions of adapters and models.
    Versions,
    /// The entries by which instances register.
    Instances,
}

impl ObjectKind {
    /// All kinds, in the order of [`ObjectKind::index`].
    pub const ALL: [Self; 4] = [
        Self::Config,
        Self::Upstreams,
        Self::Versions,
        Self::Instances,
    ];

    /// Returns the index in [`ObjectKind::ALL`], which also identifies the kind in messages between
    /// instances.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Upstreams => 1,
            Self::Versions => 2,
            Self::Instances => 3,
        }
    }

    /// Returns the longest wait of one watch call for the kind.
    ///
    /// Each call has a cost, whether it returns a change or not, which favours long waits. However,
    /// a call that is never answered must be detected before the change is due: a new configuration
    /// or the draining of an upstream has to take effect within two seconds, a new adapter version
    /// or instance within five.
    #[must_use]
    pub const fn watch_wait(self) -> Duration {
        match self {
            Self::Config | Self::Upstreams => Duration::from_secs(1),
            Self::Versions | Self::Instances => Duration::from_secs(3),
        }
    }

    /// Returns the wait of the watch call that follows a failed request to the watcher.
    ///
    /// Connections to the store may have become silent together with the link to the watcher. With
    /// the usual wait for versions, a call on such a connection would time out only after a new
    /// version is due.
    #[must_use]
    pub const fn fallback_watch_wait(self) -> Duration {
        match self {
            Self::Config | Self::Upstreams | Self::Instances => self.watch_wait(),
            Self::Versions => Duration::from_millis(100),
        }
    }

    /// Returns the delay before the call that follows a change, so that several changes cost one
    /// call.
    ///
    /// Entries of upstreams and, during a start, of instances change many times a second. Half a
    /// second is short compared with the two seconds after which a draining upstream must not
    /// receive any more requests.
    #[must_use]
    pub const fn coalescing_delay(self) -> Duration {
        match self {
            Self::Config | Self::Versions => Duration::ZERO,
            Self::Upstreams | Self::Instances => Duration::from_millis(500),
        }
    }
}
