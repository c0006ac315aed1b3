use displaydoc::Display;
use log::Level;

/// The name of a log event; each has one meaning, one message and one level.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum LogName {
    /// the node has started
    NodeStarted,
    /// the node is ready for requests
    NodeReady,
    /// the node has begun a graceful shutdown
    ShutdownStarted,
    /// the node has finished its requests and exits
    ShutdownFinished,
    /// the shutdown was interrupted before all requests had finished
    ShutdownInterrupted,
    /// the node cannot start; correct the named fault
    StartFailed,
    /// new tables are in force
    ConfigAdopted,
    /// tables with an older revision were refused
    ConfigStale,
    /// the platform holds older tables than those in force; apply the tables again with `--above`
    ConfigReverted,
    /// tables with faults were refused; correct them with `comfreychute apply`
    ConfigRefused,
    /// a newer version of an adapter is in force
    VersionAdopted,
    /// the watch on the tables failed and is retried
    ConfigWatchFailed,
    /// the platform does not answer this instance, and a peer tells it the changes for some seconds
    WatcherSubstituted,
    /// the platform does not answer; edits and non-repeatable calls wait for it
    PlatformUnreachable,
    /// the platform answers again
    PlatformRecovered,
    /// the platform's store came back from an older copy of itself; what it lost is written again
    StoreRestored,
    /// a link to a peer is open
    PeerConnected,
    /// a link to a peer was closed; the peer is dialled again
    PeerDisconnected,
    /// a peer is considered dead
    PeerDead,
    /// a peer was refused in the handshake; check the shared secret and the versions
    PeerRefused,
    /// ownership of an upstream was acquired
    OwnershipTaken,
    /// ownership of an upstream was released
    OwnershipReleased,
    /// the ownership of another instance was acknowledged, for the first time or with another epoch
    OwnershipAcknowledged,
    /// the ownership of another instance was contested
    OwnershipContested,
    /// this instance has started again and can't tell whether it acquired the ownership later
    OwnershipUnverified,
    /// the engine rejected an order because a newer owner exists
    OwnershipFenced,
    /// this process was paused for longer than its lease; it releases its upstreams
    LeaseLapsed,
    /// an upstream does not answer; check the process and the network
    UpstreamUnreachable,
    /// an upstream answers again
    UpstreamRecovered,
    /// an engine restarted without its adapters
    UpstreamRestarted,
    /// an upstream is draining
    UpstreamDraining,
    /// the store no longer lists an upstream after an outage; it gets requests until the outage is over
    UpstreamKept,
    /// an upstream gets no new requests, because it leaves or wants none for a time
    UpstreamAvoided,
    /// an upstream gets requests again
    UpstreamReadmitted,
    /// the spread of the load of a pool, and the age of the figures that it was derived from
    LoadSpread,
    /// an adapter load was ordered
    LoadOrdered,
    /// an adapter load failed; check the weight store
    LoadFailed,
    /// an adapter eviction was ordered
    EvictOrdered,
    /// an adapter eviction failed
    EvictFailed,
    /// an upstream answered an order
    OrderAnswered,
    /// an order was not answered; it may have taken effect
    OrderLost,
    /// an upstream's report could not be read
    ReportLost,
    /// load permits are held by this instance
    PermitHolderTaken,
    /// callers take more memory or connections than the machine has for them; an unfinished request or a
    /// connection was shed
    CallerShed,
    /// a request was refused before it ran
    RequestRefused,
    /// a request was answered later than its target; the fields break down the time spent
    RequestLate,
    /// a request failed
    RequestFailed,
    /// a request finished
    RequestFinished,
    /// the version of its adapter had become outdated before the response to a request began
    RequestOutdated,
    /// a request is retried on another upstream
    RequestRetried,
    /// an answer was cut off before its end
    AnswerTruncated,
    /// a run ended without its whole answer, which counts as a crash of its upstream
    CrashCounted,
    /// a run ended without its whole answer, but its upstream has not crashed
    AnswerLost,
    /// a workspace asks for more than its allowance; requests beyond it are refused
    WorkspaceLimited,
    /// a part of prompts crashed upstreams repeatedly; requests with it are refused
    PartRefused,
    /// a request with a refused part is sent, to see whether it still crashes its upstream
    PartTried,
    /// requests with a refused part are served again
    PartCleared,
    /// an answer for another attempt or adapter was discarded
    AnswerMismatch,
    /// a request crashed upstreams repeatedly and is refused
    RequestQuarantined,
    /// a claim could not be written; the request was refused as not run
    ClaimFailed,
    /// audit records were lost; the field `count` holds their number
    AuditLost,
    /// the audit trail could not be written and is retried
    AuditWriteFailed,
    /// a task ended unexpectedly; report it with the lines around it
    InternalFault,
    /// the settings file was reloaded
    SettingsReloaded,
    /// the changed settings file has faults, the former settings stay in force; correct the file
    SettingsRefused,
    /// log lines were suppressed; see the metrics for complete counts
    LinesLeftOut,
    /// a message of a library
    Library,
}

