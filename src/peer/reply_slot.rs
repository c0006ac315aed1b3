use std::sync::Arc;

use super::link_core::LinkCore;

/// Counts one reply of a link as in progress until it is dropped, also by a panic.
pub(super) struct ReplySlot {
    core: Arc<LinkCore>,
}

impl ReplySlot {
    /// Takes a slot; returns `None` if too many replies are in progress on the link.
    pub(super) fn take(core: &Arc<LinkCore>) -> Option<Self> {
        core.begin_reply().then(|| Self {
            core: Arc::clone(core),
        })
    }
}

impl Drop for ReplySlot {
    fn drop(&mut self) {
        self.core.streams().replies -= 1;
    }
}
