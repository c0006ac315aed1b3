//! Tests of the audit trail against the stand-in of the platform.

use std::time::Duration;

use comfreychute::audit::{AuditKind, AuditObject, AuditReader, AuditRecord, AuditTrail};
use comfreychute::platform_client::ObjectStore;
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::platform::{OutageMode, PlatformSettings};

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 500_000 * HOUR_MS + 17;

async fn platform() -> (PlatformStandin, ObjectStore) {
    let standin = PlatformStandin::start(PlatformSettings::default())
        .await
        .expect("the stand-in starts");
    let store = ObjectStore::new(standin.address(), Duration::from_millis(300));
    (standin, store)
}

fn record(kind: AuditKind, number: u64) -> AuditRecord {
    AuditRecord {
        at_ms: NOW_MS + number,
        who: "node-1".to_owned(),
        kind,
        subject: "engine-1".to_owned(),
        from: String::new(),
        to: format!("menu-{number}@1"),
        reason: "requested".to_owned(),
        revision: 4,
        count: 1,
    }
}

async fn read(store: &ObjectStore, now_ms: u64) -> Vec<AuditRecord> {
    AuditReader::new(store.clone())
        .read_hour(now_ms / HOUR_MS)
        .await
        .expect("the platform answers")
}

/// Guards against one write per record; the platform supports only several hundred writes per
/// second.
#[tokio::test]
async fn a_flush_writes_all_records_at_once_and_nothing_if_there_are_none() {
    let (standin, store) = platform().await;
    let trail = AuditTrail::new(store.clone(), "node-1");
    for number in 0..20 {
        trail.push(record(AuditKind::OwnerChange, number));
    }

    let waiting = trail.flush(NOW_MS).await;
    trail.flush(NOW_MS).await;

    assert_eq!(waiting, 0);
    assert_eq!(standin.counters().writes, 1);
    let records = read(&store, NOW_MS).await;
    assert_eq!(records.len(), 20);
    assert_eq!(records[19].to, "menu-19@1");
}

/// Guards against one record per load, since a batch sweep over many adapters makes thousands of
/// loads.
#[tokio::test]
async fn loads_and_evictions_of_one_flush_are_merged() {
    let (_standin, store) = platform().await;
    let trail = AuditTrail::new(store.clone(), "node-1");
    for number in 0..500 {
        trail.push(record(AuditKind::LoadOrder, number));
        trail.push(record(AuditKind::EvictionOrder, number));
    }

    trail.flush(NOW_MS).await;

    let records = read(&store, NOW_MS).await;
    let counts: Vec<(AuditKind, u64)> = records
        .iter()
        .map(|record| (record.kind, record.count))
        .collect();
    assert_eq!(
        counts,
        [(AuditKind::LoadOrder, 500), (AuditKind::EvictionOrder, 500)]
    );
    assert!(records[0].to.starts_with("menu-0@1 menu-1@1 "));
    assert!(records[0].to.len() <= 512);
}

/// Guards against lost or duplicate records when the reply to a write is lost.
#[tokio::test]
async fn a_lost_reply_neither_loses_nor_duplicates_records() {
    let (standin, store) = platform().await;
    let trail = AuditTrail::new(store.clone(), "node-1");
    trail.push(record(AuditKind::OwnerChange, 0));
    trail.flush(NOW_MS).await;
    standin.change(|settings| settings.lost_replies = 1);
    trail.push(record(AuditKind::OwnerChange, 1));

    let waiting = trail.flush(NOW_MS).await;
    trail.push(record(AuditKind::OwnerChange, 2));
    let settled = trail.flush(NOW_MS).await;

    assert_eq!((waiting, settled), (1, 0));
    let targets: Vec<String> = read(&store, NOW_MS)
        .await
        .into_iter()
        .map(|record| record.to)
        .collect();
    assert_eq!(targets, ["menu-0@1", "menu-1@1", "menu-2@1"]);
}

