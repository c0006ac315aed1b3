use std::fmt;
use std::sync::{Arc, Mutex};

use super::{EpochStatus, LeaseGuard, OwnerRecorder, ReleaseLedger};
use crate::audit::AuditTrail;
use crate::id::{InstanceId, OwnerEpoch, UpstreamId};
use crate::permit::PermitClient;
use crate::policy::SuspectList;
use crate::telemetry::MetricSink;
use crate::time::TimerService;

/// Tells what is known about the owner behind an epoch of an upstream.
pub type EpochStatusLookup = Box<dyn Fn(&UpstreamId, OwnerEpoch) -> EpochStatus + Send + Sync>;

/// What the owners of all upstreams of an instance share.
pub struct OwnerContext {
    /// This instance.
    pub instance: InstanceId,
    /// The name of this process, unique across restarts; epochs carry its hash.
    pub process: String,
    /// Requests that wait for one upstream, per rank.
    pub max_queued: usize,
    /// The timer.
    pub timer: TimerService,
    /// The lease of this instance.
    pub lease: LeaseGuard,
    /// Epochs that other owners have handed over.
    pub ledger: Arc<ReleaseLedger>,
    /// Writes the ownership records.
    pub recorder: OwnerRecorder,
    /// Asks for load permits.
    pub permits: PermitClient,
    /// The audit trail.
    pub audit: AuditTrail,
    /// Requests that were in flight at upstream crashes.
    pub suspects: Arc<Mutex<SuspectList>>,
    /// Sends new charges to the peers at once; called without any lock held.
    pub broadcast_suspects: Box<dyn Fn() + Send + Sync>,
    /// The metrics.
    pub metrics: MetricSink,
    /// Tells what is known about earlier owners.
    pub epoch_status: EpochStatusLookup,
}

impl fmt::Debug for OwnerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnerContext")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}
