use crate::upstream::{EngineClient, PlainClient};

/// The client of an upstream of either kind.
#[derive(Debug, Clone)]
pub(super) enum UpstreamClient {
    /// A model engine.
    Engine {
        /// Client of all operations except loads.
        orders: EngineClient,
        /// Client of loads, with a timeout that covers the longest load.
        loads: EngineClient,
    },
    /// A plain service.
    Plain(PlainClient),
}
