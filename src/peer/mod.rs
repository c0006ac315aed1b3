//! The protocol between instances: frames, links and the mesh of links to all peers.
//!
//! A link carries two kinds of exchanges. A call forwards a caller's request and streams its answer
//! in chunks under flow control. A request is a message of the instances themselves, such as a
//! permit bid, and has a single reply.

mod accept_task;
mod allowance_usage;
mod call_events;
mod call_sink;
mod call_state;
mod call_window;
mod chunk_error;
mod dial_task;
mod frame_codec;
mod frame_limit;
mod handshake;
mod link_activity;
mod link_core;
mod link_heartbeats;
mod link_limits;
mod link_reader;
mod link_streams;
mod link_writer;
mod live_peer;
mod mesh_config;
mod mesh_core;
mod mesh_hooks;
mod message;
mod outgoing_frame;
mod peer_change;
mod peer_entry;
mod peer_identity;
mod peer_link;
mod peer_mesh;
mod refusal;
mod reply_slot;
mod shared_secret;
mod suspect_part;

pub use allowance_usage::AllowanceUsage;
pub use call_events::CallEvents;
pub use call_sink::CallSink;
pub use frame_codec::FrameCodec;
pub use handshake::PROTOCOL_VERSION;
pub use link_limits::LinkLimits;
pub use live_peer::LivePeer;
pub use mesh_config::MeshConfig;
pub use mesh_hooks::{HeartbeatHook, MeshHooks, ReplyFuture};
pub use message::{
    AdapterReply, AdapterRequest, AdapterUsage, CallChunk, CallOpen, ChangeReply, ChangeRequest,
    ChangedObject, ConfigDelta, ConfigPull, GossipReply, HandoverItem, HeartbeatBody, InFlightItem,
    LoadGossip, OwnedDomain, OwnedUpstream, OwnerHandover, PeerFrame, PeerHello, PeerReply,
    PeerRequest, PermitBid, PermitGrant, PermitRelease, RefusalBody, ResidencyItem, ask, chunk,
    frame, reply,
};
pub use peer_change::PeerChange;
pub use peer_identity::PeerIdentity;
pub use peer_link::PeerLink;
pub use peer_mesh::PeerMesh;
pub use shared_secret::SharedSecret;
pub use suspect_part::SuspectPart;
