use comfreychute::id::{AttemptId, EngineName, OwnerEpoch, RequestRank};

/// What the headers of a completion say.
#[derive(Debug, Default)]
pub(super) struct CallHeaders {
    pub(super) attempt: Option<AttemptId>,
    pub(super) name: Option<EngineName>,
    pub(super) epoch: Option<OwnerEpoch>,
    pub(super) rank: Option<RequestRank>,
}
