use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::forward::UpstreamEntry;
use crate::id::{DomainId, UpstreamId};
use crate::platform_client::ListedInstance;

/// What the checks of the leases derive from the instances and upstreams. Deriving it takes time in
/// proportion to the size of the fleet, so it is not done at each check.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    pub(super) synced_at: Option<Duration>,
    pub(super) instances: Vec<ListedInstance>,
    pub(super) upstreams: Arc<BTreeMap<UpstreamId, Arc<UpstreamEntry>>>,
    pub(super) ranks: Vec<(DomainId, u32)>,
}
