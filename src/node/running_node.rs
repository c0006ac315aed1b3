use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;

use super::entry_wiring::entry_context;
use super::node_parts::NodeParts;
use super::owner_wiring::{handover_announcer, owner_context};
use super::{FleetView, config_loop, member_loop, mesh_wiring, node_status};
use crate::admin::{AdminContext, AdminServer, NodeReport};
use crate::audit::AuditTrail;
use crate::config::ConfigStore;
use crate::entry::{EntryServer, RequestTracker, load_tls};
use crate::error::Result;
use crate::member::MemberView;
use crate::owner::{LeaseGuard, OwnerRecorder, OwnerRegistry};
use crate::peer::{MeshConfig, PeerMesh, SharedSecret};
use crate::permit::{HolderConfig, PermitEndpoint, PermitHolder};
use crate::platform_client::{InstanceList, ObjectStore};
use crate::policy::SuspectList;
use crate::settings::{NodeSettings, SecretText};
use crate::telemetry::{LogEvent, LogName, MetricSink};
use crate::time::{ClockSource, TimerService};

/// Maximum time that a bid waits at the permit holder; a grant is valid for twice as long.
const PERMIT_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of fingerprints of requests suspected of crashing upstreams. Crashes are rare, so
/// the limit is seldom reached.
const SUSPECT_LIMIT: usize = 4_096;
/// Time after which a suspect fingerprint expires.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);

/// A running node: the caller and admin servers and the background loops.
#[derive(Debug)]
pub struct Node {
    parts: Arc<NodeParts>,
    entry: EntryServer,
    admin: AdminServer,
    loops: JoinSet<()>,
}

impl Node {
    /// Starts the peer mesh, the servers for callers and operators, and the background loops.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a file cannot be read.
    pub fn start(settings: NodeSettings) -> Result<Self> {
        let parts = build_parts(settings)?;
        let registry =
            OwnerRegistry::new(Arc::new(owner_context(&parts)), handover_announcer(&parts));
        parts.registry.get_or_init(|| Arc::clone(&registry));
        let mesh = PeerMesh::start(mesh_config(&parts), mesh_wiring::mesh_hooks(&parts))?;
        parts.mesh.get_or_init(|| mesh.clone());
        let context = Arc::new(entry_context(&parts, registry, mesh));
        let (caller, admin) = (&parts.settings.caller, &parts.settings.admin);
        let tls = caller
            .tls_files()
            .map(|(certificate, key)| load_tls(certificate, key));
        let entry = EntryServer::start(context, caller.address, tls.transpose()?)?;
        let token = admin.token.as_ref().map(SecretText::as_str);
        let report_parts = Arc::clone(&parts);
        let context = AdminContext::new(
            move || node_status::report(&report_parts),
            parts.metrics.clone(),
            token,
        );
        let admin = AdminServer::start(context, admin.address)?;
        let loops = spawn_loops(&parts);
        LogEvent::new(LogName::NodeStarted)
            .with("instance", &parts.instance)
            .with("domain", &parts.domain)
            .with("caller", entry.address())
            .with("admin", admin.address())
            .send();
        Ok(Self {
            parts,
            entry,
            admin,
            loops,
        })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the bound address for peers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.parts
            .mesh()
            .map_or(self.parts.settings.peer.address, PeerMesh::address)
    }

