use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::peer::{HeartbeatBody, ResidencyItem};

/// Bytes of residency and suspects in one heartbeat; the rest follows in the next one.
///
/// Half of what a peer accepts as a heartbeat.
const MAX_BYTES: usize = 128 * 1024;

/// Reduces complete heartbeats to what the peer at the other end of one link does not have yet.
///
/// An upstream's adapters are sent as a complete list once per link and as changes from then on.
#[derive(Debug, Default)]
pub struct ResidencySender {
    is_begun: bool,
    next_number: u32,
    sent: BTreeMap<String, SentUpstream>,
    suspects: BTreeMap<u64, u32>,
    reachable: Vec<String>,
}

/// What the peer knows about one upstream.
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
    /// Creates the sender of a new link.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets what was sent, so that the next heartbeat starts over.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Reduces a heartbeat whose `residency` lists all owned upstreams with all their adapters in
    /// `added`, and whose `suspects` and `reachable` are complete.
    ///
    /// Upstreams of which only the numbers of running and queued requests changed are left out
    /// unless `is_load_due`; these numbers change all the time and make up most of the traffic.
    pub fn next_delta(&mut self, full: &HeartbeatBody, is_load_due: bool) -> HeartbeatBody {
        let mut body = HeartbeatBody {
            sequence: full.sequence,
            revision: full.revision,
            is_draining: full.is_draining,
            is_first: !self.is_begun,
            ..HeartbeatBody::default()
        };
        self.is_begun = true;
        if self.reachable != full.reachable {
            self.reachable.clone_from(&full.reachable);
            body.reachable.clone_from(&full.reachable);
        }
        let mut room = MAX_BYTES;
        self.reduce_dropped(full, &mut body);
        for item in &full.residency {
            let Some(change) = self.change(item, is_load_due) else {
                continue;
            };
            let len = change.encoded_len();
            if len > room && !body.residency.is_empty() {
                break;
            }
            room = room.saturating_sub(len);
            self.note(item, change.number);
            body.residency.push(change);
        }
        self.reduce_suspects(full, &mut body, room);
        body
    }

    /// Returns what changed; none if the peer knows everything.
    fn change(&mut self, item: &ResidencyItem, is_load_due: bool) -> Option<ResidencyItem> {
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

    fn note(&mut self, item: &ResidencyItem, number: u32) {
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

    fn reduce_dropped(&mut self, full: &HeartbeatBody, body: &mut HeartbeatBody) {
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

    fn reduce_suspects(&mut self, full: &HeartbeatBody, body: &mut HeartbeatBody, room: usize) {
        // An encoded entry takes up to 20 bytes.
        let most = room / 20;
        for (print, count) in &full.suspects {
            if body.suspects.len() >= most {
                break;
            }
            if self.suspects.get(print) != Some(count) {
                body.suspects.insert(*print, *count);
                self.suspects.insert(*print, *count);
            }
        }
        self.suspects
            .retain(|print, _| full.suspects.contains_key(print));
    }
}
