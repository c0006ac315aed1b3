use super::UpstreamOption;

/// Returns how many of the requests that all instances send until the next reports each option
/// should get, so that the predicted times become level; the sum is `pending`.
///
/// Options that are predicted above that level get none. With one pending request, which is the
/// case of a single instance, only the best gets it; with many, the options get shares in
/// proportion to their room.
#[must_use]
pub fn level_weights(options: &[UpstreamOption], pending: f64) -> Vec<f64> {
    let mut ordered: Vec<(f64, f64, usize)> = options
        .iter()
        .enumerate()
        .map(|(index, option)| {
            let predicted = option.predicted_ms();
            let added = option.with_request().predicted_ms() - predicted;
            (predicted, added.max(MIN_REQUEST_MS), index)
        })
        .collect();
    ordered.sort_by(|left, right| left.0.total_cmp(&right.0));
    // The level rises option by option until the pending requests fit below it.
    let (mut per_ms, mut offset, mut level) = (0.0, 0.0, f64::INFINITY);
    for (position, (predicted, request_ms, _)) in ordered.iter().enumerate() {
        per_ms += 1.0 / request_ms;
        offset += predicted / request_ms;
        level = (pending + offset) / per_ms;
        let next = ordered.get(position + 1);
        if next.is_none_or(|next| level <= next.0) {
            break;
        }
    }
    let mut weights = vec![0.0; options.len()];
    for (predicted, request_ms, index) in ordered {
        weights[index] = ((level - predicted) / request_ms).max(0.0);
    }
    weights
}

/// Time by which one more request at least delays others, in milliseconds; it bounds the share of an
/// option whose prediction does not grow.
const MIN_REQUEST_MS: f64 = 0.1;

/// Returns the index of an option drawn with its weight of [`level_weights`], or `None` if there is
/// no option.
///
/// Instances that choose at the same moment from the same figures thereby spread their requests,
/// instead of all taking the option that was best when the figures were made.
#[must_use]
pub fn draw_upstream(options: &[UpstreamOption], draw: f64) -> Option<usize> {
    let unseen = options.iter().filter_map(|option| option.unseen);
    let weights = level_weights(options, 1.0 + unseen.sum::<f64>());
    let mut left = draw * weights.iter().sum::<f64>();
    let mut last = None;
    for (index, weight) in weights.iter().enumerate() {
        if *weight > 0.0 {
            last = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    last.or(if options.is_empty() { None } else { Some(0) })
}
