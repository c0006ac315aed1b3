use std::time::Duration;

use super::{ChangePage, ContactAge, ObjectKind};
use crate::peer::ChangeReply;

/// Changes from the log of an instance, with the age of its last contact with the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedPage {
    /// The changes.
    pub changes: ChangePage,
    /// The age of the last contact that the changes cover.
    pub age: ContactAge,
}

impl RelayedPage {
    /// Converts the reply of a peer about objects of a kind into a page.
    #[must_use]
    pub fn from_reply(reply: ChangeReply, kind: ObjectKind) -> Self {
        Self {
            age: ContactAge::from_reply(&reply, kind),
            changes: ChangePage::from_reply(reply),
        }
    }

    /// Converts the page into a reply to a peer.
    #[must_use]
    pub fn into_reply(self) -> ChangeReply {
        let to_millis = |age: Duration| u32::try_from(age.as_millis()).ok();
        ChangeReply {
            call_age_ms: to_millis(self.age.called),
            answer_age_ms: to_millis(self.age.answered),
            ..self.changes.into_reply()
        }
    }
}
