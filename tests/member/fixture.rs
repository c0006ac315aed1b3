//! Fixtures for tests of membership.

use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::peer::LivePeer;
use comfreychute::platform_client::ListedInstance;
use proptest::test_runner::{Config, RngSeed};

pub const TIMEOUT: Duration = Duration::from_secs(3);

pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn id(number: usize) -> InstanceId {
    InstanceId::from_name(&format!("node-{number}"))
}

/// Instances are spread over three failure domains.
pub fn domain_of(number: usize) -> DomainId {
    DomainId::from_name(&format!("zone-{}", number % 3))
}

pub fn listed(number: usize) -> ListedInstance {
    ListedInstance {
        id: id(number),
        domain: domain_of(number),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        is_leaving: false,
    }
}

pub fn live(number: usize) -> LivePeer {
    LivePeer {
        id: id(number),
        domain: domain_of(number),
        incarnation: 1,
        silent_for: Duration::ZERO,
        is_draining: false,
        is_linked: true,
    }
}
