use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::{
    LeaseStep, LeaseWrite, LoadOwner, ResidencyView, ShareLedger, StorePort, has_watch_duty,
};
use crate::forward::{FeedKind, FleetState, LoadBoard};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::member::rendezvous_score;
use crate::peer::{LoadShare, OwnedDomain, PeerAsk, PeerMesh, PeerReply, ShareReply, ask, reply};
use crate::platform::ListedInstance;
use crate::policy::SuspectList;
use crate::telemetry::{LogEvent, LogName};
use crate::time::{ClockSource, TimerService};

/// Keeps the leases of failure domains and tells the peers this instance's share of the load.
pub struct OwnershipLoop {
    /// This instance.
    pub instance: InstanceId,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// The time.
    pub clock: ClockSource,
    /// The upstreams.
    pub fleet: Arc<FleetState>,
    /// The owner part.
    pub owner: Arc<LoadOwner>,
    /// Requests in flight.
    pub board: Arc<LoadBoard>,
    /// Where adapters are resident.
    pub view: Arc<ResidencyView>,
    /// Requests that crashed upstreams.
    pub suspects: Arc<Mutex<SuspectList>>,
    /// The links to the other instances.
    pub mesh: PeerMesh,
    /// The store.
    pub store: StorePort,
    /// The instances that the store lists.
    pub instances: Arc<Mutex<Vec<ListedInstance>>>,
}

impl fmt::Debug for OwnershipLoop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnershipLoop")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}

/// Time between two looks at the leases.
const LEASE_PERIOD: Duration = Duration::from_millis(100);

/// A longer gap between two looks means that this process was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(700);

/// Time out of touch after which an instance counts as gone; longer than cuts and freezes mostly are.
const GONE_AGE: Duration = Duration::from_secs(8);

/// Time between two shares of the load with few instances.
const SHARE_PERIOD: Duration = Duration::from_millis(250);

/// Shares that an instance which owns nothing sends in a second at most: 100 peers get each one. A
/// share sent and one taken cost about ten microseconds together, measured with 83 instances.
const SHARES_PER_SECOND: usize = 400;

/// The longest period of shares, in periods of a small fleet; load that is older than a second
/// misleads more than it helps.
const LONGEST_STRIDE: usize = 4;

impl OwnershipLoop {
    /// Runs until the process ends.
    pub async fn run(self: Arc<Self>, timers: TimerService) {
        tokio::spawn(Arc::clone(&self).run_shares(timers.clone()));
        let mut ticks = timers.subscribe(LEASE_PERIOD);
        let mut last = self.clock.now();
        let mut missing = BTreeMap::new();
        loop {
            ticks.next().await;
            let now = self.clock.now();
            // An instance that is not listed is not asked for acknowledgements, so that an owner
            // may go on beside it; it takes nothing over until it has been listed for long enough.
            let must_wait = now.saturating_sub(last) > PAUSE_LIMIT || !self.is_listed();
            last = now;
            self.follow_instances();
            self.forget_gone(&mut missing, now).await;
            for (domain, rank) in self.candidacies() {
                if must_wait {
                    self.owner
                        .with_lease(&domain, rank, |lease, _| lease.resume_after_pause(now));
                }
                self.advance(&domain, rank).await;
            }
            self.owner.follow_upstreams();
        }
    }

    /// Does what a lease needs next.
    async fn advance(&self, domain: &DomainId, rank: u32) {
        let now = self.clock.now();
        let step = self.owner.with_lease(domain, rank, |lease, acked_at| {
            lease.next_step(now, acked_at)
        });
        let step = match step {
            LeaseStep::Read => match (self.store.read)(domain).await {
                Ok(found) => {
                    let now = self.clock.now();
                    self.owner
                        .with_lease(domain, rank, |lease, _| lease.record_read(found, now))
                }
                Err(error) => {
                    log::debug!("ownership of {domain} was not read: {error}");
                    return;
                }
            },
            step => step,
        };
        let LeaseStep::Write(record, expected) = step else {
            return;
        };
        let sent_at = self.clock.now();
        let epoch = record.epoch;
        let was_held = self
            .owner
            .with_lease(domain, rank, |lease, _| lease.epoch());
        match (self.store.write)(record.clone(), expected).await {
            Ok(LeaseWrite::Written(revision)) => {
                self.owner.with_lease(domain, rank, |lease, _| {
                    lease.record_written(record, revision, sent_at);
                });
                if was_held.is_none() {
                    LogEvent::new(LogName::OwnershipTaken)
                        .with("domain", domain)
                        .with_count("epoch", epoch)
                        .send();
                }
            }
            Ok(LeaseWrite::Conflict) => {
                let now = self.clock.now();
                self.owner
                    .with_lease(domain, rank, |lease, _| lease.record_conflicted(now));
                if was_held.is_some() {
                    LogEvent::new(LogName::OwnershipReleased)
                        .with("domain", domain)
                        .with("reason", "another instance wrote the record")
                        .send();
                }
            }
            Err(error) => {
                self.owner
                    .with_lease(domain, rank, |lease, _| lease.record_lost());
                log::debug!("ownership of {domain} was not written: {error}");
            }
        }
    }

