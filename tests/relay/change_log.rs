//! The changes that a log returns after a revision.

use comfreychute::relay::{ChangeLog, ChangePage, RelayedObject};

fn object(name: &str, revision: u64, payload: &'static str) -> RelayedObject {
    RelayedObject {
        name: name.to_owned(),
        revision,
        payload: payload.into(),
    }
}

fn page(objects: Vec<RelayedObject>, deleted: &[&str], covered: u64) -> ChangePage {
    ChangePage {
        objects,
        deleted: deleted.iter().map(|name| (*name).to_owned()).collect(),
        covered,
    }
}

/// Creates a log in which a list of `a` and `b` at revision 10 is recorded.
fn listed() -> ChangeLog {
    let mut log = ChangeLog::new();
    log.replace_all(&[object("a", 3, "ready"), object("b", 9, "ready")], 10);
    log
}

fn names(page: &ChangePage) -> Vec<&str> {
    let objects = page.objects.iter();
    objects.map(|object| object.name.as_str()).collect()
}

/// Guards against a log that returns an incomplete history for a revision before its first list.
#[test]
fn history_before_the_first_list_is_missing() {
    assert!(ChangeLog::new().changes_since(0).is_none());
    assert!(listed().changes_since(9).is_none());
    assert_eq!(listed().changes_since(10), Some(page(vec![], &[], 10)));
}

/// Guards against changes that are left out or returned twice.
#[test]
fn each_reader_gets_the_changes_after_its_revision() {
    let mut log = listed();

    log.apply(&page(vec![object("a", 12, "draining")], &[], 12));
    log.apply(&page(vec![object("c", 14, "ready")], &["b"], 15));

    let all = log.changes_since(10).expect("known history");
    assert_eq!(names(&all), ["a", "c"]);
    assert_eq!((all.deleted, all.covered), (vec!["b".to_owned()], 15));
    let rest = log.changes_since(12).expect("known history");
    assert_eq!(names(&rest), ["c"]);
    assert!(log.has_changed_since(14));
    assert!(!log.has_changed_since(15));
}

/// Guards against needless traffic: upstreams rewrite their entries many times a second without a
/// relevant change. The covered revision must advance nevertheless, or peers appear to be ahead.
#[test]
fn rewritten_object_only_advances_the_covered_revision() {
    let mut log = listed();

    log.apply(&page(vec![object("a", 12, "ready")], &[], 12));

    assert!(log.has_changed_since(11));
    assert_eq!(log.changes_since(10), Some(page(vec![], &[], 12)));
}

/// Guards against a false revision of a peer that is relayed to others after a list of the store.
#[test]
fn list_below_a_relayed_revision_starts_the_history_again() {
    let mut log = listed();
    log.apply(&page(
        vec![object("c", u64::MAX, "ready")],
        &["a"],
        u64::MAX,
    ));

    log.replace_all(&[object("a", 3, "ready"), object("b", 11, "ready")], 12);

    assert!(log.changes_since(10).is_none());
    assert_eq!(log.changes_since(12), Some(page(vec![], &[], 12)));
    assert!(!log.has_changed_since(12));
}

/// Guards against an upstream that remains deleted for a reader although it was created again.
#[test]
fn object_that_was_created_again_is_present() {
    let mut log = listed();

    log.apply(&page(vec![], &["a"], 12));
    log.apply(&page(vec![object("a", 13, "ready")], &[], 13));

    let page = log.changes_since(10).expect("known history");
    assert_eq!(names(&page), ["a"]);
    let page = log.changes_since(12).expect("known history");
    assert_eq!((names(&page), page.deleted.len()), (vec!["a"], 0));
}

/// Guards against objects that are never removed because they were deleted while the history was
/// lost.
#[test]
fn second_list_records_deletions_and_keeps_the_history() {
    let mut log = listed();

    log.replace_all(&[object("b", 9, "ready"), object("c", 18, "ready")], 20);

    let page = log.changes_since(10).expect("known history");
    assert_eq!(names(&page), ["c"]);
    assert_eq!((page.deleted, page.covered), (vec!["a".to_owned()], 20));
}

/// Guards against memory that grows with each upstream that was ever deleted, and against a reader
/// that receives only part of the deletions.
#[test]
fn old_deletions_are_evicted_and_older_revisions_refused() {
    let mut log = listed();

    for revision in 11..3000 {
        log.apply(&page(vec![object("x", revision, "ready")], &[], revision));
        log.apply(&page(vec![], &["x"], revision));
    }

    assert!(log.changes_since(10).is_none());
    let page = log.changes_since(2990).expect("known history");
    assert_eq!(page.deleted.len(), 9);
}

/// Guards against a reader that is ahead of the log and is set back to the log's revision.
#[test]
fn reader_ahead_of_the_log_keeps_its_revision() {
    assert_eq!(listed().changes_since(30), Some(page(vec![], &[], 30)));
}

/// Guards against requests to a deleted upstream. Its entry was changed and then deleted within one
/// answer of the store, and the upstream remained present for the readers of the log.
#[test]
fn last_change_of_an_object_counts() {
    let mut log = listed();
    let changes = [
        (object("a", 11, "draining"), false),
        (object("a", 11, "draining"), true),
        (object("b", 9, "ready"), true),
        (object("b", 13, "back"), false),
    ];

    log.apply(&ChangePage::from_changes(changes, 14));

    let page = log.changes_since(10).expect("known history");
    assert_eq!(names(&page), ["b"]);
    assert_eq!(page.deleted, ["a"]);
}
