use comfreychute::id::{AdapterRef, RequestRank, UpstreamId};
use comfreychute::policy::{PlacementCandidate, placement_score};

/// Chooses the worker with the least load, whatever is resident.
pub(crate) fn least_loaded(
    candidates: &[PlacementCandidate],
    rank: RequestRank,
) -> Option<&UpstreamId> {
    candidates
        .iter()
        .min_by(|left, right| left.load(rank).total_cmp(&right.load(rank)))
        .map(|candidate| &candidate.upstream)
}

/// Chooses the worker with the highest rendezvous score, whatever its load.
pub(crate) fn highest_score<'a>(
    candidates: &'a [PlacementCandidate],
    adapter: &AdapterRef,
) -> Option<&'a UpstreamId> {
    let key = adapter.to_string();
    candidates
        .iter()
        .max_by_key(|candidate| placement_score(&key, candidate.upstream.as_str()))
        .map(|candidate| &candidate.upstream)
}