    /// Lists the domains with this instance's place among the candidates for each.
    ///
    /// Instances of the domain come first, since a cut between domains leaves them connected.
    fn candidacies(&self) -> Vec<(DomainId, u32)> {
        let upstreams = self.fleet.upstreams();
        let domains: BTreeSet<&DomainId> = upstreams.values().map(|entry| &entry.domain).collect();
        let instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let rank_in = |domain: &DomainId| {
            let key = |id: &InstanceId, home: &DomainId| {
                let score = rendezvous_score(domain.as_str(), id.as_str());
                (home == domain, score)
            };
            let own = key(&self.instance, &self.domain);
            let ahead = instances
                .iter()
                .filter(|other| other.id != self.instance)
                .filter(|other| key(&other.id, &other.domain) > own)
                .count();
            u32::try_from(ahead).unwrap_or(u32::MAX)
        };
        domains
            .into_iter()
            .map(|domain| (domain.clone(), rank_in(domain)))
            .collect()
    }

    /// Removes the entries of instances that have been out of touch for long.
    ///
    /// An owner needs the acknowledgement of every listed instance, or the store, to order; an
    /// instance that was replaced for good must not leave it with the store alone. One instance
    /// does this for all. An instance that was only cut off registers again.
    async fn forget_gone(&self, missing: &mut BTreeMap<InstanceId, Duration>, now: Duration) {
        let live: BTreeSet<InstanceId> = self
            .mesh
            .live_peers()
            .into_iter()
            .map(|peer| peer.id)
            .collect();
        let listed = lock(&self.instances).clone();
        missing.retain(|id, _| listed.iter().any(|other| other.id == *id));
        let mut gone = None;
        for other in listed.iter().filter(|other| other.id != self.instance) {
            if live.contains(&other.id) {
                missing.remove(&other.id);
                continue;
            }
            let since = *missing.entry(other.id.clone()).or_insert(now);
            if now.saturating_sub(since) > GONE_AGE {
                gone = Some(other.id.clone());
            }
        }
        // An instance without any live peer is more likely cut off itself.
        let may_judge = !live.is_empty() || listed.len() <= 2;
        if let Some(gone) = gone.filter(|_| may_judge && self.owner.keeps_pool(now)) {
            missing.remove(&gone);
            match (self.store.forget)(&gone).await {
                Ok(()) => LogEvent::new(LogName::PeerDead)
                    .with("peer", &gone)
                    .with("reason", "out of touch; its entry was removed")
                    .send(),
                Err(error) => log::debug!("the entry of {gone} was not removed: {error}"),
            }
        }
    }

    fn is_listed(&self) -> bool {
        let listed = lock(&self.instances);
        listed.iter().any(|listed| listed.id == self.instance)
    }

    fn follow_instances(&self) {
        let instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let others: BTreeSet<InstanceId> = instances
            .iter()
            .filter(|other| other.id != self.instance)
            .map(|other| other.id.clone())
            .collect();
        self.owner.set_others(others);
        self.mesh.dial(&instances);
    }

    async fn run_shares(self: Arc<Self>, timers: TimerService) {
        let mut ticks = timers.subscribe(SHARE_PERIOD);
        let in_flight = Arc::new(Mutex::new(BTreeSet::new()));
        let ledger = Arc::new(Mutex::new(ShareLedger::new()));
        let mut periods = 0_usize;
        loop {
            ticks.next().await;
            periods = periods.wrapping_add(1);
            let peers = self.mesh.live_peers();
            lock(&ledger).retain(|id| peers.iter().any(|peer| peer.id == *id));
            self.fleet
                .set_watch_duty(has_watch_duty(&self.instance, &self.domain, &peers));
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
}

impl OwnershipLoop {
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

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
