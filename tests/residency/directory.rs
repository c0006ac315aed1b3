//! Where adapters are resident, as owners tell it.

use std::time::Duration;

use comfreychute::forward::ModelRef;
use comfreychute::id::{InstanceId, UpstreamId};
use comfreychute::peer::OwnedItem;
use comfreychute::residency::ResidencyDirectory;

fn item(adapters: &[&str]) -> OwnedItem {
    OwnedItem {
        upstream: "engine-1".to_owned(),
        incarnation: 1,
        models: vec!["base".to_owned()],
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
        backlog_ms: 0,
        is_unchanged: false,
    }
}

fn view(adapters: &[&str]) -> ResidencyDirectory {
    let view = ResidencyDirectory::new();
    let owner = InstanceId::from_name("a");
    view.merge(&owner, &[item(adapters)], Duration::ZERO);
    view
}

/// Guards against requests that start on a version older than the announced one.
#[test]
fn older_version_does_not_count_as_resident() {
    let view = view(&["base/a1@2"]);
    let (upstream, model) = (
        UpstreamId::from_name("engine-1"),
        ModelRef::new("base", "a1"),
    );

    assert_eq!(view.resident_version(&upstream, &model, 2), Some(2));
    assert_eq!(view.resident_version(&upstream, &model, 3), None);
}

/// Guards against requests that are sent again to an upstream that has refused the adapter.
#[test]
fn refused_adapter_is_forgotten() {
    let view = view(&["base/a1@0"]);
    let (upstream, model) = (
        UpstreamId::from_name("engine-1"),
        ModelRef::new("base", "a1"),
    );

    view.record_absent(&upstream, &model);

    assert_eq!(view.resident_version(&upstream, &model, 0), None);
}

/// Guards against requests that wait for an owner that is gone.
#[test]
fn silent_owner_is_not_asked() {
    let view = view(&[]);
    let upstream = UpstreamId::from_name("engine-1");

    assert!(view.owner_of(&upstream, Duration::from_secs(1)).is_some());
    assert!(view.owner_of(&upstream, Duration::from_secs(2)).is_none());
}
