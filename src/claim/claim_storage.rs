use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

use super::{StorageWrite, StoredClaims};
use crate::error::Result;

type ReadCall = dyn Fn(String) -> BoxFuture<'static, Result<Option<StoredClaims>>> + Send + Sync;
type WriteCall =
    dyn Fn(String, Vec<u8>, Option<u64>) -> BoxFuture<'static, Result<StorageWrite>> + Send + Sync;

/// The two calls of the object store that claims need.
#[derive(Clone)]
pub struct ClaimStorage {
    read: Arc<ReadCall>,
    write: Arc<WriteCall>,
}

impl ClaimStorage {
    /// Wraps a read and a conditional write.
    ///
    /// An error of `write` means that its effect is unknown: it may have happened, and it may
    /// still happen for as long as the object has the expected version.
    pub fn new(
        read: impl Fn(String) -> BoxFuture<'static, Result<Option<StoredClaims>>>
        + Send
        + Sync
        + 'static,
        write: impl Fn(String, Vec<u8>, Option<u64>) -> BoxFuture<'static, Result<StorageWrite>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self {
            read: Arc::new(read),
            write: Arc::new(write),
        }
    }

    pub(super) async fn read(&self, key: &str) -> Result<Option<StoredClaims>> {
        (self.read)(key.to_owned()).await
    }

    pub(super) async fn write(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
    ) -> Result<StorageWrite> {
        (self.write)(key.to_owned(), value, expected).await
    }
}

impl fmt::Debug for ClaimStorage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimStorage").finish_non_exhaustive()
    }
}
