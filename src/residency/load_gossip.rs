//! Exchange of gossip messages: in-flight load, residency, ownership claims and suspect parts.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::ownership_loop::lock;
use super::{AckTracker, DigestedItem, GossipScope, GossipTree, OwnershipLoop};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::peer::{
    AdapterUsage, GossipReply, LivePeer, LoadGossip, OwnedDomain, PeerReply, PeerRequest,
    SuspectPart, ask, reply,
};
use crate::policy::PartChange;
use crate::relay::{ObjectKind, elect_watcher};
use crate::time::TimerService;

/// The peers that have not replied to a message yet, each with the message's `is_load_only` flag.
/// The flag keeps the two kinds apart, so that the frequent load-only messages never delay claims.
type PendingReplies = Arc<Mutex<BTreeSet<(InstanceId, bool)>>>;

/// Interval of messages to a peer. With older load figures, many instances choose the same upstream
/// at once.
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Interval of load messages to a peer that aggregates them, so that the total is not much older
/// than in a full mesh.
const AGGREGATOR_PERIOD: Duration = Duration::from_millis(125);

/// Maximum number of suspect parts in one message; the others follow in the next one.
const MAX_PARTS: usize = 128;

/// What a message tells besides the load, to be recorded when the peer acknowledges it.
#[derive(Debug, Default)]
struct GossipContent {
    own_items: Arc<Vec<DigestedItem>>,
    /// The number of the last change of suspect parts.
    told_parts: u64,
}

impl OwnershipLoop {
    /// Sends gossip messages to the peers until the process ends.
    pub async fn run_gossip(self: Arc<Self>, timers: TimerService) {
        let mut ticks = timers.subscribe(AGGREGATOR_PERIOD);
        let pending = Arc::new(Mutex::new(BTreeSet::new()));
        let acks = Arc::new(Mutex::new(AckTracker::new()));
        // Peers whose last message listed adapter uses; they must also receive the empty list.
        let mut peers_with_uses = BTreeSet::new();
        let mut gossiped_at = None;
        loop {
            ticks.next().await;
            let now = self.clock.now();
            let peers = self.mesh.live_peers();
            self.owner.observe_links(&peers);
            self.sync_allowances();
            lock(&acks).retain(|id| peers.iter().any(|peer| peer.id == *id));
            let watcher = elect_watcher(&self.instance, &self.domain, &peers);
            self.relay.set_watcher(watcher);
            let children = self.tracker.children(now);
            let tree = GossipTree::new(&self.instance, &self.domain, &peers, children);
            // A tick may arrive slightly early.
            let is_due =
                gossiped_at.is_none_or(|at| now + AGGREGATOR_PERIOD / 2 >= at + GOSSIP_PERIOD);
            if !is_due {
                let aggregators = peers.iter().filter(|peer| tree.is_aggregator(&peer.id));
                for peer in aggregators {
                    let mut message = self.load_message(&tree, &peer.id, now);
                    message.is_load_only = true;
                    self.send_gossip(peer, message, GossipContent::default(), (&pending, &acks));
                }
                continue;
            }
            gossiped_at = Some(now);
            self.part_guard.remove_expired();
            self.part_guard.evaluate();
            let lower = peers.iter().filter(|peer| peer.id < self.instance);
            self.part_guard.set_place(lower.count(), peers.len() + 1);
            let own = self.own_state();
            // Items of this instance are never marked as unchanged here, so none is unknown.
            let _unknown = self.directory.merge(&self.instance, &own.owned, now);
            self.owner.record_uses(&self.instance, &own.used);
            self.owner
                .record_holders(&self.instance, to_domains(&own.owned_domains), now);
            let owned = own.owned.iter().cloned().map(DigestedItem::new);
            let owned = Arc::new(owned.collect::<Vec<_>>());
            let used = self.with_owners(&own.used, now);
            for peer in &peers {
                let load = self.load_message(&tree, &peer.id, now);
                let mut message = Self::full_message(load, peer, &own, &owned, &used, &lock(&acks));
                let known_parts = lock(&acks).acked_parts(&peer.id, peer.incarnation);
                let (parts, told_parts) = self.part_guard.changes_after(known_parts, MAX_PARTS);
                message.suspect_parts = parts.iter().map(SuspectPart::from_change).collect();
                if self.fleet.knows_refusals() && parts.len() < MAX_PARTS {
                    message.informed_incarnation = peer.incarnation;
                }
                let is_informed = lock(&acks).has_acked_parts(&peer.id, peer.incarnation);
                self.owner.vouch_claims(peer, &mut message.owned_domains);
                let had_uses = if message.used.is_empty() {
                    peers_with_uses.remove(&peer.id)
                } else {
                    peers_with_uses.insert(peer.id.clone());
                    true
                };
                let has_content = !message.is_without_load
                    || had_uses
                    || !message.owned_domains.is_empty()
                    || !message.suspect_parts.is_empty()
                    || message.informed_incarnation != 0 && !is_informed;
                if has_content {
                    let content = GossipContent {
                        own_items: Arc::clone(&owned),
                        told_parts,
                    };
                    self.send_gossip(peer, message, content, (&pending, &acks));
                }
            }
        }
    }

