use std::sync::Arc;
use std::sync::atomic::Ordering;

use prost::Message;

use super::link_core::LinkCore;
use super::mesh_core::MeshCore;
use super::{HeartbeatBody, PeerFrame, frame};
use crate::member::ResidencySender;

/// The state of the node at one heartbeat, shared by all links.
#[derive(Debug)]
pub(super) struct NodeHeartbeat {
    /// The complete state, which each link reduces to a delta.
    pub(super) full: HeartbeatBody,
    /// Number of heartbeats per update of the load of the owned upstreams.
    pub(super) load_interval: u64,
}

/// Builds the heartbeats of one link.
#[derive(Debug)]
pub(super) struct LinkHeartbeats {
    mesh: Arc<MeshCore>,
    core: Arc<LinkCore>,
    sender: ResidencySender,
    /// Heartbeats skipped since the last one that was sent; starts at the maximum, so that the first
    /// heartbeat is never skipped.
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

    /// Returns whether the mesh was stopped, rather than this link given up.
    pub(super) fn is_mesh_stopped(&self) -> bool {
        self.mesh.stop.is_cancelled()
    }

    /// Returns the next heartbeat frame, if one is due.
    ///
    /// Only the primary link of a peer carries content; other links send an occasional keep-alive
    /// without content.
    pub(super) fn next(&mut self, heartbeat: &NodeHeartbeat) -> Option<PeerFrame> {
        let factor = self.core.heartbeat_factor();
        if self.skipped.saturating_add(1) < factor {
            self.skipped += 1;
            return None;
        }
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
            if self.skipped < self.mesh.config.heartbeats_per_keepalive() * factor {
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
