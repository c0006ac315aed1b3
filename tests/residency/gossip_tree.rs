//! Who tells whom the load, and that each instance learns the load of all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreychute::forward::{InFlightLoad, InFlightTracker};
use comfreychute::id::{DomainId, InstanceId, UpstreamId};
use comfreychute::peer::{LivePeer, LoadShare};
use comfreychute::residency::{AckTracker, GossipScope, GossipTree};

const PERIOD: Duration = Duration::from_millis(250);

/// Periods after which the load of each instance has reached all: to the first instance of its
/// domain, to those of the others, and back.
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
    shares: usize,
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
            shares: 0,
        }
    }

    /// Lets every instance tell its peers in turn.
    fn play_period(&mut self) {
        self.now += PERIOD;
        self.shares = 0;
        for teller in &self.peers {
            let others: Vec<LivePeer> = self
                .peers
                .iter()
                .filter(|p| p.id != teller.id)
                .cloned()
                .collect();
            let tracker = &self.trackers[&teller.id];
            let tree = GossipTree::new(
                &teller.id,
                &teller.domain,
                &others,
                tracker.children(self.now),
            );
            for other in &others {
                let Some(part) = tree.scope_for(&other.id) else {
                    continue;
                };
                let (in_flight, instances) = match part {
                    GossipScope::Own => tracker.to_share(self.now, |_| false),
                    GossipScope::Subtree => {
                        tracker.to_share(self.now, |id| tree.children().contains(id))
                    }
                    GossipScope::Remainder => tracker.to_share(self.now, |id| *id != other.id),
                };
                let share = LoadShare {
                    in_flight,
                    instances,
                    is_child: tree.is_parent(&other.id),
                    ..LoadShare::default()
                };
                self.shares += 1;
                self.trackers[&other.id].merge(&teller.id, &share, self.now);
            }
        }
    }

    /// What each instance believes all have in flight, and how many instances it counts.
    fn beliefs(&self) -> BTreeSet<(u32, usize)> {
        let trackers = self.trackers.values();
        let beliefs = trackers.map(|tracker| {
            let load = tracker.total_load(&UpstreamId::from_name("engine"), self.now);
            (load.requests, tracker.live_instance_count(self.now))
        });
        beliefs.collect()
    }
}

/// Guards against load that is counted twice or not at all, by which instances would avoid idle
/// upstreams or fill busy ones, and against retry budgets divided by a wrong number of instances.
#[test]
fn every_instance_learns_the_load_of_all() {
    for (size, domains) in [(2, 1), (9, 3), (17, 4), (83, 4), (83, 1), (300, 19)] {
        let mut fleet = LoadFleet::new(size, domains);

        for _ in 0..PERIODS {
            fleet.play_period();
        }

        let expected = (u32::try_from(size).expect("a small fleet"), size);
        assert_eq!(
            fleet.beliefs(),
            BTreeSet::from([expected]),
            "{size} in {domains}"
        );
    }
}

/// Guards against shares that grow with the square of the number of instances.
#[test]
fn shares_grow_with_the_number_of_instances() {
    let mut fleet = LoadFleet::new(83, 4);

    for _ in 0..PERIODS {
        fleet.play_period();
    }

    // To the first of the domain and back for all but the four first, which tell each other.
    assert_eq!(fleet.shares, 2 * 79 + 4 * 3);
}

/// Guards against a load that stays doubled after the first instance of a domain has failed.
#[test]
fn load_is_right_again_after_the_first_of_a_domain_fails() {
    let mut fleet = LoadFleet::new(83, 4);
    for _ in 0..PERIODS {
        fleet.play_period();
    }

    let failed = fleet.peers.remove(0);
    fleet.trackers.remove(&failed.id);
    // Shares of the failed instance and to it count for two seconds more.
    for _ in 0..12 {
        fleet.play_period();
    }

    assert_eq!(fleet.beliefs(), BTreeSet::from([(82, 82)]));
}

/// Guards against an instance without a link to the first of its domain that tells nobody.
#[test]
fn unlinked_first_instance_is_passed_by() {
    let others: Vec<LivePeer> = (0..20).map(|number| peer(number, 1)).collect();
    let mut unlinked = others.clone();
    unlinked[0].is_linked = false;
    let domain = DomainId::from_name("d-0");

    let tree = GossipTree::new(&instance(30), &domain, &unlinked, BTreeSet::new());

    assert!(tree.is_parent(&instance(1)));
    assert_eq!(tree.scope_for(&instance(0)), None);
}

/// Guards against a request that crashes engines for longer because a peer never hears of it, and
/// against telling everyone for minutes.
#[test]
fn suspects_are_told_until_each_process_has_confirmed_them() {
    let (mut ledger, peer) = (AckTracker::new(), instance(1));
    let suspects = BTreeMap::from([(7_u64, 1_u32)]);
    let more = BTreeMap::from([(7_u64, 2_u32)]);

    assert!(ledger.has_acked_suspects(&peer, 1, &BTreeMap::new()));
    assert!(!ledger.has_acked_suspects(&peer, 1, &suspects));
    ledger.record_acked_suspects(&peer, 1, suspects.clone());

    assert!(ledger.has_acked_suspects(&peer, 1, &suspects));
    assert!(
        !ledger.has_acked_suspects(&peer, 1, &more),
        "a further crash"
    );
    assert!(
        !ledger.has_acked_suspects(&peer, 2, &suspects),
        "a new process"
    );
}
