use std::time::Duration;

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::peer::LivePeer;

/// Creates a peer with a working link.
pub fn peer(name: &str, domain: &str) -> LivePeer {
    LivePeer {
        id: InstanceId::from_name(name),
        domain: DomainId::from_name(domain),
        incarnation: 1,
        silent_for: Duration::ZERO,
        is_draining: false,
        is_linked: true,
    }
}
