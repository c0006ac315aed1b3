//! The project's program, started as on a machine of a small deployment.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::HttpConnection;
use crate::record::Record;
use crate::store::Store;

/// The program of the deploy file, below the root of the repository.
const PROGRAM: &str = "target/release/comfreychute-edge";

/// The signals that a case sends.
#[derive(Debug, Clone, Copy)]
#[repr(i32)]
pub enum Signal {
    Hangup = 1,
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

/// The option of `prctl` that names the signal which a process gets when its parent ends.
const SET_DEATH_SIGNAL: i32 = 1;

/// An `edge` machine with its process.
#[derive(Debug)]
pub struct Edge {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    root: PathBuf,
    record: Record,
    process: Option<Child>,
}

impl Edge {
    /// Writes the settings of a machine and starts its process. `folder` is a temporary one, `ip` a
    /// loopback address of the machine's own.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        ip: &str,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let ports = free_ports(ip)?;
        let settings = folder.join(format!("{name}.toml"));
        let [frontend, readiness, control, first] = ports;
        let text = format!(
            r#"node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "leinster"
internal_ports = [{first}, {last}]
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
control_plane = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = {cores}
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
lease_ms = 3000
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
            last = first + 15,
            store = store.address,
            cores = std::env::var("CORES").unwrap_or_else(|_| "1".to_owned()),
        );
        fs::write(&settings, text)?;
        let mut edge = Self {
            name: name.to_owned(),
            frontend: format!("{ip}:{frontend}").parse().expect("an address"),
            readiness: format!("{ip}:{readiness}").parse().expect("an address"),
            settings,
            output: folder.join(format!("{name}.log")),
            root: root.to_owned(),
            record: record.clone(),
            process: None,
        };
        edge.launch()?;
        Ok(edge)
    }

    /// Starts the process again, after its end.
    pub fn launch(&mut self) -> io::Result<()> {
        let output = File::options()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let mut command = Command::new(self.root.join(PROGRAM));
        command
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("COMFREYCHUTE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        // SAFETY: the call allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| {
                // The process ends with the one that plays the case, however that ends.
                let _result = prctl(SET_DEATH_SIGNAL, Signal::Kill as u64, 0, 0, 0);
                Ok(())
            });
        }
        let process = command.spawn()?;
        self.record
            .line(&format!("{} starts as process {}", self.name, process.id()));
        self.process = Some(process);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            self.record.line(&format!("{} gets {signal:?}", self.name));
            let id = i32::try_from(process.id()).expect("an id of a process");
            // SAFETY: the process was started here and was not waited for, so that its id is its own.
            let _result = unsafe { kill(id, signal as i32) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _result = process.wait();
            self.record.line(&format!("{} has ended", self.name));
        }
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = HttpConnection::open(self.readiness) else {
            return false;
        };
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n";
        connection.call(request, Duration::from_secs(1)).status == 200
    }

    /// Waits until the machine is ready; returns whether it became so.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the lines that the process has written.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _result = process.kill();
            let _result = process.wait();
        }
    }
}

/// Finds four free ports, the last of which has fifteen free ones after it as far as can be seen.
fn free_ports(ip: &str) -> io::Result<[u16; 4]> {
    let mut held = Vec::new();
    let mut ports = [0; 4];
    for port in &mut ports {
        let listener = loop {
            let listener = TcpListener::bind((ip, 0))?;
            if listener.local_addr()?.port() < 65_500 {
                break listener;
            }
        };
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}
