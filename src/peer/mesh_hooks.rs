use std::fmt;
use std::pin::Pin;

use super::{CallOpen, CallSink, HeartbeatBody, PeerChange, PeerReply, PeerRequest};
use crate::id::InstanceId;

/// A future that resolves to the reply to a request.
pub type ReplyFuture = Pin<Box<dyn Future<Output = PeerReply> + Send>>;

/// A callback for the heartbeats of peers; receives the sender and the content.
pub type HeartbeatHook = Box<dyn Fn(&InstanceId, HeartbeatBody) + Send + Sync>;

/// Callbacks by which the mesh obtains state from the other parts of the node and notifies them.
///
/// The closures run on the tasks of the links and must not block.
pub struct MeshHooks {
    /// Returns the complete state for the next heartbeat, with all owned upstreams and all
    /// suspects; each link sends only the difference to what its peer has received.
    pub heartbeat: Box<dyn Fn() -> HeartbeatBody + Send + Sync>,
    /// Called with each heartbeat that has content, unless it arrives out of order or from a process
    /// that was replaced.
    pub on_heartbeat: HeartbeatHook,
    /// Called with each caller's request that a peer forwards; must spawn the work.
    pub on_call: Box<dyn Fn(InstanceId, CallOpen, CallSink) + Send + Sync>,
    /// Called with each request that a peer sends on its own behalf; the future returns the reply.
    pub on_request: Box<dyn Fn(InstanceId, PeerRequest) -> ReplyFuture + Send + Sync>,
    /// Called when the state of a peer changes.
    pub on_peer_change: Box<dyn Fn(PeerChange) + Send + Sync>,
}

impl fmt::Debug for MeshHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeshHooks").finish_non_exhaustive()
    }
}
