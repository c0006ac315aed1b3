use futures_util::StreamExt;
use futures_util::stream;

use super::{AdminClient, NodeState};
use crate::error::Result;

/// Admin ports that are asked side by side.
const MAX_CONCURRENT_FETCHES: usize = 32;

/// Reads the states of nodes, in the order of the clients.
pub(super) async fn fetch_states(
    clients: Vec<AdminClient>,
) -> Vec<(AdminClient, Result<NodeState>)> {
    stream::iter(clients)
        .map(|client| async move {
            let state = client.state().await;
            (client, state)
        })
        .buffered(MAX_CONCURRENT_FETCHES)
        .collect()
        .await
}
