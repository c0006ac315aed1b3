use tokio::sync::oneshot;

use super::PermitEndpoint;
use super::permit_endpoint::BidKey;
use crate::peer::PermitGrant;

/// A bid that waits for its grant.
///
/// Dropping it withdraws the bid and releases a grant that was not received.
#[derive(Debug)]
pub(super) struct PendingBid<'a> {
    pub(super) endpoint: &'a PermitEndpoint,
    pub(super) key: BidKey,
    pub(super) serial: u64,
    pub(super) receiver: oneshot::Receiver<PermitGrant>,
}

impl PendingBid<'_> {
    /// Waits for the grant; returns `None` if another bid has replaced this one.
    pub(super) async fn granted(&mut self) -> Option<PermitGrant> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingBid<'_> {
    fn drop(&mut self) {
        self.endpoint.withdraw(&self.key, self.serial);
        if let Ok(grant) = self.receiver.try_recv() {
            self.endpoint.release_permit(&self.key.0, grant.permit);
        }
    }
}
