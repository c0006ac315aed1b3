use std::fmt;
use std::sync::{Arc, Mutex};

use futures_util::future::BoxFuture;

use super::{EpochStanding, LeaseGuard, OwnerRecorder, ReleaseLedger};
use crate::id::{InstanceId, OwnerEpoch, UpstreamId};
use crate::peer::{PermitBid, PermitDone};
use crate::policy::SuspectList;
use crate::telemetry::MetricSink;
use crate::time::TimerService;

/// Tells what is known about the owner behind an epoch of an upstream.
pub type StandingLookup = Box<dyn Fn(&UpstreamId, OwnerEpoch) -> EpochStanding + Send + Sync>;

/// Asks for a load permit; resolves to the permit if one was granted.
pub type PermitAsk = Box<dyn Fn(PermitBid) -> BoxFuture<'static, Option<u64>> + Send + Sync>;
/// Returns a load permit.
pub type PermitReturn = Box<dyn Fn(PermitDone) -> BoxFuture<'static, ()> + Send + Sync>;

/// What the owners of all upstreams of an instance share.
pub struct OwnerContext {
    /// This instance.
    pub instance: InstanceId,
    /// The name of this process, unique across restarts; epochs carry its hash.
    pub process: String,
    /// The timer.
    pub timer: TimerService,
    /// The lease of this instance.
    pub lease: LeaseGuard,
    /// Epochs that other owners have handed over.
    pub ledger: Arc<ReleaseLedger>,
    /// Writes the ownership records.
    pub recorder: OwnerRecorder,
    /// Asks for a load permit.
    pub ask_permit: PermitAsk,
    /// Returns a load permit.
    pub return_permit: PermitReturn,
    /// Requests that were in flight at upstream crashes.
    pub suspects: Arc<Mutex<SuspectList>>,
    /// The metrics.
    pub metrics: MetricSink,
    /// Tells what is known about earlier owners.
    pub standing: StandingLookup,
}

impl fmt::Debug for OwnerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnerContext")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}
