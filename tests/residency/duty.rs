//! Which instance watches the store closely.

use std::time::Duration;

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::peer::LivePeer;
use comfreychute::residency::has_watch_duty;

fn peer(name: &str, domain: &str) -> LivePeer {
    LivePeer {
        id: InstanceId::from_name(name),
        domain: DomainId::from_name(domain),
        incarnation: 1,
        silent_for: Duration::ZERO,
        is_draining: false,
        is_linked: true,
    }
}

fn has_duty(name: &str, peers: &[LivePeer]) -> bool {
    has_watch_duty(
        &InstanceId::from_name(name),
        &DomainId::from_name("north"),
        peers,
    )
}

/// Guards against a failure domain in which nobody, or everybody, watches closely.
#[test]
fn one_instance_of_each_domain_has_the_duty() {
    let names = ["a", "b", "c", "d"];

    let on_duty = names.iter().filter(|name| {
        let others = names.iter().filter(|other| other != name);
        let peers: Vec<LivePeer> = others.map(|other| peer(other, "north")).collect();
        has_duty(name, &peers)
    });

    assert_eq!(on_duty.count(), 1);
}

/// Guards against a domain that is cut off and relies on watchers that it cannot hear.
#[test]
fn instance_without_a_peer_in_its_domain_has_the_duty() {
    assert!(has_duty("z", &[]));
    assert!(has_duty("z", &[peer("a", "south"), peer("b", "south")]));
}

/// Guards against a watcher that is leaving, or that no link reaches.
#[test]
fn leaving_and_unreachable_instances_do_not_watch_for_others() {
    let leaving = LivePeer {
        is_draining: true,
        ..peer("a", "north")
    };
    let unreachable = LivePeer {
        is_linked: false,
        ..peer("b", "north")
    };

    assert!(has_duty("z", &[leaving, unreachable]));
    assert!(!has_duty("z", &[peer("a", "north")]));
}
