//! The paths of in-flight load between instances: every instance receives the load of all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreychute::forward::{InFlightLoad, InFlightTracker};
use comfreychute::id::{DomainId, InstanceId, UpstreamId};
use comfreychute::peer::{LivePeer, LoadGossip};
use comfreychute::policy::PartSuspects;
use comfreychute::residency::{AckTracker, GossipScope, GossipTree};

const PERIOD: Duration = Duration::from_millis(250);

/// Periods after which the load of each instance has reached all others: through the root of its
/// domain, the roots of the other domains, and their children.
const PERIODS: u32 = 4;

fn instance(number: usize) -> InstanceId {
    InstanceId::from_name(&format!("edge-{number:03}"))
}

fn peer(number: usize, domains: usize) -> LivePeer {
    LivePeer {
        id: instance(number),
        domain: DomainId::from_name(&format!("d-{}", number % domains)),
        incarnation: 1,
        silent_for: Duration::ZERO,
        is_draining: false,
        is_linked: true,
    }
}

/// A fleet in which every instance has one request in flight at one upstream.
struct LoadFleet {
    peers: Vec<LivePeer>,
    trackers: BTreeMap<InstanceId, InFlightTracker>,
    now: Duration,
    message_count: usize,
}

impl LoadFleet {
    fn new(size: usize, domains: usize) -> Self {
        let peers: Vec<LivePeer> = (0..size).map(|number| peer(number, domains)).collect();
        let trackers = peers.iter().map(|peer| {
            let tracker = InFlightTracker::new();
            let load = InFlightLoad {
                requests: 1,
                ..InFlightLoad::default()
            };
            tracker.begin(&UpstreamId::from_name("engine"), &load);
            (peer.id.clone(), tracker)
        });
        Self {
            trackers: trackers.collect(),
            peers,
            now: Duration::ZERO,
            message_count: 0,
        }
    }

    /// Advances the time by one period, in which every instance sends a message to its peers in
    /// turn.
    fn run_period(&mut self) {
        self.now += PERIOD;
        self.message_count = 0;
        for sender in &self.peers {
            let others: Vec<LivePeer> = self
                .peers
                .iter()
                .filter(|p| p.id != sender.id)
                .cloned()
                .collect();
            let tracker = &self.trackers[&sender.id];
            let tree = GossipTree::new(
                &sender.id,
                &sender.domain,
                &others,
                tracker.children(self.now),
            );
            for other in &others {
                let Some(scope) = tree.scope_for(&other.id) else {
                    continue;
                };
                let (in_flight, instances) = match scope {
                    GossipScope::Own => tracker.sum_load(self.now, |_| false),
                    GossipScope::Subtree => {
                        tracker.sum_load(self.now, |id| tree.children().contains(id))
                    }
                    GossipScope::Remainder => tracker.sum_load(self.now, |id| *id != other.id),
                };
                let message = LoadGossip {
                    in_flight,
                    instances,
                    is_child: tree.is_parent(&other.id),
                    ..LoadGossip::default()
                };
                self.message_count += 1;
                self.trackers[&other.id].record_peer_load(&sender.id, &message, self.now);
            }
        }
    }

    /// Returns the distinct views of the fleet: the total requests in flight and the number of live
    /// instances, as seen by each instance.
    fn fleet_views(&self) -> BTreeSet<(u32, usize)> {
        let trackers = self.trackers.values();
        let fleet_views = trackers.map(|tracker| {
            let load = tracker.total_load(&UpstreamId::from_name("engine"), self.now);
            (load.requests, tracker.live_instance_count(self.now))
        });
        fleet_views.collect()
    }
}

/// Guards against load that is counted twice or not at all, which makes instances avoid idle
/// upstreams or overload busy ones, and against retry budgets divided by a wrong number of
/// instances.
#[test]
fn every_instance_receives_the_load_of_all() {
    for (size, domains) in [(2, 1), (9, 3), (17, 4), (83, 4), (83, 1), (300, 19)] {
        let mut fleet = LoadFleet::new(size, domains);

        for _ in 0..PERIODS {
            fleet.run_period();
        }

        let expected = (u32::try_from(size).expect("a small fleet"), size);
        assert_eq!(
            fleet.fleet_views(),
            BTreeSet::from([expected]),
            "{size} in {domains}"
        );
    }
}

