use super::PeerIdentity;
use crate::id::InstanceId;

/// A change in the state of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A link was established to a peer that was unknown or dead.
    Joined(PeerIdentity),
    /// The peer's address refuses connections or belongs to another instance, so its process has
    /// ended.
    Refused(InstanceId),
    /// No frame was received from the peer within the peer timeout; it may be paused or
    /// partitioned.
    Silent(InstanceId),
    /// Another process is running under the peer's name.
    Replaced {
        /// The new process.
        now: PeerIdentity,
        /// The incarnation of the process that has ended.
        previous: u64,
    },
    /// The peer is shutting down and accepts no new ownership.
    Draining(InstanceId),
}
