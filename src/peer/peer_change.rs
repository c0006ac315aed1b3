use super::PeerIdentity;
use crate::id::InstanceId;

/// A change in what the mesh knows about a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// A link to a peer works that was unknown or dead before.
    Joined(PeerIdentity),
    /// The peer's address refuses connections or answers for another instance, so that its process
    /// has ended.
    Refused(InstanceId),
    /// The peer has not been heard for the peer timeout; it may be paused or cut off.
    Silent(InstanceId),
    /// Another process runs under the peer's name.
    Replaced {
        /// The new process.
        now: PeerIdentity,
        /// The incarnation of the process that has ended.
        previous: u64,
    },
    /// The peer is shutting down and takes no new ownership.
    Draining(InstanceId),
}