/// Guards against a number of messages that grows with the square of the number of instances.
#[test]
fn message_count_grows_linearly() {
    let mut fleet = LoadFleet::new(83, 4);

    for _ in 0..PERIODS {
        fleet.run_period();
    }

    // 79 children exchange messages with their root in both directions, and each of the four roots
    // sends one to the other three.
    assert_eq!(fleet.message_count, 2 * 79 + 4 * 3);
}

/// Guards against load that stays counted twice after the root of a domain has failed.
#[test]
fn load_recovers_after_the_root_of_a_domain_fails() {
    let mut fleet = LoadFleet::new(83, 4);
    for _ in 0..PERIODS {
        fleet.run_period();
    }

    let failed = fleet.peers.remove(0);
    fleet.trackers.remove(&failed.id);
    // The load that was sent by or through the failed instance counts for two more seconds.
    for _ in 0..12 {
        fleet.run_period();
    }

    assert_eq!(fleet.fleet_views(), BTreeSet::from([(82, 82)]));
}

/// Guards against an instance whose load reaches no other, because its parent would be the instance
/// with the lowest id of its domain, to which it has no link.
#[test]
fn unlinked_instance_is_not_the_parent() {
    let others: Vec<LivePeer> = (0..20).map(|number| peer(number, 1)).collect();
    let mut unlinked = others.clone();
    unlinked[0].is_linked = false;
    let domain = DomainId::from_name("d-0");

    let tree = GossipTree::new(&instance(30), &domain, &unlinked, BTreeSet::new());

    assert!(tree.is_parent(&instance(1)));
    assert_eq!(tree.scope_for(&instance(0)), None);
}

/// Guards against a crash suspect that a peer never receives, so that the request goes on crashing
/// engines, and against repeating the suspects to every peer for minutes.
#[test]
fn suspects_are_sent_until_each_process_has_acknowledged_them() {
    let (mut acks, peer) = (AckTracker::new(), instance(1));
    let mut suspects = PartSuspects::new(8);
    let now = Duration::from_secs(9);
    let due = |suspects: &PartSuspects, acks: &AckTracker, incarnation: u64| {
        let known = acks.acked_parts(&peer, incarnation);
        suspects.changes_after(known, 8, now)
    };
    let crash = |suspects: &mut PartSuspects, upstream: u64| {
        suspects.record_request_crash(7, upstream, Duration::from_secs(upstream));
    };

    assert!(due(&suspects, &acks, 1).0.is_empty());
    assert!(!acks.has_acked_parts(&peer, 1));
    crash(&mut suspects, 1);
    let (changes, number) = due(&suspects, &acks, 1);
    assert_eq!(changes.len(), 1);
    acks.record_acked_parts(&peer, 1, number);

    assert!(due(&suspects, &acks, 1).0.is_empty(), "acknowledged");
    assert!(acks.has_acked_parts(&peer, 1));
    crash(&mut suspects, 2);
    let (changes, number) = due(&suspects, &acks, 1);
    assert_eq!(changes.len(), 1, "a further crash");
    acks.record_acked_parts(&peer, 1, number);
    crash(&mut suspects, 3);
    acks.record_acked_parts(&peer, 1, due(&suspects, &acks, 1).1);
    suspects.evaluate(now);
    assert!(
        due(&suspects, &acks, 1).0[0].refused_age.is_some(),
        "a refusal"
    );
    acks.record_acked_parts(&peer, 1, due(&suspects, &acks, 1).1);
    assert!(due(&suspects, &acks, 1).0.is_empty());
    assert_eq!(due(&suspects, &acks, 2).0.len(), 1, "a new process");
    assert!(!acks.has_acked_parts(&peer, 2));
}
