use std::collections::BTreeMap;
use std::time::Duration;

use crate::policy::AllowanceSums;

/// The latest report of a peer, which may include the sums of other instances.
#[derive(Debug)]
pub(super) struct PeerUsage {
    pub(super) by_workspace: BTreeMap<String, AllowanceSums>,
    /// Number of instances whose sums are included.
    pub(super) instances: u32,
    pub(super) received_at: Duration,
}

/// Age after which a report no longer counts; several gossip intervals. Until then its sender is taken
/// to go on as before, so that a longer one lets both sides of a cut link spend the growth of demand.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);

impl PeerUsage {
    pub(super) fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) < REPORT_EXPIRY
    }
}