impl LogName {
    /// All names, in declaration order, so that `name as usize` is the index.
    pub const ALL: [Self; 67] = [
        Self::NodeStarted,
        Self::NodeReady,
        Self::ShutdownStarted,
        Self::ShutdownFinished,
        Self::ShutdownInterrupted,
        Self::StartFailed,
        Self::ConfigAdopted,
        Self::ConfigStale,
        Self::ConfigReverted,
        Self::ConfigRefused,
        Self::VersionAdopted,
        Self::ConfigWatchFailed,
        Self::WatcherSubstituted,
        Self::PlatformUnreachable,
        Self::PlatformRecovered,
        Self::StoreRestored,
        Self::PeerConnected,
        Self::PeerDisconnected,
        Self::PeerDead,
        Self::PeerRefused,
        Self::OwnershipTaken,
        Self::OwnershipReleased,
        Self::OwnershipAcknowledged,
        Self::OwnershipContested,
        Self::OwnershipUnverified,
        Self::OwnershipFenced,
        Self::LeaseLapsed,
        Self::UpstreamUnreachable,
        Self::UpstreamRecovered,
        Self::UpstreamRestarted,
        Self::UpstreamDraining,
        Self::UpstreamKept,
        Self::UpstreamAvoided,
        Self::UpstreamReadmitted,
        Self::LoadSpread,
        Self::LoadOrdered,
        Self::LoadFailed,
        Self::EvictOrdered,
        Self::EvictFailed,
        Self::OrderAnswered,
        Self::OrderLost,
        Self::ReportLost,
        Self::PermitHolderTaken,
        Self::CallerShed,
        Self::RequestRefused,
        Self::RequestLate,
        Self::RequestFailed,
        Self::RequestFinished,
        Self::RequestOutdated,
        Self::RequestRetried,
        Self::AnswerTruncated,
        Self::CrashCounted,
        Self::AnswerLost,
        Self::WorkspaceLimited,
        Self::PartRefused,
        Self::PartTried,
        Self::PartCleared,
        Self::AnswerMismatch,
        Self::RequestQuarantined,
        Self::ClaimFailed,
        Self::AuditLost,
        Self::AuditWriteFailed,
        Self::InternalFault,
        Self::SettingsReloaded,
        Self::SettingsRefused,
        Self::LinesLeftOut,
        Self::Library,
    ];

