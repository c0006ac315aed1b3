use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::{ChangePage, RelayedObject};

/// Remembers the objects of one kind and what has changed since when.
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
    /// Deleted objects with the revision up to which the deletion was read, in its order.
    deletions: VecDeque<(u64, String)>,
    /// Changes up to this revision are not known one by one.
    horizon: u64,
    covered: u64,
    /// The newest revision at which anything changed, also what does not matter to instances.
    touched: u64,
    confirmed_at: Option<Duration>,
}

#[derive(Debug)]
struct LoggedObject {
    revision: u64,
    payload: Bytes,
}

/// Deletions that are remembered; about ten minutes of a rolling replacement of a hundred upstreams.
const MAX_DELETIONS: usize = 1024;

impl ChangeLog {
    /// Creates a log that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a complete list, valid at the revision `covered` of the store.
    pub fn replace_all(&mut self, objects: &[RelayedObject], covered: u64) {
        if self.covered == 0 {
            self.horizon = covered;
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

    /// Takes changes that follow the revision that is covered so far.
    pub fn apply(&mut self, page: &ChangePage) {
        for name in &page.deleted {
            if self.objects.remove(name).is_some() {
                self.deletions.push_back((page.covered, name.clone()));
                self.touched = self.touched.max(page.covered);
            }
        }
        while self.deletions.len() > MAX_DELETIONS {
            if let Some((revision, _)) = self.deletions.pop_front() {
                self.horizon = self.horizon.max(revision);
            }
        }
        for object in &page.objects {
            self.touched = self.touched.max(object.revision);
            let known = self.objects.get(&object.name);
            // Upstreams change their entries many times a second in ways that concern nobody here.
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

    /// Notes that the store itself has answered this instance.
    pub const fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Returns the time at which the store last answered this instance.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns whether anything has changed after a revision.
    #[must_use]
    pub const fn has_changed_since(&self, revision: u64) -> bool {
        self.touched > revision
    }

    /// Returns whether all changes after a revision are known.
    const fn reaches_back_to(&self, revision: u64) -> bool {
        self.covered > 0 && revision >= self.horizon
    }

    /// Returns what has changed after a revision; none if that history is not known.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<ChangePage> {
        if !self.reaches_back_to(revision) {
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