/// Guards against losing all records in an outage of the platform, and against unbounded memory in
/// a long outage.
#[tokio::test]
async fn records_are_buffered_in_bounded_memory_during_an_outage() {
    let (standin, store) = platform().await;
    let trail = AuditTrail::new(store.clone(), "node-1");
    standin.change(|settings| settings.outage = OutageMode::Refuse);
    for number in 0..20_000 {
        trail.push(record(AuditKind::OwnerChange, number));
        if number % 1_000 == 0 {
            trail.flush(NOW_MS).await;
        }
    }
    standin.change(|settings| settings.outage = OutageMode::Off);

    let waiting = trail.flush_all_at(NOW_MS, 40).await;

    assert_eq!(waiting, 0);
    let records = read(&store, NOW_MS).await;
    assert!(
        (4_096..=8_192).contains(&records.len()),
        "{}",
        records.len()
    );
    assert_eq!(records[0].to, "menu-0@1");
    let objects = store
        .list(&AuditObject::prefix(NOW_MS / HOUR_MS))
        .await
        .expect("answers");
    let lost = objects
        .iter()
        .map(|object| {
            serde_json::from_slice::<AuditObject>(&object.value)
                .expect("JSON")
                .lost
        })
        .max();
    assert_eq!(lost, Some(20_000 - records.len() as u64));
}

/// Guards against objects above the size limit, and against an unbounded number of objects per
/// hour.
#[tokio::test]
async fn objects_and_hours_are_bounded() {
    let (_standin, store) = platform().await;
    let trail = AuditTrail::new(store.clone(), "node-1");
    for number in 0..40_000 {
        let mut long = record(AuditKind::OwnerChange, number);
        long.reason = "\u{1}".repeat(2_000);
        trail.push(long);
        if number % 2_000 == 0 {
            trail.flush_all_at(NOW_MS, 20).await;
        }
    }

    trail.flush_all_at(NOW_MS, 40).await;

    let objects = store.list("audit/").await.expect("answers");
    assert_eq!(
        objects.len(),
        usize::try_from(AuditObject::MAX_PARTS).expect("small")
    );
    for object in objects {
        assert!(
            object.value.len() <= AuditObject::MAX_BYTES,
            "{}",
            object.value.len()
        );
    }
}

/// Guards against returning records from three days ago that are stored under the same key, and
/// against objects that are never overwritten.
#[tokio::test]
async fn an_hour_overwrites_the_objects_of_its_slot() {
    let (_standin, store) = platform().await;
    let later = NOW_MS + AuditObject::RETENTION_HOURS * HOUR_MS;
    let trail = AuditTrail::new(store.clone(), "node-1");
    trail.push(record(AuditKind::OwnerChange, 1));
    trail.flush(NOW_MS).await;
    trail.push(record(AuditKind::OwnerChange, 2));

    let before = read(&store, later).await;
    trail.flush_all_at(later, 3).await;

    assert!(before.is_empty());
    assert!(read(&store, NOW_MS).await.is_empty());
    assert_eq!(read(&store, later).await[0].to, "menu-2@1");
    assert_eq!(store.list("audit/").await.expect("answers").len(), 1);
}

/// Guards against a restarted process, or a second one with the same name, that overwrites records.
#[tokio::test]
async fn two_writers_of_one_name_keep_each_others_records() {
    let (_standin, store) = platform().await;
    let trails = [
        AuditTrail::new(store.clone(), "operators"),
        AuditTrail::new(store.clone(), "operators"),
    ];
    for number in 0..10 {
        for (position, trail) in trails.iter().enumerate() {
            trail.push(record(AuditKind::Edit, 10 * number + position as u64));
        }
        for trail in &trails {
            trail.flush_all_at(NOW_MS, 5).await;
        }
    }

    let records = read(&store, NOW_MS).await;

    assert_eq!(records.len(), 20);
}
