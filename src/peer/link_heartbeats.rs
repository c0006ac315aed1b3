use std::sync::Arc;
use std::sync::atomic::Ordering;

use prost::Message;

use super::link_core::LinkCore;
use super::mesh_core::MeshCore;
use super::{HeartbeatBody, PeerFrame, frame};
use crate::member::ResidencySender;

/// The state of the node at one heartbeat, for all links.
#[derive(Debug)]
pub(super) struct NodeHeartbeat {
    /// The complete content.
    pub(super) full: HeartbeatBody,
    /// Every how many heartbeats a link tells the load of the owned upstreams.
    pub(super) load_interval: u64,
}

/// Builds the heartbeats of one link.
#[derive(Debug)]
pub(super) struct LinkHeartbeats {
    mesh: Arc<MeshCore>,
    core: Arc<LinkCore>,
    sender: ResidencySender,
    /// Beats since the last heartbeat without content.
    skipped: u32,
}

impl LinkHeartbeats {
    pub(super) fn new(mesh: Arc<MeshCore>, core: Arc<LinkCore>) -> Self {
        Self {
            mesh,
            core,
            sender: ResidencySender::new(),
            skipped: u32::MAX,
        }
    }

    /// Returns the next frame: with content if the link is the one in use for its peer, and
    /// otherwise now and then without, as a sign that the link works.
    pub(super) fn next(&mut self, heartbeat: &NodeHeartbeat) -> Option<PeerFrame> {
        let sequence = self
            .mesh
            .peers()
            .get_mut(&self.core.identity.instance)
            .filter(|entry| entry.is_primary(&self.core))
            .map(|entry| {
                entry.sent_sequence += 1;
                entry.sent_sequence
            });
        let body = if let Some(sequence) = sequence {
            let is_load_due = sequence.is_multiple_of(heartbeat.load_interval);
            HeartbeatBody {
                sequence,
                ..self.sender.next_delta(&heartbeat.full, is_load_due)
            }
        } else {
            self.sender.reset();
            self.skipped = self.skipped.saturating_add(1);
            if self.skipped < self.mesh.config.heartbeats_per_keepalive() {
                return None;
            }
            HeartbeatBody::default()
        };
        self.skipped = 0;
        let frame = PeerFrame {
            stream: 0,
            body: Some(frame::Body::Heartbeat(body)),
        };
        let len = 4 + frame.encoded_len() as u64;
        self.mesh.heartbeat_bytes.fetch_add(len, Ordering::Relaxed);
        Some(frame)
    }
}
