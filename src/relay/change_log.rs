use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::{ChangePage, RelayedObject};

/// Keeps the objects of one kind and the history of their changes.
///
/// # Example
///
/// ```
/// use comfreychute::relay::{ChangeLog, ChangePage, RelayedObject};
///
/// let mut log = ChangeLog::new();
/// log.replace_all(&[], 4);
/// let object = RelayedObject {
///     name: "a".to_owned(),
///     revision: 7,
///     payload: "ready".into(),
/// };
/// log.apply(&ChangePage { objects: vec![object], deleted: Vec::new(), covered: 7 });
///
/// assert_eq!(log.changes_since(4).unwrap().objects.len(), 1);
/// assert!(log.changes_since(3).is_none());
/// ```
#[derive(Debug, Default)]
pub struct ChangeLog {
    objects: BTreeMap<String, LoggedObject>,
    /// The names of deleted objects, each with the revision covered by the page that contained the
    /// deletion, in ascending order of the revisions.
    deletions: VecDeque<(u64, String)>,
    /// The revision after which the history of changes is complete.
    history_start: u64,
    /// The store revision up to which all changes are recorded; zero before the first list.
    covered: u64,
    /// The revision of the newest change, including changes that are irrelevant to instances.
    newest_change: u64,
    /// When the store last answered this instance.
    confirmed_at: Option<Duration>,
    /// When the call was sent that the store answered last.
    called_at: Duration,
}

#[derive(Debug)]
struct LoggedObject {
    revision: u64,
    payload: Bytes,
}

/// Number of deletions to keep; enough for about ten minutes of a rolling replacement of a hundred
/// upstreams.
const MAX_DELETIONS: usize = 1024;

impl ChangeLog {
    /// Creates an empty log, which has no history until the first list is recorded.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete list that is valid at the revision `covered` of the store.
    ///
    /// Objects that are missing from the list are recorded as deleted. If a peer has relayed a higher
    /// revision, which the store has not reached, the history starts again.
    pub fn replace_all(&mut self, objects: &[RelayedObject], covered: u64) {
        if covered < self.covered {
            *self = Self {
                confirmed_at: self.confirmed_at,
                called_at: self.called_at,
                ..Self::default()
            };
        }
        if self.covered == 0 {
            self.history_start = covered;
        }
        let names: BTreeSet<&String> = objects.iter().map(|object| &object.name).collect();
        let gone = self.objects.keys().filter(|name| !names.contains(name));
        let page = ChangePage {
            objects: objects.to_vec(),
            deleted: gone.cloned().collect(),
            covered,
        };
        self.apply(&page);
    }

    /// Records the changes that follow the revision covered so far.
    pub fn apply(&mut self, page: &ChangePage) {
        for name in &page.deleted {
            if self.objects.remove(name).is_some() {
                self.deletions.push_back((page.covered, name.clone()));
                self.newest_change = self.newest_change.max(page.covered);
            }
        }
        while self.deletions.len() > MAX_DELETIONS {
            if let Some((revision, _)) = self.deletions.pop_front() {
                self.history_start = self.history_start.max(revision);
            }
        }
        for object in &page.objects {
            self.newest_change = self.newest_change.max(object.revision);
            let known = self.objects.get(&object.name);
            // Upstreams rewrite their entries many times a second, often without a change to the
            // relayed fields. Such an object keeps its logged revision.
            if known.is_some_and(|known| known.payload == object.payload) {
                continue;
            }
            let logged = LoggedObject {
                revision: object.revision,
                payload: object.payload.clone(),
            };
            self.objects.insert(object.name.clone(), logged);
        }
        self.covered = self.covered.max(page.covered);
    }

    /// Records that the store itself, not a peer, answered this instance at `now`, `call_time` after the
    /// call.
    pub const fn confirm(&mut self, now: Duration, call_time: Duration) {
        self.confirmed_at = Some(now);
        self.called_at = now.saturating_sub(call_time);
    }

    /// Returns the time at which the call was sent that the store answered last; zero if there is none.
    #[must_use]
    pub const fn called_at(&self) -> Duration {
        self.called_at
    }

    /// Returns the time at which the store last answered this instance, or `None` if it never did.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns whether any object changed after a revision, whether relevant to instances or not.
    #[must_use]
    pub const fn has_changed_since(&self, revision: u64) -> bool {
        self.newest_change > revision
    }

    /// Returns whether the history contains all changes after a revision.
    const fn has_history_since(&self, revision: u64) -> bool {
        self.covered > 0 && revision >= self.history_start
    }

    /// Returns the changes after a revision, or `None` if the history does not reach back to it.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<ChangePage> {
        if !self.has_history_since(revision) {
            return None;
        }
        let objects = self.objects.iter();
        let objects = objects.filter(|(_, logged)| logged.revision > revision);
        let objects = objects.map(|(name, logged)| RelayedObject {
            name: name.clone(),
            revision: logged.revision,
            payload: logged.payload.clone(),
        });
        let deletions = self.deletions.iter();
        let deletions = deletions.filter(|(deleted_at, _)| *deleted_at > revision);
        Some(ChangePage {
            objects: objects.collect(),
            deleted: deletions.map(|(_, name)| name.clone()).collect(),
            covered: self.covered.max(revision),
        })
    }
}
