/// The name of a metric; the documentation of each variant lists the labels of the metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum MetricName {
    /// Requests accepted, by pool and rank.
    Requests,
    /// Requests that waited for an adapter load, by pool and rank.
    LoadStalls,
    /// Time in the queue of an upstream, by pool and rank.
    QueueWait,
    /// Time from the acceptance of a request to its first token, by pool and rank.
    FirstToken,
    /// Time for which a newer version of the adapter had been known when a request started on an
    /// older one, by pool and rank.
    OutdatedStart,
    /// Time for which a request was held, because its prompt would have made the streams of the
    /// chosen upstream late, by pool and rank.
    HoldTime,
    /// Ends of streams from upstreams, by pool and outcome.
    StreamEnds,
    /// Responses in which an upstream says that it leaves or wants no requests for a time, by pool and
    /// cause.
    Notices,
    /// Responses whose stated load was ignored because it is malformed or implausible, by pool.
    IgnoredLoads,
    /// Requests at the busiest upstream as a percentage of the mean of all, by pool; only where
    /// upstreams state their load.
    UpstreamSpread,
    /// Age of the oldest figure on the load of the candidates of a choice, by pool; only where
    /// upstreams state their load.
    FigureAge,
    /// Running requests as a percentage of the maximum batch size, by pool.
    BatchOccupancy,
    /// Requests refused, by pool and reason.
    Refusals,
    /// Unfinished requests and connections that were shed, by reason.
    CallersShed,
    /// Bytes of callers' heads, bodies and unread answers in memory.
    CallerBytes,
    /// Bytes that the process has allocated.
    AllocatedBytes,
    /// Requests refused because they exceed the allowance of their workspace, with the workspace as
    /// pool.
    AllowanceRefusals,
    /// Parts of prompts that were refused because they crashed upstreams.
    RefusedParts,
    /// Requests dispatched again, by pool and reason.
    Retries,
    /// Adapter loads ordered, by pool.
    Loads,
    /// Adapter evictions ordered, by pool.
    Evictions,
    /// Revision of the tables in force.
    ConfigRevision,
    /// Bytes of heartbeat frames sent to peers.
    ControlBytes,
    /// Panics of the process since it started.
    Panics,
    /// Calls to the platform; the adapter crate in `platform/` labels them by kind and purpose.
    PlatformCalls,
}

impl MetricName {
    /// All names, in declaration order.
    pub const ALL: [Self; 25] = [
        Self::Requests,
        Self::LoadStalls,
        Self::QueueWait,
        Self::FirstToken,
        Self::OutdatedStart,
        Self::HoldTime,
        Self::StreamEnds,
        Self::Notices,
        Self::IgnoredLoads,
        Self::UpstreamSpread,
        Self::FigureAge,
        Self::BatchOccupancy,
        Self::Refusals,
        Self::CallersShed,
        Self::CallerBytes,
        Self::AllocatedBytes,
        Self::AllowanceRefusals,
        Self::RefusedParts,
        Self::Retries,
        Self::Loads,
        Self::Evictions,
        Self::ConfigRevision,
        Self::ControlBytes,
        Self::Panics,
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
            Self::OutdatedStart => "outdated_start",
            Self::HoldTime => "hold_time",
            Self::StreamEnds => "stream_ends",
            Self::Notices => "notices",
            Self::IgnoredLoads => "ignored_loads",
            Self::UpstreamSpread => "upstream_spread",
            Self::FigureAge => "figure_age",
            Self::BatchOccupancy => "batch_occupancy",
            Self::Refusals => "refusals",
            Self::CallersShed => "callers_shed",
            Self::CallerBytes => "caller_bytes",
            Self::AllocatedBytes => "allocated_bytes",
            Self::AllowanceRefusals => "allowance_refusals",
            Self::RefusedParts => "refused_parts",
            Self::Retries => "retries",
            Self::Loads => "loads",
            Self::Evictions => "evictions",
            Self::ConfigRevision => "config_revision",
            Self::ControlBytes => "control_bytes",
            Self::Panics => "panics",
            Self::PlatformCalls => "platform_calls",
        }
    }

    /// Returns the position in [`MetricName::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
