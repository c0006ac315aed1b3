use std::time::Duration;

use comfreychute::policy::{EvictionRule, PlacementPolicy, SchedulerConfig};

use crate::SitePlan;

/// A set of decisions to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decision code with its present settings.
    Present,
    /// The present settings without holding batch work, so that requests are served in order.
    InOrder,
    /// The decision code with the settings of its first version.
    First,
    /// Least-loaded placement with least-recently-used eviction.
    LeastLoaded,
    /// Placement by rendezvous hash alone with least-recently-used eviction.
    Rendezvous,
}

impl PolicyKind {
    /// All kinds, the present one first.
    pub const ALL: [Self; 5] = [
        Self::Present,
        Self::InOrder,
        Self::First,
        Self::LeastLoaded,
        Self::Rendezvous,
    ];

    /// Returns the name used in tables and plots.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::InOrder => "in-order",
            Self::First => "first",
            Self::LeastLoaded => "least-loaded",
            Self::Rendezvous => "rendezvous",
        }
    }

    /// Returns the settings of the schedulers.
    #[must_use]
    pub fn scheduler_config(self, site: &SitePlan) -> SchedulerConfig {
        let mut config = SchedulerConfig::from_rows(&site.pool, Some(&site.store));
        config.token_time = site.token_time;
        if self == Self::InOrder {
            config.batch_hold = Duration::ZERO;
        } else if self != Self::Present {
            config.eviction = EvictionRule::LeastRecentlyUsed;
            config.bids_need_slot = false;
            config.headroom = 0;
            config.batch_hold = Duration::ZERO;
        }
        config
    }

    /// Returns the settings of the placement.
    #[must_use]
    pub fn placement_policy(self) -> PlacementPolicy {
        PlacementPolicy::default()
    }
}
