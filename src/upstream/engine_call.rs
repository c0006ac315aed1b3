use bytes::Bytes;

use crate::id::{AttemptId, EngineName, OwnerEpoch, RequestRank};

/// A completion to dispatch to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCall {
    /// The attempt, which the engine repeats in each event.
    pub attempt: AttemptId,
    /// The name under which the adapter is loaded.
    pub name: EngineName,
    /// The epoch of the owner that dispatches the call, which is the fencing token.
    pub epoch: OwnerEpoch,
    /// The rank, which the engine uses as the priority.
    pub rank: RequestRank,
    /// The caller's JSON request, unchanged.
    pub body: Bytes,
}
