use std::time::Duration;

/// A part of what the platform's store tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// Routes and services.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// Adapter versions.
    Versions,
    /// The other instances.
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

    /// Returns the place of the kind in [`ObjectKind::ALL`], which also names it between instances.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Upstreams => 1,
            Self::Versions => 2,
            Self::Instances => 3,
        }
    }

    /// Returns the longest wait of one call that watches the kind.
    ///
    /// Each call has a price, whether it brings a change or not, but a call that is never answered
    /// must be noticed within the two seconds in which a changed configuration or a leaving upstream
    /// has to be in force; a new adapter version or instance has five.
    #[must_use]
    pub const fn watch_wait(self) -> Duration {
        match self {
            Self::Config | Self::Upstreams => Duration::from_secs(1),
            Self::Versions | Self::Instances => Duration::from_secs(3),
        }
    }

    /// Returns the pause after changes of the kind, so that several changes cost one call.
    ///
    /// Entries of upstreams and, at a start, of instances change many times a second; half a second
    /// is short against the two seconds within which a leaving upstream must get no more requests.
    #[must_use]
    pub const fn coalescing_delay(self) -> Duration {
        match self {
            Self::Config | Self::Versions => Duration::ZERO,
            Self::Upstreams | Self::Instances => Duration::from_millis(500),
        }
    }
}
