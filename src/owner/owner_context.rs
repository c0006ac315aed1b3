use std::fmt;
use std::sync::{Arc, Mutex};

use super::{EpochStatus, LeaseGuard, OwnerRecorder, ReleaseLedger};
use crate::audit::AuditTrail;
use crate::id::{InstanceId, OwnerEpoch, UpstreamId};
use crate::permit::PermitClient;
use crate::policy::SuspectList;
use crate::telemetry::MetricSink;
use crate::time::TimerService;

/// Returns the status of the owner that an epoch of an upstream belongs to.
pub type EpochStatusLookup = Box<dyn Fn(&UpstreamId, OwnerEpoch) -> EpochStatus + Send + Sync>;

/// Dependencies shared by the owners of all upstreams of an instance.
pub struct OwnerContext {
    /// The instance that the owners run on.
    pub instance: InstanceId,
    /// The name of this process, unique across restarts; epochs contain its hash.
    pub process: String,
    /// Maximum number of queued requests per upstream and rank.
    pub max_queued: usize,
    /// Provides the clock and the periodic ticks.
    pub timer: TimerService,
    /// The instance's lease, which must be valid when an order or a call is sent to an upstream.
    pub lease: LeaseGuard,
    /// Handovers by this and other instances.
    pub ledger: Arc<ReleaseLedger>,
    /// Reads and updates the ownership record of the failure domain.
    pub recorder: OwnerRecorder,
    /// Acquires and releases load permits.
    pub permits: PermitClient,
    /// Records changes of owner and orders to engines.
    pub audit: AuditTrail,
    /// Fingerprints of requests that were in flight when an upstream crashed.
    pub suspects: Arc<Mutex<SuspectList>>,
    /// Sends the latest suspects to all peers immediately; called without any lock held.
    pub broadcast_suspects: Box<dyn Fn() + Send + Sync>,
    /// Receives the metrics of queues, loads, evictions and refusals.
    pub metrics: MetricSink,
    /// Looks up the status of former owners.
    pub epoch_status: EpochStatusLookup,
}

impl fmt::Debug for OwnerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnerContext")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}
