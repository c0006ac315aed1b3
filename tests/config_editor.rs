//! Edits and watches of the accepted tables, run against the platform stand-in.

mod config_fixtures;
mod table_fixtures;

use std::time::Duration;

use comfreychute::config::{
    ConfigStore, ConfigWatcher, EditOutcome, StoredTables, TABLES_KEY, TableEdit, TableEditor,
};
use comfreychute::error::{ErrorKind, RunState};
use comfreychute::platform_client::ObjectStore;
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::platform::{OutageMode, PlatformSettings};
use config_fixtures::numbered_set;
use table_fixtures::table_set;
use tokio::sync::watch;

async fn platform() -> (PlatformStandin, ObjectStore) {
    let standin = PlatformStandin::start(PlatformSettings::default())
        .await
        .expect("the stand-in starts");
    let store = ObjectStore::new(standin.address(), Duration::from_millis(500));
    (standin, store)
}

/// Builds an edit whose tables, author and id are specific to `number`.
fn edit(number: u64, base: Option<u64>) -> TableEdit {
    let tables = numbered_set(number);
    TableEdit {
        routes: tables.routes,
        pools: tables.pools,
        author: format!("editor-{number}"),
        operation: format!("operation-{number}"),
        base,
        above: 0,
    }
}

async fn apply(store: &ObjectStore, edit: &TableEdit) -> EditOutcome {
    TableEditor::new(store.clone(), 4)
        .apply(edit)
        .await
        .expect("the platform answers")
}

fn revision_of(outcome: &EditOutcome) -> Option<u64> {
    match outcome {
        EditOutcome::Applied { revision, .. } => Some(*revision),
        _ => None,
    }
}

/// Guards against revisions that do not increase by one with each accepted edit, and against new
/// revisions for edits without a change.
#[tokio::test]
async fn accepted_edits_increase_the_revision_and_equal_tables_do_not() {
    let (_standin, store) = platform().await;

    let first = apply(&store, &edit(1, None)).await;
    let second = apply(&store, &edit(2, None)).await;
    let same = TableEdit {
        operation: "another".to_owned(),
        ..edit(2, None)
    };
    let third = apply(&store, &same).await;

    assert_eq!(
        (revision_of(&first), revision_of(&second)),
        (Some(1), Some(2))
    );
    assert_eq!(third, EditOutcome::Unchanged { revision: 2 });
}

/// Guards against an edit of outdated files that silently reverts the edits accepted since.
#[tokio::test]
async fn an_edit_with_an_old_base_conflicts_and_shows_the_difference() {
    let (_standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    apply(&store, &edit(2, Some(1))).await;

    let outcome = apply(&store, &edit(3, Some(1))).await;

    let EditOutcome::Conflict {
        accepted,
        difference,
    } = outcome
    else {
        panic!("the edit should conflict: {outcome:?}");
    };
    assert_eq!(
        (accepted.revision, accepted.author.as_str()),
        (2, "editor-2")
    );
    assert_eq!(
        difference.to_string(),
        r#"~ route.menu max_body: "1002B" -> "1003B""#
    );
}

/// Guards against concurrent edits of the same revision that are both reported as accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn exactly_one_of_concurrent_edits_is_accepted() {
    let (_standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    for round in 0..10 {
        let base = StoredTables::read(&store)
            .await
            .expect("readable")
            .tables
            .revision;
        let tasks: Vec<_> = (0..4)
            .map(|number| {
                let store = store.clone();
                let edit = edit(100 + round * 10 + number, Some(base));
                tokio::spawn(async move { apply(&store, &edit).await })
            })
            .collect();
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.push(task.await.expect("the editor ends"));
        }

        let stored = StoredTables::read(&store).await.expect("readable").tables;

        assert_eq!(stored.revision, base + 1);
        let winners = outcomes
            .iter()
            .filter(|outcome| revision_of(outcome).is_some());
        assert_eq!(winners.count(), 1, "{outcomes:?}");
        for outcome in &outcomes {
            if let EditOutcome::Conflict {
                accepted,
                difference,
            } = outcome
            {
                assert_eq!(accepted.operation, stored.operation);
                assert_eq!(difference.lines().len(), 1);
            }
        }
    }
}

