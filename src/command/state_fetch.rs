use futures_util::StreamExt;
use futures_util::stream;

use super::{AdminClient, NodeState};
use crate::error::Result;

/// Maximum number of concurrent requests to admin ports.
const MAX_CONCURRENT_FETCHES: usize = 32;

/// Fetches the states of nodes concurrently and returns them in the order of the clients.
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
