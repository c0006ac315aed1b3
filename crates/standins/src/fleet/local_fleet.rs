use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::config::{EditOutcome, TableEdit, TableEditor};
use comfreychute::id::{DomainId, InstanceId};
use comfreychute::node::Node;
use comfreychute::platform_client::{ListedInstance, ObjectStore};
use comfreychute::settings::NodeSettings;
use comfreychute::{Error, ErrorKind, Result};

use super::FleetTables;
use crate::engine::{EngineSettings, WeightStore};
use crate::plain::PlainSettings;
use crate::platform::PlatformSettings;
use crate::{EngineStandin, PlainStandin, PlatformStandin};

/// Time within which a fleet on loopback becomes ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// A platform, two engines, a plain service and nodes in one process.
#[derive(Debug)]
pub struct LocalFleet {
    /// The platform.
    pub platform: PlatformStandin,
    /// The engines by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// The plain service `desk-1`.
    pub desk: PlainStandin,
    /// The running nodes by name.
    pub nodes: BTreeMap<String, Node>,
    /// The tables that were applied last.
    pub tables: FleetTables,
    listed: BTreeMap<InstanceId, ListedInstance>,
}

impl LocalFleet {
    /// Starts the stand-ins, applies the example tables and starts `nodes`, pairs of name and
    /// failure domain.
    ///
    /// # Errors
    ///
    /// Returns the first error of a part that does not start.
    pub async fn start(engine: &EngineSettings, nodes: &[(&str, &str)]) -> Result<Self> {
        let platform = PlatformStandin::start(PlatformSettings::default()).await?;
        let store = WeightStore::default();
        let mut engines = BTreeMap::new();
        for name in ["engine-1", "engine-2"] {
            let standin = EngineStandin::start_with_store(engine.clone(), store.clone()).await?;
            engines.insert(name.to_owned(), standin);
        }
        let desk = PlainStandin::start(PlainSettings::default()).await?;
        let mut addresses: BTreeMap<String, SocketAddr> = engines
            .iter()
            .map(|(name, engine)| (name.clone(), engine.address()))
            .collect();
        addresses.insert("desk-1".to_owned(), desk.address());
        let tables = FleetTables::demo(&addresses)?;
        let mut fleet = Self {
            platform,
            engines,
            desk,
            nodes: BTreeMap::new(),
            tables,
            listed: BTreeMap::new(),
        };
        fleet.apply(&fleet.tables.to_edit("demo")).await?;
        for (name, domain) in nodes {
            fleet.add_node(name, domain)?;
        }
        fleet.ready().await?;
        Ok(fleet)
    }

    /// Applies an edit to the tables.
    ///
    /// # Errors
    ///
    /// Returns the error of the editor.
    pub async fn apply(&self, edit: &TableEdit) -> Result<EditOutcome> {
        let store = ObjectStore::new(self.platform.address(), Duration::from_secs(2));
        TableEditor::new(store, 5).apply(edit).await
    }

    /// Starts a node and adds it to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns the error of the node.
    pub fn add_node(&mut self, name: &str, domain: &str) -> Result<()> {
        let mut settings = NodeSettings::default();
        settings.instance.name = InstanceId::from_name(name);
        settings.instance.domain = DomainId::from_name(domain);
        settings.platform.address = self.platform.address();
        settings.platform.list_interval = Duration::from_millis(200);
        self.add_node_with(settings)
    }

    /// Starts a node with the given settings and adds it to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns the error of the node.
    pub fn add_node_with(&mut self, settings: NodeSettings) -> Result<()> {
        let (id, domain) = (
            settings.instance.name.clone(),
            settings.instance.domain.clone(),
        );
        let node = Node::start(settings)?;
        let listed = ListedInstance {
            id: id.clone(),
            domain,
            peer_address: node.peer_address(),
            is_leaving: false,
        };
        self.listed.insert(id.clone(), listed);
        self.publish();
        self.nodes.insert(id.to_string(), node);
        Ok(())
    }

    /// Removes a node from the platform's list and returns it, still running.
    pub fn take_node(&mut self, name: &str) -> Option<Node> {
        self.listed.remove(&InstanceId::from_name(name));
        self.publish();
        self.nodes.remove(name)
    }

    /// Returns the URL of a node's port for callers.
    ///
    /// # Panics
    ///
    /// Panics if no node of that name runs.
    #[must_use]
    pub fn url(&self, node: &str, path: &str) -> String {
        format!("http://{}{path}", self.nodes[node].caller_address())
    }

    /// Waits until every node has the tables and knows every upstream as healthy.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if that takes longer than 30 s.
    pub async fn ready(&self) -> Result<()> {
        let is_ready = |node: &Node| {
            let report = node.report();
            report.is_ready
                && !report.upstreams.is_empty()
                && report.upstreams.iter().all(|upstream| upstream.is_healthy)
        };
        let ready = async {
            while !self.nodes.values().all(is_ready) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_LIMIT, ready)
            .await
            .map_err(|elapsed| {
                Error::new(
                    ErrorKind::Unavailable,
                    format!("the fleet is not ready: {elapsed}"),
                )
            })
    }

    fn publish(&self) {
        self.platform
            .set_instances(self.listed.values().cloned().collect());
    }
}
