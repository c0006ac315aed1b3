use std::collections::BTreeMap;

use super::RelayedObject;
use crate::peer::{ChangeReply, ChangedObject};

/// The changes to objects of one kind between two revisions of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The objects that were created or replaced.
    pub objects: Vec<RelayedObject>,
    /// The names of the objects that were deleted; an object that was created again is also in
    /// `objects`.
    pub deleted: Vec<String>,
    /// The store revision up to which the page contains all changes.
    pub covered: u64,
}

impl ChangePage {
    /// Creates a page from changes in the order of the store, each with whether the object was
    /// deleted.
    ///
    /// Only the last change of an object is kept, so an object that was changed and then deleted is
    /// listed as deleted only.
    #[must_use]
    pub fn from_changes(
        changes: impl IntoIterator<Item = (RelayedObject, bool)>,
        covered: u64,
    ) -> Self {
        let mut last = BTreeMap::new();
        for (object, is_deleted) in changes {
            last.insert(object.name.clone(), (object, is_deleted));
        }
        let mut page = Self {
            covered,
            ..Self::default()
        };
        for (name, (object, is_deleted)) in last {
            if is_deleted {
                page.deleted.push(name);
            } else {
                page.objects.push(object);
            }
        }
        page
    }

    /// Converts the reply of a peer into a page.
    #[must_use]
    pub fn from_reply(reply: ChangeReply) -> Self {
        let objects = reply.objects.into_iter().map(|object| RelayedObject {
            name: object.name,
            revision: object.revision,
            payload: object.payload.into(),
        });
        Self {
            objects: objects.collect(),
            deleted: reply.deleted,
            covered: reply.covered,
        }
    }

    /// Converts the page into a reply to a peer.
    #[must_use]
    pub fn into_reply(self) -> ChangeReply {
        let objects = self.objects.into_iter().map(|object| ChangedObject {
            name: object.name,
            revision: object.revision,
            payload: object.payload.into(),
        });
        ChangeReply {
            objects: objects.collect(),
            deleted: self.deleted,
            covered: self.covered,
            ..ChangeReply::default()
        }
    }
}
