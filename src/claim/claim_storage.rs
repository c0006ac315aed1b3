use std::fmt;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::error::Result;
use crate::platform_client::{ObjectStore, StoredObject, WriteOutcome};

type ReadCall = dyn Fn(String) -> BoxFuture<'static, Result<Option<StoredObject>>> + Send + Sync;
type WriteCall =
    dyn Fn(String, Vec<u8>, Option<u64>) -> BoxFuture<'static, Result<WriteOutcome>> + Send + Sync;

/// The read and the conditional write that claims use of the object store.
#[derive(Clone)]
pub struct ClaimStorage {
    read: Arc<ReadCall>,
    write: Arc<WriteCall>,
}

impl ClaimStorage {
    /// Creates a storage from a read and a conditional write.
    ///
    /// An error of `write` means that its effect is unknown: the write may have taken effect, and
    /// it may still take effect as long as the object has the expected version.
    pub fn new(
        read: impl Fn(String) -> BoxFuture<'static, Result<Option<StoredObject>>>
        + Send
        + Sync
        + 'static,
        write: impl Fn(String, Vec<u8>, Option<u64>) -> BoxFuture<'static, Result<WriteOutcome>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self {
            read: Arc::new(read),
            write: Arc::new(write),
        }
    }

    /// Creates a storage that uses the platform's object store.
    #[must_use]
    pub fn from_store(store: &ObjectStore) -> Self {
        let (reader, writer) = (store.clone(), store.clone());
        Self::new(
            move |key| {
                let store = reader.clone();
                async move { store.read(&key).await }.boxed()
            },
            move |key, value, expected| {
                let store = writer.clone();
                async move { store.write(&key, &value, expected).await }.boxed()
            },
        )
    }

    pub(super) async fn read(&self, key: &str) -> Result<Option<StoredObject>> {
        (self.read)(key.to_owned()).await
    }

    pub(super) async fn write(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
    ) -> Result<WriteOutcome> {
        (self.write)(key.to_owned(), value, expected).await
    }
}

impl fmt::Debug for ClaimStorage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClaimStorage").finish_non_exhaustive()
    }
}
