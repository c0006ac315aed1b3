use tokio::sync::oneshot;

use super::PermitEndpoint;
use super::permit_endpoint::WaitKey;
use crate::peer::PermitGrant;

/// A bid that waits for its grant; dropping it withdraws the bid and returns a late grant.
#[derive(Debug)]
pub(super) struct PermitWait<'a> {
    pub(super) endpoint: &'a PermitEndpoint,
    pub(super) key: WaitKey,
    pub(super) serial: u64,
    pub(super) receiver: oneshot::Receiver<PermitGrant>,
}

impl PermitWait<'_> {
    /// Waits for the grant; an error means that another bid replaced this one.
    pub(super) async fn granted(&mut self) -> Option<PermitGrant> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PermitWait<'_> {
    fn drop(&mut self) {
        self.endpoint.withdraw(&self.key, self.serial);
        if let Ok(grant) = self.receiver.try_recv() {
            self.endpoint.free(&self.key.0, grant.permit);
        }
    }
}
