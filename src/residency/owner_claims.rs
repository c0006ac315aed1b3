//! The claims to failure domains that an owner and its peers exchange.

use std::time::Duration;

use super::owner_state::{OwnerState, ProcessLink};
use super::{ClaimAnswer, DomainLease, LeaseClaim, LoadOwner};
use crate::id::{DomainId, InstanceId};
use crate::peer::{GossipReply, LivePeer, OwnedDomain};
use crate::relay::ObjectKind;
use crate::telemetry::{LogEvent, LogName};

impl LoadOwner {
    /// Returns the result of [`OwnerState::acked_at`], or `None` while a peer knows a later list of
    /// instances: the list may lack one whose acknowledgement is needed, and which takes over.
    pub(super) fn acked_at(&self, state: &OwnerState, domain: &DomainId) -> Option<Duration> {
        let covered = self.fleet.covered_revision(ObjectKind::Instances);
        let is_current = covered >= self.fleet.peer_revision(ObjectKind::Instances);
        state.acked_at(domain).filter(|_| is_current)
    }

    /// Lists the domains that this instance holds, with the epochs of its leases.
    #[must_use]
    pub fn owned_domains(&self) -> Vec<OwnedDomain> {
        let state = self.lock();
        let to_claim = |(domain, lease): (&DomainId, &DomainLease)| {
            let claim = lease.claim()?;
            Some(OwnedDomain {
                domain: domain.as_str().to_owned(),
                epoch: claim.epoch,
                revision: claim.revision,
                vouched_incarnation: 0,
            })
        };
        state.leases.iter().filter_map(to_claim).collect()
    }

    /// Records which processes of the peers are linked. `peers` must have been read just before.
    pub fn observe_links(&self, peers: &[LivePeer]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let to_link = |peer: &LivePeer| {
            let known = state.links.get(&peer.id);
            let known = known.filter(|link| link.incarnation == peer.incarnation);
            let linked_at = known.map_or(now, |link| link.linked_at);
            let incarnation = peer.incarnation;
            let link = ProcessLink {
                incarnation,
                linked_at,
            };
            (peer.id.clone(), link)
        };
        state.links = peers.iter().map(to_link).collect();
        state.update_quorum(now);
    }

    /// Marks the claims to domains that a peer can't have taken over since their epochs began, so
    /// that the peer can acknowledge them after a restart.
    pub fn vouch_claims(&self, peer: &LivePeer, claims: &mut [OwnedDomain]) {
        let state = self.lock();
        let Some(link) = state.links.get(&peer.id) else {
            return;
        };
        for claim in claims {
            let domain = DomainId::from_name(&claim.domain);
            let acked_at = state.acks.get(&domain).and_then(|acks| acks.get(&peer.id));
            let lease = state.leases.get(&domain);
            let is_vouched = lease.is_some_and(|lease| {
                lease.epoch() == Some(claim.epoch)
                    && lease.vouches_for(link.linked_at, acked_at.copied())
            });
            if is_vouched {
                claim.vouched_incarnation = link.incarnation;
            }
        }
    }

    /// Handles the reply to a gossip message that was sent at `sent_at` and claimed `domains`.
    ///
    /// Gives up the leases of the contested domains and records an acknowledgement for those that
    /// the reply acknowledges.
    pub fn handle_gossip_reply(
        &self,
        peer: &InstanceId,
        domains: &[OwnedDomain],
        reply: &GossipReply,
        sent_at: Duration,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        for claim in domains {
            let domain = DomainId::from_name(&claim.domain);
            if reply.contested.contains(&claim.domain) {
                if let Some(lease) = state.leases.get_mut(&domain)
                    && lease.epoch() == Some(claim.epoch)
                {
                    lease.release(now);
                    LogEvent::new(LogName::OwnershipReleased)
                        .with("domain", &domain)
                        .with("reason", "contested")
                        .with("by", peer)
                        .with_count("epoch", claim.epoch)
                        .send();
                }
            } else if reply.acknowledges(&claim.domain) {
                let acks = state.acks.entry(domain).or_default();
                acks.insert(peer.clone(), sent_at);
            }
        }
    }

    /// Answers the claims of a peer; the reply lists the domains that are not acknowledged.
    ///
    /// `incarnation` identifies this process. A claim to a domain without known upstreams is
    /// answered like any other, since an acknowledgement binds this instance when it learns of them.
    pub fn answer_claims(
        &self,
        peer: &InstanceId,
        incarnation: u64,
        claims: &[OwnedDomain],
    ) -> GossipReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut reply = GossipReply::default();
        for claim in claims {
            let domain = DomainId::from_name(&claim.domain);
            let lease = state
                .leases
                .entry(domain.clone())
                .or_insert_with(|| DomainLease::new(domain.clone(), self.instance.clone(), 0, now));
            let lease_claim = LeaseClaim {
                epoch: claim.epoch,
                revision: claim.revision,
                is_vouched: claim.vouched_incarnation == incarnation,
            };
            let known_epoch = lease.known_epoch();
            let answer = lease.answer_claim(peer, lease_claim, now);
            let name = match answer {
                ClaimAnswer::Acknowledged if known_epoch == claim.epoch => continue,
                ClaimAnswer::Acknowledged => LogName::OwnershipAcknowledged,
                ClaimAnswer::Contested => {
                    reply.contested.push(claim.domain.clone());
                    LogName::OwnershipContested
                }
                ClaimAnswer::Unverified => {
                    reply.unverified.push(claim.domain.clone());
                    LogName::OwnershipUnverified
                }
            };
            LogEvent::new(name)
                .with("domain", &domain)
                .with("peer", peer)
                .with_count("epoch", claim.epoch)
                .with_count("known_epoch", known_epoch)
                .send();
        }
        reply
    }

    /// Forgets what peers have claimed about domains without upstreams. The names come from peers, so
    /// that their number is not limited otherwise.
    pub fn forget_idle_domains(&self, is_known: impl Fn(&DomainId) -> bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .leases
            .retain(|domain, lease| is_known(domain) || !lease.is_idle(now));
        state.holders.retain(|domain, holder| {
            is_known(domain) || now.saturating_sub(holder.seen_at) < DomainLease::TAKEOVER_TIMEOUT
        });
    }
}
