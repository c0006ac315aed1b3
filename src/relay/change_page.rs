use std::collections::BTreeMap;

use super::RelayedObject;
use crate::peer::{ChangeReply, ChangedObject};

/// Changes of one kind of objects between two revisions of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The objects that were created or replaced.
    pub objects: Vec<RelayedObject>,
    /// The names of the objects that were deleted; one that was created again is also listed above.
    pub deleted: Vec<String>,
    /// The revision of the store from which further changes follow.
    pub covered: u64,
}

impl ChangePage {
    /// Collects changes in the order of the store, each with whether its object was deleted.
    ///
    /// Only the last change of an object counts: one that was changed and then deleted is gone.
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

    /// Reads a page from a peer's reply.
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
        }
    }
}
