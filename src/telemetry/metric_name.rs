/// The name of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum MetricName {
    /// Requests accepted, by pool and rank.
    Requests,
    /// Requests that waited for an adapter load, by pool and rank.
    LoadStalls,
    /// Time in the queue of an upstream, by pool and rank.
    QueueWait,
    /// Time from acceptance to the first token, by pool and rank.
    FirstToken,
    /// Running requests as a share of the batch size in percent, by pool.
    BatchOccupancy,
    /// Requests refused, by pool and reason.
    Refusals,
    /// Requests dispatched again, by pool and reason.
    Retries,
    /// Adapter loads ordered, by pool.
    Loads,
    /// Adapter evictions ordered, by pool.
    Evictions,
    /// Revision of the tables in force.
    ConfigRevision,
    /// Bytes sent to peers besides requests and answers.
    ControlBytes,
    /// Calls to the platform.
    PlatformCalls,
}

impl MetricName {
    /// All names, in the order of their numbers.
    pub const ALL: [Self; 12] = [
        Self::Requests,
        Self::LoadStalls,
        Self::QueueWait,
        Self::FirstToken,
        Self::BatchOccupancy,
        Self::Refusals,
        Self::Retries,
        Self::Loads,
        Self::Evictions,
        Self::ConfigRevision,
        Self::ControlBytes,
        Self::PlatformCalls,
    ];

    /// Returns the name sent to the collector.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::LoadStalls => "load_stalls",
            Self::QueueWait => "queue_wait",
            Self::FirstToken => "first_token",
            Self::BatchOccupancy => "batch_occupancy",
            Self::Refusals => "refusals",
            Self::Retries => "retries",
            Self::Loads => "loads",
            Self::Evictions => "evictions",
            Self::ConfigRevision => "config_revision",
            Self::ControlBytes => "control_bytes",
            Self::PlatformCalls => "platform_calls",
        }
    }

    /// Returns the position in [`MetricName::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
