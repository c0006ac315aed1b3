use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use comfreychute_standins::engine::TokenText;
use http::Method;

use crate::fixture::{
    LIMIT, NodePorts, OwnedProcess, command, fetch, free_ports, node, node_with_seed, standin,
    wait_for_state, write_tables,
};

/// How a fleet differs from the example.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The name of the test, for its directory.
    pub test: &'static str,
    /// Nodes and their failure domains.
    pub nodes: &'static [(&'static str, &'static str)],
    /// Flags of the engines.
    pub engine: Vec<&'static str>,
    /// The fencing mode in the pool table.
    pub fencing: &'static str,
}

impl FleetPlan {
    /// Three nodes in two failure domains and engines that check fencing tokens.
    pub fn new(test: &'static str) -> Self {
        Self {
            test,
            nodes: &[
                ("node-1", "north"),
                ("node-2", "north"),
                ("node-3", "south"),
            ],
            engine: vec!["--token-interval", "20ms", "--checks-fencing"],
            fencing: "checked",
        }
    }
}

/// A node process and its ports.
pub struct FleetNode {
    pub process: OwnedProcess,
    pub ports: NodePorts,
    pub domain: &'static str,
}

/// Platform, two engines, a plain service and nodes, all separate processes.
pub struct ProcessFleet {
    pub nodes: BTreeMap<&'static str, FleetNode>,
    pub platform: OwnedProcess,
    pub engines: OwnedProcess,
    pub desk: OwnedProcess,
    plan: FleetPlan,
    directory: PathBuf,
    addresses: BTreeMap<&'static str, SocketAddr>,
}

impl ProcessFleet {
    /// Starts all processes and waits until every node is ready.
    pub async fn start(plan: FleetPlan) -> Self {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(plan.test);
        std::fs::create_dir_all(&directory).expect("a directory for the test");
        let platform = standin("comfreychute-platform", &[]);
        let engines = standin(
            "comfreychute-engine",
            &[&["--count", "2"], plan.engine.as_slice()].concat(),
        );
        let desk = standin("comfreychute-plain", &[]);
        let addresses = BTreeMap::from([
            ("engine-1", engines.addresses[0]),
            ("engine-2", engines.addresses[1]),
            ("desk-1", desk.addresses[0]),
        ]);
        let nodes = BTreeMap::new();
        let mut fleet = Self {
            nodes,
            platform,
            engines,
            desk,
            plan,
            directory,
            addresses,
        };
        let ports: Vec<NodePorts> = fleet.plan.nodes.iter().map(|_| free_ports()).collect();
        let starts: Vec<_> = fleet.plan.nodes.iter().zip(ports).collect();
        for ((name, domain), ports) in starts {
            fleet.start_node(name, domain, ports);
        }
        fleet.publish().await;
        fleet.apply(|routes| routes, |pools| pools);
        fleet.ready().await;
        fleet
    }

    /// Starts a node process; it is listed with the next [`ProcessFleet::publish`].
    pub fn start_node(&mut self, name: &'static str, domain: &'static str, ports: NodePorts) {
        let process = node(
            name,
            domain,
            ports,
            self.platform.addresses[0],
            &self.directory,
        );
        self.nodes.insert(
            name,
            FleetNode {
                process,
                ports,
                domain,
            },
        );
    }

    /// Starts a node process that dials a seed, for times when the platform is out.
    pub fn start_node_with_seed(
        &mut self,
        name: &'static str,
        domain: &'static str,
        ports: NodePorts,
        seed: &str,
    ) {
        let platform = self.platform.addresses[0];
        let process = node_with_seed(name, domain, ports, platform, &self.directory, seed);
        self.nodes.insert(
            name,
            FleetNode {
                process,
                ports,
                domain,
            },
        );
    }

