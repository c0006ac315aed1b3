//! The directory of resident adapters that the owners report.

use std::time::Duration;

use comfreychute::forward::ModelRef;
use comfreychute::id::{InstanceId, UpstreamId};
use comfreychute::peer::OwnedUpstream;
use comfreychute::residency::ResidencyDirectory;

fn item(adapters: &[&str]) -> OwnedUpstream {
    OwnedUpstream {
        upstream: "engine-1".to_owned(),
        incarnation: 1,
        models: vec!["base".to_owned()],
        adapters: adapters.iter().map(|name| (*name).to_owned()).collect(),
        backlog_ms: 0,
        is_unchanged: false,
        model_versions: vec![1],
    }
}

fn directory(adapters: &[&str]) -> ResidencyDirectory {
    let directory = ResidencyDirectory::new();
    let owner = InstanceId::from_name("a");
    directory.merge(&owner, &[item(adapters)], Duration::ZERO);
    directory
}

/// Guards against requests that are served with a version older than the announced one.
#[test]
fn older_version_does_not_count_as_resident() {
    let directory = directory(&["base/a1@2"]);
    let (upstream, model) = (
        UpstreamId::from_name("engine-1"),
        ModelRef::new("base", "a1"),
    );

    assert_eq!(directory.resident_version(&upstream, &model, 2), Some(2));
    assert_eq!(directory.resident_version(&upstream, &model, 3), None);
}

/// Guards against requests for a base model that are sent to engines with outdated weights.
#[test]
fn older_base_model_does_not_count_as_resident() {
    let directory = directory(&[]);
    let (upstream, model) = (UpstreamId::from_name("engine-1"), ModelRef::new("base", ""));

    assert_eq!(directory.resident_version(&upstream, &model, 1), Some(1));
    assert_eq!(directory.resident_version(&upstream, &model, 2), None);
    directory.record_resident(&upstream, &model, 2);
    assert_eq!(directory.resident_version(&upstream, &model, 2), Some(2));
}

/// Guards against requests for a base model that are refused because its owner runs an older build,
/// which states no versions of base models.
#[test]
fn base_model_without_a_version_serves_requests_for_any_version() {
    let directory = ResidencyDirectory::new();
    let owner = InstanceId::from_name("a");
    let without_versions = OwnedUpstream {
        model_versions: Vec::new(),
        ..item(&[])
    };
    directory.merge(&owner, &[without_versions], Duration::ZERO);
    let (upstream, model) = (UpstreamId::from_name("engine-1"), ModelRef::new("base", ""));

    assert_eq!(directory.resident_version(&upstream, &model, 0), Some(0));
}

/// Guards against requests that are sent again to an upstream that has refused the adapter.
#[test]
fn refused_adapter_is_removed() {
    let directory = directory(&["base/a1@0"]);
    let (upstream, model) = (
        UpstreamId::from_name("engine-1"),
        ModelRef::new("base", "a1"),
    );

    directory.record_absent(&upstream, &model);

    assert_eq!(directory.resident_version(&upstream, &model, 0), None);
}

/// Guards against load requests that wait for an owner that has failed.
#[test]
fn silent_owner_expires() {
    let directory = directory(&[]);
    let upstream = UpstreamId::from_name("engine-1");

    assert!(
        directory
            .owner_of(&upstream, Duration::from_secs(1))
            .is_some()
    );
    assert!(
        directory
            .owner_of(&upstream, Duration::from_secs(2))
            .is_none()
    );
}
