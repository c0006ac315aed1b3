//! The protocol between instances: frames, links and the mesh.

mod message;

pub use message::{
    CallChunk, CallOpen, ConfigDelta, ConfigPull, HandoverItem, HeartbeatBody, OwnerHandover,
    PeerAsk, PeerFrame, PeerHello, PeerReply, PermitBid, PermitDone, PermitGrant, RefusalBody,
    ResidencyItem, ask, chunk, frame, reply,
};