    /// Takes over the allowances of the configuration in force.
    fn sync_allowances(&self) {
        if let Some(routes) = self.fleet.routes() {
            self.allowances.set_workspaces(routes.workspaces());
        }
    }

    /// Sends a message in the background. Skips it while the reply to an earlier message of the
    /// same kind is outstanding, so that no backlog builds up at a slow peer.
    fn send_gossip(
        self: &Arc<Self>,
        peer: &LivePeer,
        message: LoadGossip,
        content: GossipContent,
        (pending, acks): (&PendingReplies, &Arc<Mutex<AckTracker>>),
    ) {
        let slot = (peer.id.clone(), message.is_load_only);
        if !lock(pending).insert(slot.clone()) {
            return;
        }
        let (this, peer) = (Arc::clone(self), peer.clone());
        let (pending, acks) = (Arc::clone(pending), Arc::clone(acks));
        tokio::spawn(async move {
            let claims = message.owned_domains.clone();
            let is_load_only = message.is_load_only;
            let body = Some(ask::Body::Share(message));
            let sent_at = this.clock.now();
            match this.mesh.request(&peer.id, PeerRequest { body }).await {
                Ok(answer) => {
                    if let Some(reply::Body::Shared(reply)) = answer.body {
                        this.owner
                            .handle_gossip_reply(&peer.id, &claims, &reply, sent_at);
                        let mut acks = lock(&acks);
                        if !content.own_items.is_empty() {
                            acks.record_acked(&peer.id, &content.own_items, &reply.unknown);
                        }
                        if !is_load_only {
                            let told = content.told_parts;
                            acks.record_acked_parts(&peer.id, peer.incarnation, told);
                        }
                    }
                }
                Err(error) => log::debug!("gossip message to {} failed: {error}", peer.id),
            }
            lock(&pending).remove(&slot);
        });
    }

