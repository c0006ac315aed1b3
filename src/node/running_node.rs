use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;

use super::epoch_lookup::EpochLookup;
use super::node_parts::NodeParts;
use super::permit_wiring::permit_client;
use super::{FleetView, config_loop, member_loop, mesh_wiring, node_status};
use crate::admin::{AdminContext, AdminServer, NodeReport};
use crate::audit::AuditTrail;
use crate::claim::{ClaimConfig, ClaimHooks, ClaimStorage, ClaimStore};
use crate::config::ConfigStore;
use crate::entry::{EntryContext, EntryGate, EntryRouter, EntryServer, load_tls};
use crate::error::Result;
use crate::member::MemberView;
use crate::owner::{HandoverAnnouncer, LeaseGuard, OwnerContext, OwnerRecorder, OwnerRegistry};
use crate::peer::{HandoverItem, MeshConfig, OwnerHandover, PeerAsk, PeerMesh, SharedSecret, ask};
use crate::permit::{HolderConfig, PermitEndpoint, PermitHolder};
use crate::platform::{InstanceList, ObjectStore};
use crate::policy::{PlacementPolicy, RetryBudget, SuspectList};
use crate::settings::{NodeSettings, SecretText};
use crate::telemetry::{LogEvent, LogName, MetricSink};
use crate::time::{ClockSource, TimerService};

/// Time that a bid waits at the permit holder; a grant is valid for twice as long.
const PERMIT_WAIT: Duration = Duration::from_millis(500);
/// Suspect fingerprints that are remembered; crashes are rare.
const SUSPECT_LIMIT: usize = 4_096;
/// Time after which a suspect is forgotten.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);
/// Retries per request that the budget earns. With the reserve, upstream calls stay within 1.1 times
/// the requests from 300 requests on.
const RETRY_SHARE: f64 = 0.09;
/// Retries that an instance with little traffic may make.
const RETRY_RESERVE: f64 = 3.0;
/// Retries that an instance may make at once after a quiet time.
const RETRY_BURST: f64 = 10.0;
/// Time in which the unused balance of retries halves.
const RETRY_HALF_LIFE: Duration = Duration::from_secs(10);

/// A running node.
#[derive(Debug)]
pub struct Node {
    parts: Arc<NodeParts>,
    entry: EntryServer,
    admin: AdminServer,
    loops: JoinSet<()>,
}

