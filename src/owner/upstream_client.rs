use crate::upstream::{EngineClient, PlainClient};

/// The client of an upstream of either kind.
#[derive(Debug, Clone)]
pub(super) enum UpstreamClient {
    /// A model engine.
    Engine {
        /// Everything but loads.
        orders: EngineClient,
        /// Loads, which may take long.
        loads: EngineClient,
    },
    /// A plain service.
    Plain(PlainClient),
}
