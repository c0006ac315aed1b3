//! The shares of the load that instances tell each other.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::ownership_loop::lock;
use super::{OwnershipLoop, ShareLedger};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::peer::{LoadShare, OwnedDomain, PeerAsk, PeerReply, ShareReply, ask, reply};
use crate::relay::{FeedKind, choose_watcher};
use crate::time::TimerService;

/// Time between two shares of the load with few instances.
const SHARE_PERIOD: Duration = Duration::from_millis(250);

/// Shares that an instance which owns nothing sends in a second at most: 100 peers get each one. A
/// share sent and one taken cost about ten microseconds together, measured with 83 instances.
const SHARES_PER_SECOND: usize = 400;

/// The longest period of shares, in periods of a small fleet; load that is older than a second
/// misleads more than it helps.
const LONGEST_STRIDE: usize = 4;

impl OwnershipLoop {
    /// Tells all peers this instance's share until the process ends.
    pub(super) async fn run_shares(self: Arc<Self>, timers: TimerService) {
        let mut ticks = timers.subscribe(SHARE_PERIOD);
        let in_flight = Arc::new(Mutex::new(BTreeSet::new()));
        let ledger = Arc::new(Mutex::new(ShareLedger::new()));
        let mut periods = 0_usize;
        loop {
            ticks.next().await;
            periods = periods.wrapping_add(1);
            let peers = self.mesh.live_peers();
            lock(&ledger).retain(|id| peers.iter().any(|peer| peer.id == *id));
            let watcher = choose_watcher(&self.instance, &self.domain, &peers);
            self.relay.set_watcher(watcher);
            let is_owner = !self.owner.owned_domains().is_empty();
            if !is_owner && !periods.is_multiple_of(stride(peers.len())) {
                continue;
            }
            let share = self.own_share();
            let now = self.clock.now();
            // An instance sends itself complete items only.
            let _none_unknown = self.view.merge(&self.instance, &share.owned, now);
            self.owner.note_uses(&self.instance, &share.used);
            self.owner
                .hear_holders(&self.instance, to_domains(&share.owned_domains), now);
            for peer in peers {
                let peer = peer.id;
                // One share at a time goes to each peer, so that a slow one gets no backlog.
                if !lock(&in_flight).insert(peer.clone()) {
                    continue;
                }
                let this = Arc::clone(&self);
                let own_items = share.owned.clone();
                let mut share = self.to_peer_share(&peer, &share, now);
                share.owned = lock(&ledger).to_items(&peer, &own_items);
                let (in_flight, ledger) = (Arc::clone(&in_flight), Arc::clone(&ledger));
                tokio::spawn(async move {
                    let claims = share.owned_domains.clone();
                    let body = Some(ask::Body::Share(share));
                    let sent_at = this.clock.now();
                    match this.mesh.ask(&peer, PeerAsk { body }).await {
                        Ok(answer) => {
                            if let Some(reply::Body::Shared(reply)) = answer.body {
                                let contested = &reply.contested;
                                this.owner.note_reply(&peer, &claims, contested, sent_at);
                                lock(&ledger).note_taken(&peer, &own_items, &reply.unknown);
                            }
                        }
                        Err(error) => log::debug!("the share did not reach {peer}: {error}"),
                    }
                    lock(&in_flight).remove(&peer);
                });
            }
        }
    }

    /// Leaves out uses of adapters that concern other owners than the peer.
    fn to_peer_share(&self, peer: &InstanceId, share: &LoadShare, now: Duration) -> LoadShare {
        let concerns = |upstream: &str| {
            let owner = self.view.owner_of(&UpstreamId::from_name(upstream), now);
            // Any peer may be about to take over an upstream without a known owner.
            owner.is_none_or(|owner| owner == *peer)
        };
        let used = share.used.iter().filter(|item| concerns(&item.upstream));
        LoadShare {
            in_flight: share.in_flight.clone(),
            owned: Vec::new(),
            suspects: share.suspects.clone(),
            owned_domains: share.owned_domains.clone(),
            used: used.cloned().collect(),
            config_revision: share.config_revision,
            upstream_revision: share.upstream_revision,
            version_revision: share.version_revision,
            instance_revision: share.instance_revision,
        }
    }

    fn own_share(&self) -> LoadShare {
        let now = self.clock.now();
        let suspects = lock(&self.suspects).own_counts(now);
        LoadShare {
            in_flight: self.board.own_share(),
            owned: self.owner.owned_items(),
            suspects,
            owned_domains: self.owner.owned_domains(),
            used: self.board.take_uses(),
            config_revision: self.fleet.own_revision(FeedKind::Config),
            upstream_revision: self.fleet.own_revision(FeedKind::Upstreams),
            version_revision: self.fleet.own_revision(FeedKind::Versions),
            instance_revision: self.fleet.own_revision(FeedKind::Instances),
        }
    }

    /// Takes a peer's share of the load and replies to it.
    #[must_use]
    pub fn take_share(&self, peer: &InstanceId, share: &LoadShare) -> PeerReply {
        let now = self.clock.now();
        self.board.merge(peer, share, now);
        let unknown = self.view.merge(peer, &share.owned, now);
        self.owner.note_uses(peer, &share.used);
        lock(&self.suspects).merge(peer, &share.suspects, now);
        let revisions = [
            (FeedKind::Config, share.config_revision),
            (FeedKind::Upstreams, share.upstream_revision),
            (FeedKind::Versions, share.version_revision),
            (FeedKind::Instances, share.instance_revision),
        ];
        for (kind, revision) in revisions {
            self.fleet.note_peer_revision(kind, revision);
        }
        let contested = self.owner.answer_claims(&share.owned_domains);
        let is_accepted = |claim: &&OwnedDomain| !contested.contains(&claim.domain);
        let accepted = share.owned_domains.iter().filter(is_accepted);
        self.owner.hear_holders(
            peer,
            accepted.map(|claim| DomainId::from_name(&claim.domain)),
            now,
        );
        let body = Some(reply::Body::Shared(ShareReply { contested, unknown }));
        PeerReply { body }
    }
}

/// Returns after how many periods an instance that owns nothing sends its next share.
fn stride(peers: usize) -> usize {
    let per_second = peers * 1000 / SHARE_PERIOD.as_millis() as usize;
    per_second
        .div_ceil(SHARES_PER_SECOND)
        .clamp(1, LONGEST_STRIDE)
}

fn to_domains(claims: &[OwnedDomain]) -> impl Iterator<Item = DomainId> {
    claims
        .iter()
        .map(|claim| DomainId::from_name(&claim.domain))
}
