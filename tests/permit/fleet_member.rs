use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreychute::id::DomainId;
use comfreychute::permit::{HolderConfig, HolderGrant, PermitHolder, counted_domains};
use comfreychute::table::StoreRow;

use crate::fixtures::{adapter, upstream};

/// Time without a heartbeat after which an instance is treated as dead.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// One instance of a simulated fleet.
pub struct FleetMember {
    pub domain: usize,
    pub holder: PermitHolder,
    /// The end of the pause during which the instance does nothing.
    pub stopped_until: Duration,
    /// Whether a new process replaces the instance at the end of the pause.
    pub is_replaced: bool,
    /// The latest heartbeat of each other instance: when it was sent and which domains its sender
    /// reached.
    pub latest: BTreeMap<usize, (Duration, BTreeSet<DomainId>)>,
    next_adapter: usize,
}

impl FleetMember {
    pub fn new(domain: usize, salt: u64, row: &StoreRow, now: Duration) -> Self {
        let mut holder = PermitHolder::new(HolderConfig::default(), salt, now);
        holder.set_stores(std::slice::from_ref(row), now);
        Self {
            domain,
            holder,
            stopped_until: Duration::ZERO,
            is_replaced: false,
            latest: BTreeMap::new(),
            next_adapter: 0,
        }
    }

    /// Returns the domains that the instance reaches.
    pub fn reachable(&self, domains: &[usize], now: Duration) -> BTreeSet<DomainId> {
        self.live(now)
            .map(|member| domain_id(domains[member]))
            .chain([domain_id(self.domain)])
            .collect()
    }

    /// Determines the role from the instance's own view, submits bids and returns the grants.
    ///
    /// The live member with the lowest index is the holder; real instances choose it by hash.
    pub fn act(&mut self, own: usize, domains: &[usize], now: Duration) -> Vec<HolderGrant> {
        let first = self.live(now).chain([own]).min();
        let reachable = self.reachable(domains, now);
        let reports = self
            .live(now)
            .map(|member| (domain_id(domains[member]), self.latest[&member].1.clone()))
            .collect::<Vec<_>>();
        let counted = counted_domains(&domain_id(self.domain), &reachable, &reports);
        let total = domains.iter().collect::<BTreeSet<_>>().len();
        let total = u32::try_from(total).expect("a few domains");
        self.holder.set_domain_share(counted, total, now);
        self.holder.set_holding(first == Some(own), now);
        for _ in 0..2 {
            self.next_adapter += 1;
            let name = adapter(self.next_adapter);
            // Members that are not the holder refuse the bid.
            let _refused = self
                .holder
                .bid("weights", &upstream(own), &name, 1.0, now)
                .is_err();
        }
        self.holder.grants(now)
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = usize> {
        self.latest
            .iter()
            .filter(move |(_, (at, _))| now.saturating_sub(*at) < PEER_TIMEOUT)
            .map(|(member, _)| *member)
    }
}

fn domain_id(number: usize) -> DomainId {
    DomainId::from_name(&format!("zone-{number}"))
}
