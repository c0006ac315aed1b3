use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

use crate::error::Result;
use crate::id::InstanceId;
use crate::peer::{PermitBid, PermitGrant, PermitRelease};

type FindHolder = dyn Fn() -> Option<InstanceId> + Send + Sync;
type SendBid =
    dyn Fn(InstanceId, PermitBid) -> BoxFuture<'static, Result<PermitGrant>> + Send + Sync;
type SendRelease =
    dyn Fn(InstanceId, PermitRelease) -> BoxFuture<'static, Result<()>> + Send + Sync;

/// Callbacks by which a [`PermitClient`](super::PermitClient) finds the holder and sends messages
/// to it.
#[derive(Clone)]
pub struct ClientHooks {
    find_holder: Arc<FindHolder>,
    send_bid: Arc<SendBid>,
    send_release: Arc<SendRelease>,
}

impl ClientHooks {
    /// Creates the hooks from the lookup of the holder and the functions that send bids and
    /// releases.
    ///
    /// If the holder is this instance, the functions call its endpoint directly.
    pub fn new(
        find_holder: impl Fn() -> Option<InstanceId> + Send + Sync + 'static,
        send_bid: impl Fn(InstanceId, PermitBid) -> BoxFuture<'static, Result<PermitGrant>>
        + Send
        + Sync
        + 'static,
        send_release: impl Fn(InstanceId, PermitRelease) -> BoxFuture<'static, Result<()>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self {
            find_holder: Arc::new(find_holder),
            send_bid: Arc::new(send_bid),
            send_release: Arc::new(send_release),
        }
    }

    pub(super) fn find_holder(&self) -> Option<InstanceId> {
        (self.find_holder)()
    }

    pub(super) async fn send_bid(&self, to: &InstanceId, bid: PermitBid) -> Result<PermitGrant> {
        (self.send_bid)(to.clone(), bid).await
    }

    pub(super) async fn send_release(&self, to: &InstanceId, release: PermitRelease) -> Result<()> {
        (self.send_release)(to.clone(), release).await
    }
}

impl fmt::Debug for ClientHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientHooks").finish_non_exhaustive()
    }
}
