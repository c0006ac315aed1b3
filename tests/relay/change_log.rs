//! What a log of changes tells after a revision.

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

/// A log that has listed `a` and `b` at revision 10.
fn listed() -> ChangeLog {
    let mut log = ChangeLog::new();
    log.replace_all(&[object("a", 3, "ready"), object("b", 9, "ready")], 10);
    log
}

fn names(page: &ChangePage) -> Vec<&str> {
    let objects = page.objects.iter();
    objects.map(|object| object.name.as_str()).collect()
}

/// Guards against a log that claims to know what happened before it began.
#[test]
fn history_before_the_first_list_is_not_known() {
    assert!(ChangeLog::new().changes_since(0).is_none());
    assert!(listed().changes_since(9).is_none());
    assert_eq!(listed().changes_since(10), Some(page(vec![], &[], 10)));
}

/// Guards against changes that are left out or told twice.
#[test]
fn later_changes_are_told_to_each_reader_from_its_revision() {
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

/// Guards against traffic that brings nothing: upstreams rewrite their entries many times a second
/// without a change that matters. The revision moves on all the same, else peers seem to be ahead.
#[test]
fn rewritten_object_is_not_told_but_covered() {
    let mut log = listed();

    log.apply(&page(vec![object("a", 12, "ready")], &[], 12));

    assert!(log.has_changed_since(11));
    assert_eq!(log.changes_since(10), Some(page(vec![], &[], 12)));
}

/// Guards against an upstream that stays away for a reader because it was deleted and came back.
#[test]
fn object_that_came_back_is_told_as_present() {
    let mut log = listed();

    log.apply(&page(vec![], &["a"], 12));
    log.apply(&page(vec![object("a", 13, "ready")], &[], 13));

    let told = log.changes_since(10).expect("known history");
    assert_eq!(names(&told), ["a"]);
    let told = log.changes_since(12).expect("known history");
    assert_eq!((names(&told), told.deleted.len()), (vec!["a"], 0));
}

/// Guards against objects that stay for ever because they were deleted while the history was lost.
#[test]
fn second_list_tells_what_is_gone_and_keeps_the_history() {
    let mut log = listed();

    log.replace_all(&[object("b", 9, "ready"), object("c", 18, "ready")], 20);

    let told = log.changes_since(10).expect("known history");
    assert_eq!(names(&told), ["c"]);
    assert_eq!((told.deleted, told.covered), (vec!["a".to_owned()], 20));
}

/// Guards against memory that grows with each upstream that ever left, and against a reader that is
/// told a part of the deletions only.
#[test]
fn old_deletions_are_forgotten_and_readers_behind_them_turned_away() {
    let mut log = listed();

    for revision in 11..3000 {
        log.apply(&page(vec![object("x", revision, "ready")], &[], revision));
        log.apply(&page(vec![], &["x"], revision));
    }

    assert!(log.changes_since(10).is_none());
    let told = log.changes_since(2990).expect("known history");
    assert_eq!(told.deleted.len(), 9);
}

/// Guards against a reader that has read further than the log and is led back.
#[test]
fn reader_ahead_of_the_log_keeps_its_revision() {
    assert_eq!(listed().changes_since(30), Some(page(vec![], &[], 30)));
}

/// Guards against requests that go to an upstream which has left: it had changed its entry and was
/// deleted within one answer of the store, and stayed present for the readers of the log.
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

    let told = log.changes_since(10).expect("known history");
    assert_eq!(names(&told), ["b"]);
    assert_eq!(told.deleted, ["a"]);
}