/// Guards against wrong reports by concurrent editors whose replies are lost: an accepted edit must
/// never be reported as a conflict, nor a refused one as accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_editors_report_the_actual_outcome_despite_lost_replies() {
    let (standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    let mut reported = vec!["operation-1".to_owned()];
    for round in 0..6 {
        let base = StoredTables::read(&store)
            .await
            .expect("readable")
            .tables
            .revision;
        standin.change(|settings| settings.lost_replies = 2);
        let tasks: Vec<_> = (0..3)
            .map(|number| {
                let store = store.clone();
                // One of the three editors replaces any accepted revision.
                let base = (number != 2).then_some(base);
                let edit = edit(100 + round * 10 + number, base);
                tokio::spawn(async move { (edit.operation.clone(), apply(&store, &edit).await) })
            })
            .collect();
        for task in tasks {
            let (operation, outcome) = task.await.expect("the editor ends");
            if revision_of(&outcome).is_some() {
                reported.push(operation);
            }
        }
        standin.change(|settings| settings.lost_replies = 0);
    }

    let stored = StoredTables::read(&store).await.expect("readable").tables;

    let mut accepted = stored.recent_operations.clone();
    accepted.push(stored.operation.clone());
    accepted.sort();
    reported.sort();
    assert_eq!(accepted, reported);
    assert_eq!(stored.revision, accepted.len() as u64);
}