    /// Returns the value of the field `event`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NodeStarted => "node_started",
            Self::NodeReady => "node_ready",
            Self::ShutdownStarted => "shutdown_started",
            Self::ShutdownFinished => "shutdown_finished",
            Self::ShutdownInterrupted => "shutdown_interrupted",
            Self::StartFailed => "start_failed",
            Self::ConfigAdopted => "config_adopted",
            Self::ConfigStale => "config_stale",
            Self::ConfigReverted => "config_reverted",
            Self::ConfigRefused => "config_refused",
            Self::VersionAdopted => "version_adopted",
            Self::ConfigWatchFailed => "config_watch_failed",
            Self::WatcherSubstituted => "watcher_substituted",
            Self::PlatformUnreachable => "platform_unreachable",
            Self::PlatformRecovered => "platform_recovered",
            Self::StoreRestored => "store_restored",
            Self::PeerConnected => "peer_connected",
            Self::PeerDisconnected => "peer_disconnected",
            Self::PeerDead => "peer_dead",
            Self::PeerRefused => "peer_refused",
            Self::OwnershipTaken => "ownership_taken",
            Self::OwnershipReleased => "ownership_released",
            Self::OwnershipAcknowledged => "ownership_acknowledged",
            Self::OwnershipContested => "ownership_contested",
            Self::OwnershipUnverified => "ownership_unverified",
            Self::OwnershipFenced => "ownership_fenced",
            Self::LeaseLapsed => "lease_lapsed",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::UpstreamRecovered => "upstream_recovered",
            Self::UpstreamRestarted => "upstream_restarted",
            Self::UpstreamDraining => "upstream_draining",
            Self::UpstreamKept => "upstream_kept",
            Self::UpstreamAvoided => "upstream_avoided",
            Self::UpstreamReadmitted => "upstream_readmitted",
            Self::LoadSpread => "load_spread",
            Self::LoadOrdered => "load_ordered",
            Self::LoadFailed => "load_failed",
            Self::EvictOrdered => "evict_ordered",
            Self::EvictFailed => "evict_failed",
            Self::OrderAnswered => "order_answered",
            Self::OrderLost => "order_lost",
            Self::ReportLost => "report_lost",
            Self::PermitHolderTaken => "permit_holder_taken",
            Self::CallerShed => "caller_shed",
            Self::RequestRefused => "request_refused",
            Self::RequestLate => "request_late",
            Self::RequestFailed => "request_failed",
            Self::RequestFinished => "request_finished",
            Self::RequestOutdated => "request_outdated",
            Self::RequestRetried => "request_retried",
            Self::AnswerTruncated => "answer_truncated",
            Self::CrashCounted => "crash_counted",
            Self::AnswerLost => "answer_lost",
            Self::WorkspaceLimited => "workspace_limited",
            Self::PartRefused => "part_refused",
            Self::PartTried => "part_tried",
            Self::PartCleared => "part_cleared",
            Self::AnswerMismatch => "answer_mismatch",
            Self::RequestQuarantined => "request_quarantined",
            Self::ClaimFailed => "claim_failed",
            Self::AuditLost => "audit_lost",
            Self::AuditWriteFailed => "audit_write_failed",
            Self::InternalFault => "internal_fault",
            Self::SettingsReloaded => "settings_reloaded",
            Self::SettingsRefused => "settings_refused",
            Self::LinesLeftOut => "lines_left_out",
            Self::Library => "library",
        }
    }

    /// Returns the level at which the event is logged.
    #[must_use]
    pub const fn level(self) -> Level {
        match self {
            Self::StartFailed
            | Self::ShutdownInterrupted
            | Self::ConfigRefused
            | Self::SettingsRefused
            | Self::InternalFault => Level::Error,
            Self::ConfigReverted
            | Self::ConfigWatchFailed
            | Self::PlatformUnreachable
            | Self::PeerDead
            | Self::PeerRefused
            | Self::OwnershipFenced
            | Self::LeaseLapsed
            | Self::UpstreamUnreachable
            | Self::UpstreamRestarted
            | Self::LoadFailed
            | Self::OrderLost
            | Self::ReportLost
            | Self::EvictFailed
            | Self::AnswerTruncated
            | Self::AnswerMismatch
            | Self::RequestFailed
            | Self::RequestQuarantined
            | Self::ClaimFailed
            | Self::AuditLost
            | Self::AuditWriteFailed
            | Self::LinesLeftOut => Level::Warn,
            Self::RequestFinished | Self::LoadOrdered | Self::EvictOrdered | Self::ConfigStale => {
                Level::Debug
            }
            _ => Level::Info,
        }
    }
}
