use std::fmt;
use std::pin::Pin;

use super::{CallOpen, CallSink, HeartbeatBody, PeerChange, PeerReply, PeerRequest};
use crate::id::InstanceId;

/// The future of a reply.
pub type ReplyFuture = Pin<Box<dyn Future<Output = PeerReply> + Send>>;

/// Takes the heartbeat of a peer.
pub type HeartbeatHook = Box<dyn Fn(&InstanceId, HeartbeatBody) + Send + Sync>;

/// What the mesh calls in other parts of the node.
///
/// The closures run on the tasks of the links and must not block.
pub struct MeshHooks {
    /// Builds the next heartbeat, with the complete state of all owned upstreams and all suspects;
    /// each link sends only what its peer does not have yet.
    pub heartbeat: Box<dyn Fn() -> HeartbeatBody + Send + Sync>,
    /// Takes the heartbeat of a peer.
    pub on_heartbeat: HeartbeatHook,
    /// Takes a request that a peer forwards, and spawns the work.
    pub on_call: Box<dyn Fn(InstanceId, CallOpen, CallSink) + Send + Sync>,
    /// Replies to a question.
    pub on_request: Box<dyn Fn(InstanceId, PeerRequest) -> ReplyFuture + Send + Sync>,
    /// Takes changes of peers.
    pub on_peer_change: Box<dyn Fn(PeerChange) + Send + Sync>,
}

impl fmt::Debug for MeshHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MeshHooks").finish_non_exhaustive()
    }
}
