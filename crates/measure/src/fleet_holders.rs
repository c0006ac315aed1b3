use std::time::Duration;

use comfreychute::policy::{PermitBucket, PermitConfig};

use crate::{PolicyKind, SitePlan};

/// The permit holders: one for the fleet, and one more for a failure domain that is cut off.
#[derive(Debug)]
pub(crate) struct FleetHolders {
    config: PermitConfig,
    domains: u32,
    pub(crate) buckets: Vec<PermitBucket>,
    /// When each holder looks at its bids next.
    pub(crate) wakes: Vec<Option<Duration>>,
    pub(crate) is_cut: bool,
}

impl FleetHolders {
    pub(crate) fn new(site: &SitePlan, policy: PolicyKind) -> Self {
        let mut config = PermitConfig::from_row(&site.store).with_floors(&[&site.pool]);
        if !matches!(policy, PolicyKind::Present | PolicyKind::InOrder) {
            config.floors = [0.0; 3];
        }
        Self {
            buckets: vec![PermitBucket::new(config.clone(), Duration::ZERO)],
            wakes: vec![None, None],
            config,
            domains: u32::try_from(site.domains).unwrap_or(1),
            is_cut: false,
        }
    }

    /// Returns the holder that the owners of a failure domain reach.
    pub(crate) fn holder_of(&self, domain: usize) -> usize {
        usize::from(self.is_cut && domain == 0)
    }

    /// Cuts the first domain off: it elects a holder of its own, which starts empty.
    pub(crate) fn cut(&mut self, now: Duration) {
        self.is_cut = true;
        self.buckets.truncate(1);
        self.buckets[0].set_domain_share(self.domains - 1, self.domains, now);
        let mut bucket = PermitBucket::new(self.config.clone(), now);
        bucket.set_domain_share(1, self.domains, now);
        self.buckets.push(bucket);
    }

    /// Ends the cut: the holder of the fleet takes over.
    pub(crate) fn heal(&mut self, now: Duration) {
        self.is_cut = false;
        self.buckets.truncate(1);
        self.buckets[0].set_domain_share(self.domains, self.domains, now);
    }
}