    /// Pairs adapter uses with the owners of their upstreams.
    fn with_owners<'a>(
        &self,
        used: &'a [AdapterUsage],
        now: Duration,
    ) -> Vec<(&'a AdapterUsage, Option<InstanceId>)> {
        let owner_of = |item: &AdapterUsage| {
            let upstream = UpstreamId::from_name(&item.upstream);
            self.directory.owner_of(&upstream, now)
        };
        used.iter().map(|item| (item, owner_of(item))).collect()
    }

    /// Adds residency, claims and adapter uses to a load message for a peer.
    fn full_message(
        load: LoadGossip,
        peer: &LivePeer,
        own: &LoadGossip,
        owned: &[DigestedItem],
        used: &[(&AdapterUsage, Option<InstanceId>)],
        acks: &AckTracker,
    ) -> LoadGossip {
        // Any peer may be taking over an upstream without a known owner.
        let is_for_peer = |known: &Option<InstanceId>| {
            let known = known.as_ref();
            known.is_none_or(|known| *known == peer.id)
        };
        let used = used.iter().filter(|(_, known)| is_for_peer(known));
        let used = used.map(|(item, _)| (*item).clone()).collect();
        LoadGossip {
            owned: acks.items_for(&peer.id, owned),
            owned_domains: own.owned_domains.clone(),
            used,
            ..load
        }
    }

    /// Returns a message with the load in the peer's scope and the known revisions of the store.
    fn load_message(&self, tree: &GossipTree, peer: &InstanceId, now: Duration) -> LoadGossip {
        let scope = tree.scope_for(peer);
        let is_included = |other: &InstanceId| match scope {
            Some(GossipScope::Own) | None => false,
            Some(GossipScope::Subtree) => tree.children().contains(other),
            Some(GossipScope::Remainder) => other != peer,
        };
        let mut allowances = Vec::new();
        let (mut in_flight, mut instances) = (Vec::new(), 0);
        if scope.is_some() {
            (in_flight, instances) = self.tracker.sum_load(now, is_included);
            allowances = self.allowances.usages(is_included);
        }
        LoadGossip {
            in_flight,
            instances,
            allowances,
            is_without_load: scope.is_none(),
            is_child: tree.is_parent(peer),
            config_revision: self.fleet.known_revision(ObjectKind::Config),
            upstream_revision: self.fleet.known_revision(ObjectKind::Upstreams),
            version_revision: self.fleet.known_revision(ObjectKind::Versions),
            instance_revision: self.fleet.known_revision(ObjectKind::Instances),
            config_version: self.fleet.routes().map_or(0, |routes| routes.version()),
            ..LoadGossip::default()
        }
    }

    /// Returns the residency, claims and adapter uses of this instance, without the load.
    fn own_state(&self) -> LoadGossip {
        LoadGossip {
            owned: self.owner.owned_items(),
            owned_domains: self.owner.owned_domains(),
            used: self.tracker.take_adapter_uses(),
            ..LoadGossip::default()
        }
    }

    /// Handles a peer's gossip message; returns the reply, which lists the claims that are not
    /// acknowledged and unknown upstreams.
    #[must_use]
    pub fn receive_gossip(&self, peer: &InstanceId, message: &LoadGossip) -> PeerReply {
        let now = self.clock.now();
        if !message.is_without_load {
            self.tracker.record_peer_load(peer, message, now);
            self.allowances
                .record_peer(peer, &message.allowances, message.instances);
        }
        let revisions = [
            (ObjectKind::Config, message.config_revision),
            (ObjectKind::Upstreams, message.upstream_revision),
            (ObjectKind::Versions, message.version_revision),
            (ObjectKind::Instances, message.instance_revision),
        ];
        for (kind, revision) in revisions {
            self.fleet.record_peer_revision(kind, revision);
        }
        self.fleet.record_peer_version(message.config_version);
        if message.is_load_only {
            let body = Some(reply::Body::Shared(GossipReply::default()));
            return PeerReply { body };
        }
        let unknown = self.directory.merge(peer, &message.owned, now);
        self.owner.record_uses(peer, &message.used);
        let parts = message.suspect_parts.iter().take(MAX_PARTS);
        let parts: Vec<PartChange> = parts.map(SuspectPart::to_change).collect();
        self.part_guard.merge(&parts);
        let incarnation = self.mesh.incarnation();
        if message.informed_incarnation == incarnation {
            self.fleet.record_refusals_known();
        }
        let answer = self
            .owner
            .answer_claims(peer, incarnation, &message.owned_domains);
        let is_accepted = |claim: &&OwnedDomain| answer.acknowledges(&claim.domain);
        let accepted = message.owned_domains.iter().filter(is_accepted);
        self.owner.record_holders(
            peer,
            accepted.map(|claim| DomainId::from_name(&claim.domain)),
            now,
        );
        let body = Some(reply::Body::Shared(GossipReply { unknown, ..answer }));
        PeerReply { body }
    }
}

fn to_domains(claims: &[OwnedDomain]) -> impl Iterator<Item = DomainId> {
    claims
        .iter()
        .map(|claim| DomainId::from_name(&claim.domain))
}
