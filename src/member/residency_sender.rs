use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::peer::{HeartbeatBody, ResidencyItem};

/// Maximum number of bytes of residency and suspects in one heartbeat; the rest follows in the next
/// one.
///
/// This is half of the length that a peer accepts for a heartbeat.
const MAX_CONTENT_BYTES: usize = 128 * 1024;

/// Computes the heartbeats of one link as deltas to what its peer has already received.
///
/// The adapters of an upstream are sent as a complete list once per link and as changes from then
/// on.
#[derive(Debug, Default)]
pub struct ResidencySender {
    is_started: bool,
    next_number: u32,
    sent: BTreeMap<String, SentUpstream>,
    suspects: BTreeMap<u64, u32>,
    reachable: Vec<String>,
}

/// The last state of one upstream that was sent to the peer.
#[derive(Debug)]
struct SentUpstream {
    number: u32,
    epoch: u64,
    running: u32,
    queued: Vec<u32>,
    is_healthy: bool,
    adapters: BTreeSet<String>,
}

impl ResidencySender {
    /// Creates the sender of a new link, which starts with the complete state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Discards the state that was sent, so that the next heartbeats start with the complete state
    /// again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the next heartbeat as a delta to the previous ones.
    ///
    /// The `residency` of `full` must list all owned upstreams with all their adapters in `added`,
    /// and its `suspects` and `reachable` must be complete. Upstreams of which only the numbers of
    /// running and queued requests changed are left out unless `is_load_due`; these numbers change
    /// constantly and account for most of the traffic.
    pub fn next_delta(&mut self, full: &HeartbeatBody, is_load_due: bool) -> HeartbeatBody {
        let mut body = HeartbeatBody {
            sequence: full.sequence,
            revision: full.revision,
            is_draining: full.is_draining,
            is_first: !self.is_started,
            ..HeartbeatBody::default()
        };
        self.is_started = true;
        if self.reachable != full.reachable {
            self.reachable.clone_from(&full.reachable);
            body.reachable.clone_from(&full.reachable);
        }
        let mut free_bytes = MAX_CONTENT_BYTES;
        self.add_dropped(full, &mut body);
        for item in &full.residency {
            let Some(delta) = self.delta_for(item, is_load_due) else {
                continue;
            };
            let len = delta.encoded_len();
            if len > free_bytes && !body.residency.is_empty() {
                break;
            }
            free_bytes = free_bytes.saturating_sub(len);
            self.record_sent(item, delta.number);
            body.residency.push(delta);
        }
        self.add_suspects(full, &mut body, free_bytes);
        body
    }

    /// Returns the changes of an upstream, or `None` if nothing needs to be sent.
    fn delta_for(&mut self, item: &ResidencyItem, is_load_due: bool) -> Option<ResidencyItem> {
        let Some(sent) = self
            .sent
            .get(&item.upstream)
            .filter(|sent| sent.epoch == item.epoch)
        else {
            let number = self.sent.get(&item.upstream).map_or_else(
                || {
                    self.next_number += 1;
                    self.next_number
                },
                |sent| sent.number,
            );
            return Some(ResidencyItem {
                number,
                is_full: true,
                is_dropped: false,
                removed: Vec::new(),
                ..item.clone()
            });
        };
        let is_added = |adapter: &&String| !sent.adapters.contains(*adapter);
        let added: Vec<_> = item.added.iter().filter(is_added).cloned().collect();
        let present: BTreeSet<_> = item.added.iter().collect();
        let is_removed = |adapter: &&String| !present.contains(adapter);
        let removed: Vec<_> = sent.adapters.iter().filter(is_removed).cloned().collect();
        let is_same = added.is_empty()
            && removed.is_empty()
            && sent.is_healthy == item.is_healthy
            && (!is_load_due || sent.running == item.running && sent.queued == item.queued);
        (!is_same).then(|| ResidencyItem {
            number: sent.number,
            running: item.running,
            queued: item.queued.clone(),
            is_healthy: item.is_healthy,
            added,
            removed,
            ..ResidencyItem::default()
        })
    }

    fn record_sent(&mut self, item: &ResidencyItem, number: u32) {
        let sent = SentUpstream {
            number,
            epoch: item.epoch,
            running: item.running,
            queued: item.queued.clone(),
            is_healthy: item.is_healthy,
            adapters: item.added.iter().cloned().collect(),
        };
        self.sent.insert(item.upstream.clone(), sent);
    }

    fn add_dropped(&mut self, full: &HeartbeatBody, body: &mut HeartbeatBody) {
        let owned: BTreeSet<_> = full.residency.iter().map(|item| &item.upstream).collect();
        self.sent.retain(|upstream, sent| {
            let is_owned = owned.contains(upstream);
            if !is_owned {
                body.residency.push(ResidencyItem {
                    number: sent.number,
                    is_dropped: true,
                    ..ResidencyItem::default()
                });
            }
            is_owned
        });
    }

    fn add_suspects(&mut self, full: &HeartbeatBody, body: &mut HeartbeatBody, free_bytes: usize) {
        // An encoded entry takes up to 20 bytes.
        let max_entries = free_bytes / 20;
        for (fingerprint, count) in &full.suspects {
            if body.suspects.len() >= max_entries {
                break;
            }
            if self.suspects.get(fingerprint) != Some(count) {
                body.suspects.insert(*fingerprint, *count);
                self.suspects.insert(*fingerprint, *count);
            }
        }
        self.suspects
            .retain(|fingerprint, _| full.suspects.contains_key(fingerprint));
    }
}