impl Node {
    /// Starts all parts of a node.
    ///
    /// # Errors
    ///
    /// Returns the first part's error if an address cannot be bound or a file cannot be read.
    pub fn start(settings: NodeSettings) -> Result<Self> {
        let parts = build_parts(settings)?;
        let registry = OwnerRegistry::new(Arc::new(owner_context(&parts)), announcer(&parts));
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
        let reported = Arc::clone(&parts);
        let context = AdminContext::new(
            move || node_status::report(&reported),
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

    /// Returns the bytes of all heartbeat frames sent so far, for measurements of capacity.
    #[must_use]
    pub fn heartbeat_bytes(&self) -> u64 {
        self.parts.mesh().map_or(0, PeerMesh::heartbeat_bytes)
    }

    /// Describes the node, its peers and all upstreams.
    #[must_use]
    pub fn report(&self) -> NodeReport {
        node_status::report(&self.parts)
    }

    /// Shuts down: readiness goes first, then ownership is handed over, then the requests in
    /// progress end.
    ///
    /// Returns whether everything ended before `limit` and before `hurry` resolved.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`](crate::ErrorKind::Internal) if a server task failed.
    pub async fn shutdown(
        mut self,
        limit: Duration,
        hurry: impl Future<Output = ()>,
    ) -> Result<bool> {
        LogEvent::new(LogName::ShutdownStarted)
            .with("instance", &self.parts.instance)
            .send();
        self.parts.gate.start_draining();
        let is_complete = tokio::select! {
            () = self.drained() => true,
            () = tokio::time::sleep(limit) => false,
            () = hurry => false,
        };
        if is_complete {
            LogEvent::new(LogName::ShutdownFinished)
                .with("instance", &self.parts.instance)
                .send();
        } else {
            LogEvent::new(LogName::ShutdownInterrupted)
                .with("instance", &self.parts.instance)
                .with_count("in_progress", self.parts.gate.in_progress() as u64)
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

    /// Waits until the peers know of the shutdown and nothing is in progress.
    async fn drained(&self) {
        // Two heartbeats carry the news, so that peers stop sending calls here.
        tokio::time::sleep(self.parts.settings.peer.heartbeat_interval * 2).await;
        let mut ticks = self.parts.timer.subscribe(Duration::from_millis(50));
        loop {
            self.parts.gate.idle().await;
            let is_idle = self
                .parts
                .registry()
                .is_none_or(|registry| registry.is_idle());
            if is_idle && self.parts.gate.in_progress() == 0 {
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
        list: InstanceList::new(settings.platform.address, settings.platform.timeout),
        view: Arc::new(FleetView::new(instance.clone(), members)),
        recorder: OwnerRecorder::new(store.clone(), &domain),
        suspects: Arc::new(Mutex::new(SuspectList::new(SUSPECT_LIMIT, SUSPECT_EXPIRY))),
        config: ConfigStore::new(),
        ledger: Arc::default(),
        gate: EntryGate::default(),
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

fn owner_context(parts: &Arc<NodeParts>) -> OwnerContext {
    let process = format!("{}#{}", parts.instance, parts.incarnation);
    let lookup = EpochLookup::new(
        process.clone(),
        Arc::clone(&parts.view),
        Arc::clone(&parts.ledger),
        parts.timer.clock().clone(),
    );
    let spreading = Arc::clone(parts);
    OwnerContext {
        instance: parts.instance.clone(),
        process,
        timer: parts.timer.clone(),
        lease: parts.lease.clone(),
        ledger: Arc::clone(&parts.ledger),
        recorder: parts.recorder.clone(),
        permits: permit_client(parts),
        audit: parts.audit.clone(),
        suspects: Arc::clone(&parts.suspects),
        spread_suspects: Box::new(move || {
            if let Some(mesh) = spreading.mesh() {
                mesh.beat_now();
            }
        }),
        metrics: parts.metrics.clone(),
        standing: Box::new(move |upstream, epoch| lookup.standing(upstream, epoch)),
    }
}

fn announcer(parts: &Arc<NodeParts>) -> HandoverAnnouncer {
    let parts = Arc::clone(parts);
    Box::new(move |item| {
        let parts = Arc::clone(&parts);
        Box::pin(async move { announce(&parts, item).await })
    })
}

/// Tells all live peers of the failure domain about a handover.
async fn announce(parts: &NodeParts, item: HandoverItem) -> bool {
    let Some(mesh) = parts.mesh() else {
        return true;
    };
    let asks = mesh
        .live_peers()
        .into_iter()
        .filter(|peer| peer.domain == parts.domain)
        .map(|peer| {
            let handover = OwnerHandover {
                items: vec![item.clone()],
            };
            async move {
                mesh.ask(
                    &peer.id,
                    PeerAsk {
                        body: Some(ask::Body::Handover(handover)),
                    },
                )
                .await
                .is_ok()
            }
        });
    futures_util::future::join_all(asks)
        .await
        .into_iter()
        .all(|is_ok| is_ok)
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

fn entry_context(
    parts: &Arc<NodeParts>,
    registry: Arc<OwnerRegistry>,
    mesh: PeerMesh,
) -> EntryContext {
    let clock = parts.timer.clock().clone();
    let (placing, owning) = (Arc::clone(parts), Arc::clone(parts));
    let router = EntryRouter {
        instance: parts.instance.clone(),
        domain: parts.domain.clone(),
        clock: clock.clone(),
        policy: PlacementPolicy::default(),
        candidates: Box::new(move |pool, adapter| {
            placing
                .view
                .candidates(&placing.config.current(), pool, adapter)
        }),
        owner: Box::new(move |upstream| owning.view.owner(upstream)),
        registry,
        mesh,
    };
    EntryContext {
        instance: parts.instance.clone(),
        retries: Mutex::new(
            RetryBudget::new(RETRY_SHARE, RETRY_BURST, RETRY_HALF_LIFE, clock.now())
                .with_reserve(RETRY_RESERVE),
        ),
        clock,
        config: parts.config.clone(),
        router,
        claims: claim_store(parts),
        gate: parts.gate.clone(),
        metrics: parts.metrics.clone(),
        max_body: parts.settings.limits.max_body,
        max_in_progress: usize::try_from(parts.settings.limits.max_open_calls)
            .unwrap_or(usize::MAX),
    }
}

fn claim_store(parts: &Arc<NodeParts>) -> ClaimStore {
    let living = Arc::clone(parts);
    let storage = ClaimStorage::from_store(&parts.store);
    let hooks = ClaimHooks::new(move |instance, incarnation| {
        if *instance == living.instance {
            return incarnation == living.incarnation;
        }
        let peers = living.mesh().map(PeerMesh::live_peers).unwrap_or_default();
        peers
            .iter()
            .any(|peer| peer.id == *instance && peer.incarnation == incarnation)
    });
    ClaimStore::new(storage, ClaimConfig::default(), hooks, parts.incarnation)
}

fn spawn_loops(parts: &Arc<NodeParts>) -> JoinSet<()> {
    let mut loops = JoinSet::new();
    loops.spawn(member_loop::follow_list(Arc::clone(parts)));
    loops.spawn(member_loop::follow_members(Arc::clone(parts)));
    loops.spawn(member_loop::write_records(Arc::clone(parts)));
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
