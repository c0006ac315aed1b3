use std::fmt;

use super::{LeaseRecord, PortFuture};
use crate::error::Result;
use crate::id::{DomainId, InstanceId};

/// The outcome of a conditional write of a [`LeaseRecord`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseWrite {
    /// The record was written; contains its new revision.
    Written(u64),
    /// The record was not written, because its revision has changed.
    Conflict,
}

/// A record with its revision, or `None` if there is no record.
type FoundLease = Option<(LeaseRecord, u64)>;

type ReadLease = dyn Fn(&DomainId, bool) -> PortFuture<Result<FoundLease>> + Send + Sync;
type WriteLease = dyn Fn(LeaseRecord, Option<u64>) -> PortFuture<Result<LeaseWrite>> + Send + Sync;

type HasInstance = dyn Fn(&InstanceId) -> PortFuture<Result<bool>> + Send + Sync;
type RemoveInstance = dyn Fn(&InstanceId) -> PortFuture<Result<()>> + Send + Sync;

/// The calls to the store that ownership of failure domains needs.
pub struct StorePort {
    /// Reads the lease record of a domain with its revision. The second argument tells whether the
    /// record may be some seconds old, which costs the store less.
    pub read: Box<ReadLease>,
    /// Writes a record if its revision is still the given one, or creates it if the revision is
    /// `None`.
    pub write: Box<WriteLease>,
    /// Returns whether the store has the entry of an instance now.
    pub has_instance: Box<HasInstance>,
    /// Removes the entry of an instance that has failed or was replaced.
    pub remove_instance: Box<RemoveInstance>,
    /// Returns the era that the store has stated last, or `None` before its first answer.
    pub era: Box<dyn Fn() -> Option<u64> + Send + Sync>,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}
