//! The object store and the list of instances, with the platform's faults.

use std::time::Duration;

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::platform_client::{
    InstanceList, ListedInstance, ObjectStore, VALUE_LIMIT_BYTES, WriteOutcome,
};
use comfreychute::{ErrorKind, RunState};
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::platform::{OutageMode, PlatformSettings};

use crate::fixture::{LONG, until};

/// Short enough for a test that waits for it, long enough for a reply on a busy machine.
const SHORT: Duration = Duration::from_secs(1);

async fn platform() -> (PlatformStandin, ObjectStore) {
    let platform = PlatformStandin::start(PlatformSettings::default())
        .await
        .unwrap();
    let store = ObjectStore::new(platform.address(), LONG);
    (platform, store)
}

/// Guards against updates that overwrite a version which the writer has not seen.
#[tokio::test]
async fn an_update_needs_the_present_version() {
    let (_platform, store) = platform().await;

    let first = store.write("owners/a b", b"one", None).await.unwrap();
    let again = store.write("owners/a b", b"two", None).await.unwrap();
    let second = store.write("owners/a b", b"two", Some(1)).await.unwrap();
    let absent = store.write("owners/none", b"two", Some(1)).await.unwrap();

    assert_eq!(first, WriteOutcome::Written(1));
    let WriteOutcome::Conflict(Some(present)) = again else {
        panic!("the second creation should meet the first: {again:?}");
    };
    assert_eq!((present.value.as_ref(), present.version), (&b"one"[..], 1));
    assert_eq!(second, WriteOutcome::Written(2));
    assert_eq!(absent, WriteOutcome::Conflict(None));
    let read = store.read("owners/a b").await.unwrap().unwrap();
    assert_eq!((read.value.as_ref(), read.version), (&b"two"[..], 2));
    assert_eq!(store.read("owners/none").await.unwrap(), None);
}

/// Guards against lists that mix up values or include other prefixes.
#[tokio::test]
async fn a_list_returns_the_objects_of_a_prefix() {
    let (_platform, store) = platform().await;
    for (key, value) in [("claims/2", "b\n2"), ("claims/1", ""), ("config/x", "c")] {
        store.write(key, value.as_bytes(), None).await.unwrap();
    }

    let objects = store.list("claims/").await.unwrap();

    let found: Vec<_> = objects
        .iter()
        .map(|object| (object.key.as_str(), object.value.as_ref(), object.version))
        .collect();
    assert_eq!(
        found,
        [("claims/1", &b""[..], 1), ("claims/2", &b"b\n2"[..], 1),]
    );
    assert_eq!(store.list("none/").await.unwrap(), []);
}

/// Guards against a value limit that differs between client and store.
#[tokio::test]
async fn values_are_limited_to_one_mebibyte() {
    let (platform, store) = platform().await;
    let largest = vec![7; VALUE_LIMIT_BYTES];

    let written = store.write("large", &largest, None).await.unwrap();
    let error = store
        .write("larger", &vec![7; VALUE_LIMIT_BYTES + 1], None)
        .await
        .unwrap_err();

    assert_eq!(written, WriteOutcome::Written(1));
    assert_eq!(store.read("large").await.unwrap().unwrap().value, largest);
    assert_eq!(error.kind(), ErrorKind::BodyTooLarge);
    assert_eq!(platform.counters().writes, 1);
}

/// Guards against a watch that misses a change, and against a call count that grows while a watch
/// waits.
#[tokio::test]
async fn a_watch_returns_the_next_version() {
    let (platform, store) = platform().await;
    store.write("config/tables", b"one", None).await.unwrap();

    let seen = store.watch("config/tables", 0).await.unwrap().unwrap();
    let watch = {
        let store = store.clone();
        tokio::spawn(async move { store.watch("config/tables", 1).await })
    };
    until("the watch waits", || {
        platform.counters().waiting_watches == 1
    })
    .await;
    let calls = store.call_count();
    store.write("config/tables", b"two", Some(1)).await.unwrap();
    let changed = watch.await.unwrap().unwrap().unwrap();

    assert_eq!(seen.version, 1);
    assert_eq!((changed.value.as_ref(), changed.version), (&b"two"[..], 2));
    assert_eq!(calls, 3);
    assert_eq!(platform.counters().watches, 2);
    assert_eq!(platform.counters().calls(), 4);
}

