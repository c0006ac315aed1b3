//! Free ports that no outgoing connection is given.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

/// The first port and the number of ports to choose from, below those of outgoing connections.
const FIRST_PORT: u32 = 10_240;
const PORTS: u32 = 20_000;

/// Step between two candidates; it has no factor in common with the number of ports.
const STEP: u32 = 7_919;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Listens on a free port.
pub async fn listen(ip: IpAddr) -> TcpListener {
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id() % PORTS * 31 + number * STEP) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind((ip, port)).await {
            return listener;
        }
    }
    panic!("no port is free");
}

/// Returns a free port.
pub async fn free_port(ip: IpAddr) -> u16 {
    listen(ip).await.local_addr().expect("an address").port()
}
