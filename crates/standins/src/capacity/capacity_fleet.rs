use std::collections::BTreeMap;
use std::time::Duration;

use comfreychute::config::{TableEdit, TableEditor};
use comfreychute::id::{DomainId, InstanceId, UpstreamId};
use comfreychute::node::Node;
use comfreychute::platform_client::{ListedInstance, ObjectStore};
use comfreychute::settings::NodeSettings;
use comfreychute::{Error, ErrorKind, Result};

use super::CapacitySettings;
use crate::engine::EngineSettings;
use crate::fleet::FleetTables;
use crate::platform::PlatformSettings;
use crate::{EngineStandin, PlatformStandin};

/// Time within which the largest fleet becomes ready on a busy machine.
const READY_LIMIT: Duration = Duration::from_mins(1);
/// Interval of checks whether all nodes have reached a state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const DOMAIN: &str = "north";

/// Nodes, engines and a platform in one process and one failure domain.
#[derive(Debug)]
pub struct CapacityFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    nodes: Vec<Node>,
    tables: FleetTables,
}

impl CapacityFleet {
    /// Starts the platform and the engines and applies the tables, without nodes.
    ///
    /// # Errors
    ///
    /// Returns the first error of a part that does not start.
    pub async fn start(engine_count: u32) -> Result<Self> {
        let platform = PlatformStandin::start(PlatformSettings::default()).await?;
        let mut tables = FleetTables::demo(&BTreeMap::new())?;
        let pool = &mut tables.pools.pools[0];
        let template = pool.upstreams[0].clone();
        pool.upstreams.clear();
        let mut engines = Vec::new();
        for index in 0..engine_count {
            let engine = EngineStandin::start(EngineSettings::default()).await?;
            let mut upstream = template.clone();
            upstream.name = UpstreamId::from_name(&format!("engine-{index:03}"));
            upstream.domain = DomainId::from_name(DOMAIN);
            upstream.address = engine.address();
            pool.upstreams.push(upstream);
            engines.push(engine);
        }
        let fleet = Self {
            platform,
            engines,
            nodes: Vec::new(),
            tables,
        };
        fleet.apply(&fleet.tables.to_edit("capacity")).await?;
        Ok(fleet)
    }

    /// Starts the nodes and waits until all have the tables and links to each other.
    ///
    /// # Errors
    ///
    /// Returns the error of a node, or [`ErrorKind::Unavailable`] if the nodes are not ready in time.
    pub async fn add_nodes(&mut self, settings: &CapacitySettings) -> Result<()> {
        let mut listed = Vec::new();
        for index in 0..settings.nodes {
            let mut node = NodeSettings::default();
            node.instance.name = InstanceId::from_name(&format!("node-{index:03}"));
            node.instance.domain = DomainId::from_name(DOMAIN);
            node.platform.address = self.platform.address();
            node.platform.list_interval = settings.list_interval;
            node.peer.heartbeat_interval = settings.heartbeat_interval;
            let (id, domain) = (node.instance.name.clone(), node.instance.domain.clone());
            let node = Node::start(node)?;
            listed.push(ListedInstance {
                id,
                domain,
                peer_address: node.peer_address(),
                is_leaving: false,
            });
            self.nodes.push(node);
        }
        self.platform.set_instances(listed);
        let others = self.nodes.len() - 1;
        let engines = self.engines.len();
        self.all(|node| {
            let report = node.report();
            let healthy = report.upstreams.iter().filter(|row| row.is_healthy);
            report.is_ready && report.peers.len() >= others && healthy.count() >= engines
        })
        .await
    }

    /// Changes the timeout of a route and waits until the change is in force on all nodes.
    ///
    /// # Errors
    ///
    /// Returns the error of the editor, or [`ErrorKind::Unavailable`] if the change does not arrive.
    pub async fn change(&mut self, number: u32) -> Result<()> {
        // An edit that changes nothing gets no revision, so this differs from the 30 s of the example.
        self.tables.routes.routes[0].timeout = Duration::from_secs(31 + u64::from(number % 2));
        let before = self.nodes.iter().map(Node::revision).max().unwrap_or(0);
        self.apply(&self.tables.to_edit("capacity")).await?;
        self.all(|node| node.revision() > before).await
    }

    /// Borrows the platform.
    #[must_use]
    pub const fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns the bytes of heartbeats that all nodes have sent.
    #[must_use]
    pub fn heartbeat_bytes(&self) -> u64 {
        self.nodes.iter().map(Node::heartbeat_bytes).sum()
    }

    async fn apply(&self, edit: &TableEdit) -> Result<()> {
        let store = ObjectStore::new(self.platform.address(), Duration::from_secs(2));
        TableEditor::new(store, 5).apply(edit).await.map(drop)
    }

    async fn all(&self, is_reached: impl Fn(&Node) -> bool) -> Result<()> {
        let reached = async {
            while !self.nodes.iter().all(&is_reached) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(READY_LIMIT, reached)
            .await
            .map_err(|elapsed| {
                Error::new(
                    ErrorKind::Unavailable,
                    format!("the nodes did not reach the awaited state in time: {elapsed}"),
                )
            })
    }
}