    /// Returns the path of a node's log.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.log"))
    }

    /// Writes the list of instances to the platform.
    pub async fn publish(&self) {
        let list = self.nodes.iter().map(|(id, node)| {
            serde_json::json!({ "id": id, "domain": node.domain, "peer_address": node.ports.peer })
        });
        let list = list.collect::<serde_json::Value>().to_string();
        let platform = self.platform.addresses[0];
        let (status, body) = fetch(Method::PUT, platform, "/control/instances", &[], &list).await;
        assert_eq!(status, 204, "{body}");
    }

    /// Applies the example tables after an edit of their text.
    pub fn apply(&self, routes: impl Fn(String) -> String, pools: impl Fn(String) -> String) {
        let (routes_path, pools_path) =
            write_tables(&self.directory, &self.addresses, "\"coop-*@1\"");
        let edit = |path: &str, change: &dyn Fn(String) -> String| {
            let text = std::fs::read_to_string(path).expect("a table");
            std::fs::write(path, change(text)).expect("a table is written");
        };
        edit(&routes_path, &routes);
        edit(&pools_path, &|text| {
            pools(text.replace(
                "fencing = \"checked\"",
                &format!("fencing = \"{}\"", self.plan.fencing),
            ))
        });
        let platform = self.platform.addresses[0].to_string();
        let (is_ok, text) = command(&[
            "apply",
            "--routes",
            &routes_path,
            "--pools",
            &pools_path,
            "--platform",
            &platform,
            "--author",
            "test",
        ]);
        assert!(is_ok, "the edit is accepted: {text}");
    }

    /// Waits until every running node knows every upstream as healthy.
    pub async fn ready(&self) {
        for node in self.nodes.values() {
            wait_for_state(node.ports.admin, "all upstreams healthy", is_healthy).await;
        }
    }

    /// Waits until a node has the revision.
    pub async fn wait_for_revision(&self, revision: u64) {
        for node in self.nodes.values() {
            wait_for_state(node.ports.admin, "the revision", |state| {
                state["revision"] == revision
            })
            .await;
        }
    }

    /// Returns the owner of an upstream as a node sees it.
    pub async fn owner(&self, node: &str, upstream: &str) -> String {
        let (_, body) = fetch(Method::GET, self.nodes[node].ports.admin, "/state", &[], "").await;
        let state: serde_json::Value = serde_json::from_str(&body).expect("the state is JSON");
        let upstreams = state["upstreams"].as_array().expect("a list of upstreams");
        let row = upstreams
            .iter()
            .find(|row| row["name"] == upstream)
            .expect("the upstream is known");
        row["owner"]
            .as_str()
            .expect("the upstream has an owner")
            .to_owned()
    }

    /// Changes the settings of a stand-in.
    pub async fn control(&self, standin: SocketAddr, settings: &serde_json::Value) {
        let settings = settings.to_string();
        let (status, body) = fetch(Method::PUT, standin, "/control/settings", &[], &settings).await;
        assert!(status < 300, "{body}");
    }

    /// Reads the journal of an upstream.
    pub async fn journal(&self, standin: SocketAddr) -> Vec<serde_json::Value> {
        let (_, body) = fetch(Method::GET, standin, "/control/journal", &[], "").await;
        serde_json::from_str(&body).expect("the journal is a list")
    }

    /// Reads one counter of all engines together.
    pub async fn engine_counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for address in &self.engines.addresses {
            let (_, body) = fetch(Method::GET, *address, "/control/counters", &[], "").await;
            let counters: serde_json::Value =
                serde_json::from_str(&body).expect("counters are JSON");
            sum += counters[name].as_u64().expect("a known counter");
        }
        sum
    }

    /// Waits until a condition on the fleet holds.
    pub async fn wait_for(&self, what: &str, mut is_met: impl AsyncFnMut(&Self) -> bool) {
        let start = Instant::now();
        while !is_met(self).await {
            assert!(start.elapsed() < LIMIT, "the fleet does not reach: {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn is_healthy(state: &serde_json::Value) -> bool {
    let upstreams = state["upstreams"].as_array();
    upstreams.is_some_and(|upstreams| {
        !upstreams.is_empty()
            && upstreams
                .iter()
                .all(|upstream| upstream["is_healthy"] == true)
    })
}

/// Builds the body of a completion.
pub fn completion(adapter: &str, prompt: &str, tokens: u64, is_streamed: bool) -> String {
    serde_json::json!({
        "model": format!("label/{adapter}"), "prompt": prompt, "max_tokens": tokens, "stream": is_streamed
    })
    .to_string()
}

/// Returns the text that an unbroken run of the adapter gives.
pub fn expected_text(adapter: &str, prompt: &str, tokens: u64) -> String {
    let adapter = adapter.parse().expect("an adapter with a version");
    TokenText::new(&adapter, TokenText::digest(&serde_json::json!(prompt))).whole(tokens)
}

/// Joins the text of a streamed answer; panics if it has no end marker.
pub fn streamed_text(body: &str) -> String {
    assert!(
        body.trim_end().ends_with("data: [DONE]"),
        "the answer is not whole: {body}"
    );
    let events = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]");
    let text = |data: &str| {
        let event: serde_json::Value = serde_json::from_str(data).expect("an event is JSON");
        event["choices"][0]["text"]
            .as_str()
            .expect("an event has a text")
            .to_owned()
    };
    events.map(text).collect()
}

/// Sends a streamed completion and returns its status and body.
pub async fn complete(
    address: SocketAddr,
    adapter: &str,
    prompt: &str,
    tokens: u64,
) -> (u16, String) {
    let body = completion(adapter, prompt, tokens, true);
    fetch(
        Method::POST,
        address,
        "/v1/completions",
        &[("x-deadline-ms", "50000")],
        &body,
    )
    .await
}
