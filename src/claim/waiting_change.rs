use tokio::sync::oneshot;

use super::ClaimOutcome;
use super::claim_change::{ChangeKind, ChangeReply, ClaimChange};
use crate::error::Result;

/// A queued change with the channel that its result is sent to.
#[derive(Debug)]
pub(super) struct WaitingChange {
    pub(super) change: ClaimChange,
    pub(super) reply: oneshot::Sender<Result<ChangeReply>>,
    /// Whether the effect of an earlier write that contains the change is unknown.
    pub(super) is_unconfirmed: bool,
}

impl WaitingChange {
    pub(super) const fn is_claim(&self) -> bool {
        matches!(self.change.kind, ChangeKind::Claim(_))
    }
}

impl ChangeReply {
    pub(super) const fn is_grant(&self) -> bool {
        matches!(self, Self::Claim(ClaimOutcome::Granted))
    }
}