/// Guards against a watch without a change that never returns or returns the old version.
#[tokio::test]
async fn a_watch_without_change_returns_none() {
    let (_platform, store) = platform().await;
    store.write("config/tables", b"one", None).await.unwrap();

    let unchanged = store.watch("config/tables", 1).await.unwrap();

    assert_eq!(unchanged, None);
}

/// Guards against an outage that looks like an empty store, and against clients that do not
/// recover afterwards.
#[tokio::test]
async fn an_outage_is_an_error_and_ends() {
    let (platform, _) = platform().await;
    let store = ObjectStore::new(platform.address(), SHORT);
    store.write("key", b"value", None).await.unwrap();

    platform.change(|settings| settings.outage = OutageMode::Refuse);
    let refused = store.read("key").await.unwrap_err();
    platform.change(|settings| settings.outage = OutageMode::Hang);
    let hung = store.read("key").await.unwrap_err();
    platform.change(|settings| settings.outage = OutageMode::Off);
    let read = store.read("key").await.unwrap().unwrap();

    assert_eq!(refused.kind(), ErrorKind::Platform);
    assert_eq!(hung.kind(), ErrorKind::Platform);
    assert_eq!(read.value.as_ref(), b"value");
}

/// Guards against a lost reply that is taken for a failed write.
#[tokio::test]
async fn a_lost_reply_leaves_the_effect_unknown() {
    let (platform, _) = platform().await;
    let store = ObjectStore::new(platform.address(), SHORT);
    platform.change(|settings| settings.lost_replies = 1);

    let error = store.write("key", b"value", None).await.unwrap_err();
    let read = store.read("key").await.unwrap().unwrap();
    let next = store.write("key", b"next", Some(1)).await.unwrap();

    assert_eq!(error.run_state(), RunState::Unknown);
    assert_eq!(read.value.as_ref(), b"value");
    assert_eq!(next, WriteOutcome::Written(2));
}

/// Guards against tests that believe in stale reads without getting any.
#[tokio::test]
async fn a_stale_read_returns_an_older_version() {
    let (platform, store) = platform().await;
    store.write("key", b"one", None).await.unwrap();
    store.write("key", b"two", Some(1)).await.unwrap();

    platform.change(|settings| settings.stale_versions = 1);
    let stale = store.read("key").await.unwrap().unwrap();
    let listed = store.list("key").await.unwrap();
    let outcome = store.write("key", b"three", Some(1)).await.unwrap();

    assert_eq!((stale.value.as_ref(), stale.version), (&b"one"[..], 1));
    assert_eq!(listed, [stale]);
    let WriteOutcome::Conflict(Some(present)) = outcome else {
        panic!("an update of a stale version should conflict: {outcome:?}");
    };
    assert_eq!(present.version, 2);
}

/// Guards against slow replies that are given up before the timeout.
#[tokio::test]
async fn a_slow_reply_within_the_timeout_is_accepted() {
    let (platform, store) = platform().await;
    platform.change(|settings| settings.delay = Duration::from_millis(50));

    let outcome = store.write("key", b"value", None).await.unwrap();

    assert_eq!(outcome, WriteOutcome::Written(1));
}

/// Guards against a platform that is down being reported as one that may have run the call.
#[tokio::test]
async fn a_stopped_platform_ran_nothing() {
    let (platform, store) = platform().await;
    platform.stop().await;

    let error = store.write("key", b"value", None).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Platform);
    assert_eq!(error.run_state(), RunState::NotRun);
}

/// Guards against instances that are lost in the wire format, and against a list that does not lag.
#[tokio::test]
async fn the_instance_list_lags() {
    let (platform, _) = platform().await;
    let list = InstanceList::new(platform.address(), LONG);
    let instance = ListedInstance {
        id: InstanceId::from_name("i-1"),
        domain: DomainId::from_name("galle"),
        peer_address: "127.0.0.1:4000".parse().unwrap(),
        is_leaving: true,
    };

    let empty = list.read().await.unwrap();
    platform.change(|settings| settings.instance_lag = Duration::from_hours(1));
    platform.set_instances(vec![instance.clone()]);
    let lagging = list.read().await.unwrap();
    platform.change(|settings| settings.instance_lag = Duration::ZERO);
    let present = list.read().await.unwrap();

    assert_eq!(empty, []);
    assert_eq!(lagging, []);
    assert_eq!(present, [instance]);
}
