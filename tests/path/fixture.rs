//! Starts processes and talks HTTP to them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Limit of every wait; far above what any step takes on a loaded machine.
pub const LIMIT: Duration = Duration::from_mins(1);

/// Makes a child the leader of a process group of its own.
///
/// A test stops processes. When the shell that started the tests ends, the group of the tests may
/// become orphaned, and the kernel sends SIGHUP to an orphaned group with stopped members.
const OWN_GROUP: i32 = 0;

/// A process that is ended when the test ends.
pub struct OwnedProcess {
    child: Child,
    pub addresses: Vec<SocketAddr>,
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl OwnedProcess {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the number of its process group.
    pub fn group_id(&self) -> u32 {
        let path = format!("/proc/{}/stat", self.child.id());
        let line = std::fs::read_to_string(path).expect("the process runs");
        // The name in parentheses may hold spaces; the state and the parent follow it.
        let (_, fields) = line.rsplit_once(") ").expect("a name in parentheses");
        let group = fields.split(' ').nth(2).expect("a process group");
        group.parse().expect("a number")
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(
            status.expect("kill runs").success(),
            "the process {pid} takes signal {signal}"
        );
    }

    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(start.elapsed() < LIMIT, "the process ends");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Finds a program of this workspace beside the one under test.
fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_comfreychute")).with_file_name(name)
}

/// Starts a stand-in and reads its addresses from the line that it prints when it is ready.
pub fn standin(name: &str, args: &[&str]) -> OwnedProcess {
    let mut child = Command::new(program(name))
        .args(args)
        .process_group(OWN_GROUP)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| panic!("{name} starts: {error}"));
    let mut line = String::new();
    let output = child.stdout.take().expect("the output is piped");
    BufReader::new(output)
        .read_line(&mut line)
        .expect("the stand-in prints a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    let addresses = ready["addresses"]
        .as_array()
        .expect("the line lists addresses");
    let addresses = addresses
        .iter()
        .map(|address| {
            address
                .as_str()
                .and_then(|address| address.parse().ok())
                .expect("an address")
        })
        .collect();
    OwnedProcess { child, addresses }
}

/// The ports of a node, chosen before it starts.
#[derive(Debug, Clone, Copy)]
pub struct NodePorts {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Finds three free ports.
///
/// They lie below the range that the system gives to outgoing connections; a port of that range
/// could be taken between this check and the start of the node.
pub fn free_ports() -> NodePorts {
    NodePorts {
        caller: free_port(),
        peer: free_port(),
        admin: free_port(),
    }
}

fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(18_000);
    let free = std::iter::repeat_with(|| NEXT.fetch_add(1, Ordering::Relaxed))
        .take_while(|port| *port < 32_000)
        .find_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let listener = free.expect("a free port below 32000");
    listener.local_addr().expect("a bound address")
}

/// Starts a node process.
pub fn node(
    name: &str,
    domain: &str,
    ports: NodePorts,
    platform: SocketAddr,
    directory: &Path,
) -> OwnedProcess {
    start_node(name, domain, ports, platform, directory, "[]")
}

/// Starts a node process that dials a seed, `name/domain/address`.
pub fn node_with_seed(
    name: &str,
    domain: &str,
    ports: NodePorts,
    platform: SocketAddr,
    directory: &Path,
    seed: &str,
) -> OwnedProcess {
    start_node(
        name,
        domain,
        ports,
        platform,
        directory,
        &format!("[\"{seed}\"]"),
    )
}

fn start_node(
    name: &str,
    domain: &str,
    ports: NodePorts,
    platform: SocketAddr,
    directory: &Path,
    seeds: &str,
) -> OwnedProcess {
    let file = directory.join(format!("{name}.toml"));
    let text = format!(
        "[instance]\nname = \"{name}\"\ndomain = \"{domain}\"\n\
         [caller]\naddress = \"{}\"\n[peer]\naddress = \"{}\"\nseeds = {seeds}\n[admin]\naddress = \"{}\"\n\
         [platform]\naddress = \"{platform}\"\nlist_interval = \"200ms\"\n",
        ports.caller, ports.peer, ports.admin
    );
    std::fs::write(&file, text).expect("the settings are written");
    let log = std::fs::File::create(directory.join(format!("{name}.log"))).expect("a log file");
    let child = Command::new(env!("CARGO_BIN_EXE_comfreychute"))
        .args(["node", "--settings"])
        .arg(&file)
        .process_group(OWN_GROUP)
        .stderr(log)
        .spawn()
        .expect("the node starts");
    OwnedProcess {
        child,
        addresses: vec![ports.caller, ports.peer, ports.admin],
    }
}

/// Runs a subcommand of the command line and returns its output.
pub fn command(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_comfreychute"))
        .args(args)
        .output()
        .expect("the command runs");
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    (output.status.success(), text)
}

/// Writes the example tables with the addresses of running upstreams.
pub fn write_tables(
    directory: &Path,
    addresses: &BTreeMap<&str, SocketAddr>,
    adapters: &str,
) -> (String, String) {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/demo");
    let routes = std::fs::read_to_string(example.join("routes.toml")).expect("the example routes");
    let mut pools = std::fs::read_to_string(example.join("pools.toml")).expect("the example pools");
    for (from, name) in [
        ("127.0.0.1:7201", "engine-1"),
        ("127.0.0.1:7202", "engine-2"),
        ("127.0.0.1:7301", "desk-1"),
    ] {
        pools = pools.replace(from, &addresses[name].to_string());
    }
    let routes = routes.replace("\"coop-*@1\", \"coop-*@2\"", adapters);
    let write = |name: &str, text: String| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("a table is written");
        path.to_str().expect("a path in UTF-8").to_owned()
    };
    (write("routes.toml", routes), write("pools.toml", pools))
}

/// Creates an HTTP client with connections of its own.
pub fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Builds a request.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("a request")
}

/// Sends a request and returns the answer with its body still open.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> http::Response<Incoming> {
    let request = request(method, address, path, headers, body);
    let answer = tokio::time::timeout(LIMIT, client().request(request))
        .await
        .expect("an answer in time");
    answer.expect("an answer")
}

/// Sends a request and returns status and body.
pub async fn fetch(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, String) {
    let answer = send(method, address, path, headers, body).await;
    let status = answer.status().as_u16();
    let body = tokio::time::timeout(LIMIT, answer.into_body().collect())
        .await
        .expect("a body in time");
    let body = body.expect("a whole body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Waits until `is_met` holds for the state that a node reports.
pub async fn wait_for_state(
    address: SocketAddr,
    what: &str,
    is_met: impl Fn(&serde_json::Value) -> bool,
) {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            let (_, body) = fetch(Method::GET, address, "/state", &[], "").await;
            let state = serde_json::from_str(&body).unwrap_or_default();
            if is_met(&state) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the node at {address} does not reach the state: {what}");
}
