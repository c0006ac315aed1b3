use comfreychute::id::{AttemptId, EngineName, OwnerEpoch};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// One order or request that a stand-in received.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The position in the journal, counted from 1.
    pub number: u64,
    /// The time of receipt, in microseconds since 1970.
    pub time_us: u64,
    /// What was received: `load`, `evict`, `complete`, `resume`, `cancel` or `call`; `start` notes
    /// that a completion left the queue and runs.
    pub kind: String,
    /// What followed: `accepted` or the code of the refusal.
    pub outcome: String,
    /// The attempt.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub attempt: Option<AttemptId>,
    /// The name of the adapter at the engine.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub name: Option<EngineName>,
    /// The epoch of the owner that sent it.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub epoch: Option<OwnerEpoch>,
    /// The method and path of a call to a plain service.
    pub path: Option<String>,
    /// The xxh3 digest of the body.
    pub body_digest: u64,
}
