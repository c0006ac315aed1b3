//! The project's own program, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

use crate::http::exchange;
use crate::ports::free_port;

/// The program of `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/comfreychute-edge";

#[derive(Debug)]
pub struct Edge {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

/// A machine of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: IpAddr,
    pub lease_ms: u64,
}

impl<'a> Machine<'a> {
    /// Returns a machine with the usual address and bounds.
    pub fn new(name: &'a str, zone: &'a str) -> Self {
        Self {
            name,
            zone,
            ip: [127, 0, 0, 1].into(),
            lease_ms: 3000,
        }
    }
}

/// The settings of a small deployment, with the bounds of its sheet; `lease_ms` is one of them.
fn settings_text(machine: &Machine<'_>, ports: [u16; 4], store: SocketAddr) -> String {
    let Machine {
        name,
        zone,
        ip,
        lease_ms,
    } = machine;
    let [frontend, readiness, peers, metrics] = ports;
    format!(
        r#"node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "leinster"
internal_ports = [{peers}, {last}]
metrics_port = {metrics}
seeds = []
bootstrap = true
counts_toward_quorum = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
leinster-a = "leinster"
leinster-b = "leinster"
leinster-c = "leinster"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_extension_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
recovery_s = 12
pass_ms = 120
retry_after_s = 0
fencing_enforced = false
lease_ms = {lease_ms}
thaw_ms = 300
rate_window_s = 5
ceiling_over = 1.1
version_ms = 5000
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"#,
        last = peers.saturating_add(1),
    )
}

impl Edge {
    /// Starts the process of a machine, with its settings in the folder `temp`.
    pub async fn start(temp: &Path, machine: &Machine<'_>, store: SocketAddr) -> Self {
        let (name, ip) = (machine.name, machine.ip);
        let ports = [
            free_port(ip).await,
            free_port(ip).await,
            free_port(ip).await,
            free_port(ip).await,
        ];
        let settings = temp.join(format!("{name}-{ip}.toml"));
        std::fs::write(&settings, settings_text(machine, ports, store)).expect("writable");
        let child = spawn(&settings, &temp.join(format!("{name}-{ip}.log")));
        Self {
            name: name.to_owned(),
            frontend: (ip, ports[0]).into(),
            readiness: (ip, ports[1]).into(),
            child,
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process is a child");
    }

    /// Kills the process; it isn't started again.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }

    pub async fn is_ready(&self) -> bool {
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.readiness, request, Duration::from_secs(1))
            .await
            .status
            == 200
    }

    /// Waits until the process is ready; returns whether it is.
    pub async fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::create(log).expect("the log can be written");
    let errors = output.try_clone().expect("a second handle");
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("COMFREYCHUTE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the build of deploy/system.toml has run, and this is the root of the repository")
}