/// Guards against an editor that reports an error although its edit was accepted, because the reply
/// was lost.
#[tokio::test]
async fn the_outcome_after_a_lost_reply_is_determined_by_a_read() {
    let (standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    standin.change(|settings| settings.lost_replies = 1);

    let outcome = apply(&store, &edit(2, Some(1))).await;

    assert_eq!(revision_of(&outcome), Some(2));
    let stored = StoredTables::read(&store).await.expect("readable").tables;
    assert_eq!(
        (stored.revision, stored.operation.as_str()),
        (2, "operation-2")
    );
}

/// Guards against a lost reply that is mistaken for a conflict because the following read is stale
/// and returns a version even older than the one that the edit is based on.
#[tokio::test]
async fn the_outcome_after_a_lost_reply_is_determined_despite_stale_reads() {
    let (standin, store) = platform().await;
    for number in 1..=4 {
        apply(&store, &edit(number, None)).await;
    }
    standin.change(|settings| settings.lost_replies = 1);
    let editor = TableEditor::new(store.clone(), 6);
    let task = tokio::spawn(async move { editor.apply(&edit(5, Some(4))).await });
    // When the watch returns, the write has taken effect and the editor still waits for its reply.
    let written = store
        .watch(TABLES_KEY, 4)
        .await
        .expect("the platform answers");
    assert_eq!(written.map(|object| object.version), Some(5));
    standin.change(|settings| settings.stale_versions = 2);

    let outcome = task
        .await
        .expect("the editor ends")
        .expect("the outcome is known");

    assert_eq!(revision_of(&outcome), Some(5), "{outcome:?}");
}

/// Guards against an edit that is applied twice when the operator repeats it after an unknown
/// outcome, even if another edit was accepted in between.
#[tokio::test]
async fn a_repeated_edit_is_recognised_by_its_id() {
    let (_standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    apply(&store, &edit(2, Some(1))).await;

    let outcome = apply(&store, &edit(1, Some(0))).await;

    assert!(revision_of(&outcome).is_some(), "{outcome:?}");
    let stored = StoredTables::read(&store).await.expect("readable").tables;
    assert_eq!(
        (stored.revision, stored.operation.as_str()),
        (2, "operation-2")
    );
}

/// Guards against errors during an outage that do not state whether the edit may have been
/// accepted.
#[tokio::test]
async fn an_outage_error_states_whether_the_edit_may_have_been_accepted() {
    let (standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    standin.change(|settings| settings.outage = OutageMode::Refuse);

    let error = TableEditor::new(store, 2)
        .apply(&edit(2, None))
        .await
        .expect_err("the platform is out");

    assert_eq!(error.kind(), ErrorKind::Platform);
    assert_eq!(error.run_state(), RunState::NotRun);
    assert!(error.detail().contains("nothing was changed"), "{error}");
}

/// Guards against faulty tables in the object store, which every node would refuse to adopt.
#[tokio::test]
async fn faulty_tables_are_refused_before_the_write() {
    let (_standin, store) = platform().await;
    let mut faulty = edit(1, None);
    faulty.pools.pools.clear();

    let error = TableEditor::new(store.clone(), 2)
        .apply(&faulty)
        .await
        .expect_err("the tables are faulty");

    assert_eq!(error.kind(), ErrorKind::Table);
    assert!(store.read(TABLES_KEY).await.expect("readable").is_none());
}

/// Guards against edits that no node adopts because the platform lost newer revisions.
#[tokio::test]
async fn an_edit_can_exceed_a_revision_that_the_platform_lost() {
    let (_standin, store) = platform().await;
    apply(&store, &edit(1, None)).await;
    let above = TableEdit {
        operation: "above".to_owned(),
        above: 41,
        ..edit(1, None)
    };

    let outcome = apply(&store, &above).await;

    assert_eq!(revision_of(&outcome), Some(42));
}

/// Guards against a watcher that misses an edit, stops in an outage or adopts older tables.
#[tokio::test]
async fn the_watcher_follows_edits_and_survives_outages() {
    let (standin, store) = platform().await;
    let config = ConfigStore::new();
    let mut changes = config.subscribe();
    let (relay, is_relay) = watch::channel(true);
    let watcher = ConfigWatcher::new(store.clone(), config.clone());
    let task = tokio::spawn(watcher.run(is_relay));

    apply(&store, &edit(1, None)).await;
    changes
        .wait_for(|tables| tables.revision == 1)
        .await
        .expect("adopted");
    standin.change(|settings| settings.outage = OutageMode::Refuse);
    config.offer(table_set(7)).expect("valid");
    standin.change(|settings| settings.outage = OutageMode::Off);
    apply(&store, &edit(2, None)).await;
    let ahead = TableEdit {
        above: 9,
        ..edit(3, None)
    };
    apply(&store, &ahead).await;
    changes
        .wait_for(|tables| tables.revision == 10)
        .await
        .expect("adopted");

    drop(relay);
    task.await.expect("the watcher ends with its channel");
    assert_eq!(config.current().author, "editor-3");
}

/// Guards against a watcher that keeps waiting for a version that the platform does not reach after
/// it restarted without its data.
#[tokio::test]
async fn the_watcher_follows_a_platform_that_lost_its_data() {
    let (standin, store) = platform().await;
    for number in 1..=3 {
        apply(&store, &edit(number, None)).await;
    }
    let config = ConfigStore::new();
    let mut changes = config.subscribe();
    let (relay, is_relay) = watch::channel(true);
    let task = tokio::spawn(ConfigWatcher::new(store.clone(), config).run(is_relay));
    changes
        .wait_for(|tables| tables.revision == 3)
        .await
        .expect("adopted");
    let address = standin.address();
    standin.stop().await;

    let _empty = PlatformStandin::start(PlatformSettings {
        address,
        ..PlatformSettings::default()
    })
    .await
    .expect("the address is free again");
    let above = TableEdit {
        above: 3,
        ..edit(4, None)
    };
    apply(&store, &above).await;

    changes
        .wait_for(|tables| tables.revision == 4)
        .await
        .expect("adopted");
    drop(relay);
    task.await.expect("the watcher ends with its channel");
}

/// Guards against watches by nodes that are not relays: 990 of them would use half of the
/// platform's reads.
#[tokio::test]
async fn a_node_that_is_not_a_relay_makes_no_calls() {
    let (standin, store) = platform().await;
    let config = ConfigStore::new();
    let mut changes = config.subscribe();
    apply(&store, &edit(1, None)).await;
    let watched = ObjectStore::new(standin.address(), Duration::from_millis(500));
    let (relay, is_relay) = watch::channel(false);
    let task = tokio::spawn(ConfigWatcher::new(watched.clone(), config.clone()).run(is_relay));

    tokio::task::yield_now().await;
    let before = watched.call_count();
    relay.send_replace(true);
    changes
        .wait_for(|tables| tables.revision == 1)
        .await
        .expect("adopted");

    assert_eq!(before, 0);
    drop(relay);
    task.await.expect("the watcher ends with its channel");
}