    /// Returns the revision of the tables in force.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.parts.config.revision()
    }

    /// Returns the total size of the heartbeat frames sent so far, for capacity measurements.
    #[must_use]
    pub fn heartbeat_bytes(&self) -> u64 {
        self.parts.mesh().map_or(0, PeerMesh::heartbeat_bytes)
    }

    /// Describes the node, its peers and all upstreams.
    #[must_use]
    pub fn report(&self) -> NodeReport {
        node_status::report(&self.parts)
    }

    /// Shuts down gracefully: the node stops reporting ready, hands over ownership and finishes the
    /// requests in progress.
    ///
    /// Returns whether everything ended before `limit` and before `interrupt` resolved.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`](crate::ErrorKind::Internal) if a server task failed.
    pub async fn shutdown(
        mut self,
        limit: Duration,
        interrupt: impl Future<Output = ()>,
    ) -> Result<bool> {
        LogEvent::new(LogName::ShutdownStarted)
            .with("instance", &self.parts.instance)
            .send();
        self.parts.request_tracker.start_draining();
        let is_complete = tokio::select! {
            () = self.wait_drained() => true,
            () = tokio::time::sleep(limit) => false,
            () = interrupt => false,
        };
        if is_complete {
            LogEvent::new(LogName::ShutdownFinished)
                .with("instance", &self.parts.instance)
                .send();
        } else {
            LogEvent::new(LogName::ShutdownInterrupted)
                .with("instance", &self.parts.instance)
                .with_count(
                    "in_progress",
                    self.parts.request_tracker.in_progress() as u64,
                )
                .send();
        }
        if is_complete {
            self.entry.close().await?;
            self.admin.close().await?;
        }
        if let Some(mesh) = self.parts.mesh() {
            mesh.stop();
        }
        self.loops.shutdown().await;
        Ok(is_complete)
    }

    /// Waits until the shutdown was announced to the peers and no requests are in progress.
    async fn wait_drained(&self) {
        // Two heartbeats announce the draining state, so that peers stop sending calls here.
        tokio::time::sleep(self.parts.settings.peer.heartbeat_interval * 2).await;
        let mut ticks = self.parts.timer.subscribe(Duration::from_millis(50));
        loop {
            self.parts.request_tracker.wait_idle().await;
            let is_idle = self
                .parts
                .registry()
                .is_none_or(|registry| registry.is_idle());
            if is_idle && self.parts.request_tracker.in_progress() == 0 {
                return;
            }
            ticks.next().await;
        }
    }
}

fn build_parts(settings: NodeSettings) -> Result<Arc<NodeParts>> {
    let clock = ClockSource::monotonic();
    let (instance, domain) = (
        settings.instance.name.clone(),
        settings.instance.domain.clone(),
    );
    let store = ObjectStore::new(settings.platform.address, settings.platform.timeout);
    let members = MemberView::new(instance.clone(), domain.clone(), settings.peer.peer_timeout);
    let tags = [("instance", instance.as_str()), ("domain", domain.as_str())];
    let metrics = MetricSink::new(settings.telemetry.metrics_address, &tags)?;
    let holder_config = HolderConfig {
        lease: settings.peer.lease,
        ..HolderConfig::default()
    };
    let holder = PermitHolder::new(holder_config, rand::random(), clock.now());
    let lease = LeaseGuard::new(clock.clone(), settings.peer.lease);
    Ok(Arc::new(NodeParts {
        instance_list: InstanceList::new(settings.platform.address, settings.platform.timeout),
        view: Arc::new(FleetView::new(instance.clone(), members)),
        recorder: OwnerRecorder::new(store.clone(), &domain),
        suspects: Arc::new(Mutex::new(SuspectList::new(SUSPECT_LIMIT, SUSPECT_EXPIRY))),
        config: ConfigStore::new(),
        ledger: Arc::default(),
        request_tracker: RequestTracker::default(),
        permits: PermitEndpoint::new(holder, clock.clone(), PERMIT_WAIT),
        audit: AuditTrail::new(store.clone(), instance.as_str()),
        relay: watch::Sender::new(false),
        mesh: OnceLock::new(),
        registry: OnceLock::new(),
        incarnation: rand::random(),
        timer: TimerService::new(clock),
        settings,
        instance,
        domain,
        store,
        lease,
        metrics,
    }))
}

fn mesh_config(parts: &NodeParts) -> MeshConfig {
    let settings = &parts.settings.peer;
    let secret = settings
        .secret
        .as_ref()
        .map(|secret| SharedSecret::from_bytes(secret.as_str().as_bytes()));
    MeshConfig {
        heartbeat_interval: settings.heartbeat_interval,
        link_timeout: settings.link_timeout,
        peer_timeout: settings.peer_timeout,
        secret,
        ..MeshConfig::new(
            parts.instance.clone(),
            parts.incarnation,
            parts.domain.clone(),
            settings.address,
        )
    }
}

fn spawn_loops(parts: &Arc<NodeParts>) -> JoinSet<()> {
    let mut loops = JoinSet::new();
    loops.spawn(member_loop::poll_instance_list(Arc::clone(parts)));
    loops.spawn(member_loop::run_membership(Arc::clone(parts)));
    loops.spawn(member_loop::flush_records(Arc::clone(parts)));
    loops.spawn(parts.permits.clone().run());
    let ticks = parts.timer.subscribe(AuditTrail::FLUSH_INTERVAL);
    loops.spawn(parts.audit.clone().run(ticks));
    loops.spawn(config_loop::watch_tables(Arc::clone(parts)));
    loops.spawn(config_loop::pull_tables(Arc::clone(parts)));
    if let Some(registry) = parts.registry() {
        loops.spawn(Arc::clone(registry).run());
    }
    loops
}
