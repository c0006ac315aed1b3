use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use crate::error::Result;
use crate::forward::{ModelRef, UpstreamEntry};
use crate::id::InstanceId;

/// The future that a call of an [`OrderPort`] or [`StorePort`](super::StorePort) returns.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Whether an order loads or evicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Makes a model or adapter resident.
    Load,
    /// Evicts an adapter.
    Unload,
}

/// An order to an engine to load a base model or adapter, or to evict an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load or to evict.
    pub kind: OrderKind,
    /// The base model or adapter to load, or the adapter to evict.
    pub model: ModelRef,
    /// The version to load; zero selects the newest.
    pub version: u64,
    /// The sequence number, which is the number of orders that the engine has accepted so far. The
    /// engine rejects the order as a conflict if its own number differs. `None` sends the order
    /// without a number.
    pub expected: Option<u64>,
    /// The instance that sends the order.
    pub holder: InstanceId,
    /// The epoch of the holder's lease.
    pub fencing_token: u64,
    /// The time on the owner's clock before which the order must be written to its connection; see
    /// [`DomainLease::order_deadline`](super::DomainLease::order_deadline).
    pub deadline: Duration,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executes the order.
    Accepted,
    /// The requested state is already reached.
    Holds,
    /// Another order is in progress, or the sequence number differs.
    Conflict,
    /// The engine cannot execute the order or refuses it.
    Refused,
    /// Another upstream answered at the address.
    Misdirected,
}

/// The state that an engine reports, which lags by a few hundred milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The start time of the engine as it states it, which distinguishes its restarts.
    pub incarnation: u64,
    /// The number of orders that the engine has accepted since its start.
    pub sequence: u64,
    /// The resident base models with their versions.
    pub models: BTreeMap<String, u64>,
    /// Whether the engine executes an order and refuses others until it is done.
    pub is_busy: bool,
    /// The resident adapters with their versions.
    pub adapters: BTreeMap<ModelRef, u64>,
    /// The adapters that are being loaded, with their versions.
    pub pending: BTreeMap<ModelRef, u64>,
}

/// The calls to engines that order loads and read reports.
pub struct OrderPort {
    /// Sends an order before its deadline; after an error, the order may have taken effect or may still do
    /// so within [`DomainLease::MAX_ORDER_TIME`](super::DomainLease::MAX_ORDER_TIME).
    pub order: Box<SendOrder>,
    /// Reads the current report of an engine.
    pub report: Box<ReadReport>,
}

type SendOrder =
    dyn Fn(Arc<UpstreamEntry>, EngineOrder) -> PortFuture<Result<OrderOutcome>> + Send + Sync;
type ReadReport = dyn Fn(Arc<UpstreamEntry>) -> PortFuture<Result<EngineReport>> + Send + Sync;

impl fmt::Debug for OrderPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OrderPort").finish_non_exhaustive()
    }
}
