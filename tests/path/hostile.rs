//! Hostile bytes on every port of a node neither end it nor keep it from serving.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fixture::{LIMIT, fetch};
use crate::process_fleet::{FleetPlan, ProcessFleet, complete, expected_text, streamed_text};

/// Seed of the random bytes.
const SEED: u64 = 0x6c6f_7261;
/// Time for which a connection that is not closed is read.
const READ_LIMIT: Duration = Duration::from_secs(1);

/// Builds byte strings that no well-behaved client sends.
fn hostile_inputs() -> Vec<Vec<u8>> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut inputs: Vec<Vec<u8>> = (0..24)
        .map(|round| {
            let mut bytes = vec![0; 1 << (round % 16)];
            random.fill(bytes.as_mut_slice());
            bytes
        })
        .collect();
    // A frame that claims 4 GiB, one of zero bytes, and one whose content is no message.
    inputs.push(vec![0xff; 4]);
    inputs.push(vec![0; 4]);
    inputs.push([&[0, 0, 1, 0][..], &[0xff; 256]].concat());
    let heads = [
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n{\"model\":".to_owned(),
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n"
            .to_owned(),
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 18446744073709551615\r\n\r\n"
            .to_owned(),
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n12345"
            .to_owned(),
        format!("GET /state HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "a".repeat(1 << 20)),
        format!("GET /state HTTP/1.1\r\nhost: a\r\n{}\r\n", "x-many: a\r\n".repeat(5_000)),
        format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "a".repeat(100_000)),
        "GET /state HTTP/1.1\r\nhost:".to_owned(),
    ];
    inputs.extend(heads.into_iter().map(String::into_bytes));
    let long = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        long.len()
    );
    inputs.push([head.into_bytes(), long].concat());
    inputs
}

/// Sends bytes, reads what comes back for a while, and returns the connection still open.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let connected = timeout(LIMIT, TcpStream::connect(address)).await;
    let mut connection = connected
        .expect("a connection in time")
        .expect("the node accepts connections");
    // The node may close the connection before it has read everything.
    let _sent = timeout(READ_LIMIT, connection.write_all(bytes)).await;
    let mut answer = vec![0; 4_096];
    let _read = timeout(READ_LIMIT, connection.read(&mut answer)).await;
    connection
}

/// Guards against a crash by input that is no valid request, and against half-open requests that
/// keep a port from serving others.
#[tokio::test]
async fn hostile_bytes_on_any_port_leave_the_node_serving() {
    let fleet = ProcessFleet::start(FleetPlan::new("hostile")).await;
    let inputs = hostile_inputs();
    println!("seed {SEED:#x}, {} inputs", inputs.len());
    let node = &fleet.nodes["node-1"];
    let process = node.process.id();

    let mut open = Vec::new();
    for port in [node.ports.caller, node.ports.peer, node.ports.admin] {
        let sends = inputs.iter().map(|bytes| send_bytes(port, bytes));
        open.extend(futures_util::future::join_all(sends).await);
    }

    // The hostile connections are still open here.
    let ports = node.ports;
    for number in 0..6 {
        let prompt = format!("label {number}");
        let (status, body) = complete(ports.caller, "coop-1@1", &prompt, 5).await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(streamed_text(&body), expected_text("coop-1@1", &prompt, 5));
    }
    let (status, body) = fetch(Method::GET, ports.admin, "/state", &[], "").await;
    assert_eq!(status, 200, "{body}");
    fleet.ready().await;
    drop(open);
    let state = std::fs::read_to_string(format!("/proc/{process}/status"));
    assert!(
        state.is_ok_and(|text| !text.contains("State:\tZ")),
        "the node still runs"
    );
    let log = std::fs::read_to_string(fleet.log_path("node-1")).expect("the log of the node");
    assert!(!log.contains("panicked"), "a task panicked: {log}");
}
