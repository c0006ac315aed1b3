use std::sync::{Arc, Mutex, OnceLock};

use tokio::sync::watch;

use super::FleetView;
use crate::audit::AuditTrail;
use crate::config::ConfigStore;
use crate::entry::RequestTracker;
use crate::id::{DomainId, InstanceId};
use crate::owner::{LeaseGuard, OwnerRecorder, OwnerRegistry, ReleaseLedger};
use crate::peer::PeerMesh;
use crate::permit::PermitEndpoint;
use crate::platform_client::{InstanceList, ObjectStore};
use crate::policy::SuspectList;
use crate::settings::NodeSettings;
use crate::telemetry::MetricSink;
use crate::time::TimerService;

/// The parts of a node that its loops and hooks share.
#[derive(Debug)]
pub(super) struct NodeParts {
    pub settings: NodeSettings,
    pub instance: InstanceId,
    pub domain: DomainId,
    /// Random number that distinguishes this process from earlier ones of the same instance.
    pub incarnation: u64,
    pub timer: TimerService,
    pub store: ObjectStore,
    pub instance_list: InstanceList,
    pub config: ConfigStore,
    pub view: Arc<FleetView>,
    pub lease: LeaseGuard,
    pub ledger: Arc<ReleaseLedger>,
    pub recorder: OwnerRecorder,
    pub suspects: Arc<Mutex<SuspectList>>,
    pub metrics: MetricSink,
    pub request_tracker: RequestTracker,
    pub permits: PermitEndpoint,
    pub audit: AuditTrail,
    /// Whether this instance is a watch relay, which watches the tables in the object store.
    pub relay: watch::Sender<bool>,
    /// Set during startup, after the other parts, because the hooks of the mesh refer to them.
    pub mesh: OnceLock<PeerMesh>,
    /// Set during startup, because the context of the owners refers to the other parts.
    pub registry: OnceLock<Arc<OwnerRegistry>>,
}

impl NodeParts {
    /// Returns the owner registry, or `None` during startup.
    pub fn registry(&self) -> Option<&Arc<OwnerRegistry>> {
        self.registry.get()
    }

    /// Returns the peer mesh, or `None` during startup.
    pub fn mesh(&self) -> Option<&PeerMesh> {
        self.mesh.get()
    }
}
