use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use crate::error::Result;
use crate::forward::{ModelRef, UpstreamEntry};
use crate::id::InstanceId;

/// The future of a port's call.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// What an order changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Makes a model or adapter resident.
    Load,
    /// Drops it.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub kind: OrderKind,
    /// The model or adapter.
    pub model: ModelRef,
    /// The version to load; zero takes the newest.
    pub version: u64,
    /// Orders that the engine has accepted so far; the order is void if that differs.
    pub expected: Option<u64>,
    /// The instance that orders.
    pub holder: InstanceId,
    /// The epoch of the holder's lease.
    pub fencing_token: u64,
}

/// What an engine said of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The order is impossible or refused.
    Refused,
    /// Another upstream answers at the address.
    Misdirected,
}

/// The state that an engine reports; it lags by some hundred milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The time of the engine's start, as it states it.
    pub incarnation: u64,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Base models that are resident.
    pub models: BTreeSet<String>,
    /// Whether an order is carried out before which no other is taken.
    pub is_busy: bool,
    /// Resident adapters with their versions.
    pub adapters: BTreeMap<ModelRef, u64>,
    /// Adapters that are being loaded, with their versions.
    pub pending: BTreeMap<ModelRef, u64>,
}

/// The orders and reports of engines.
pub struct OrderPort {
    /// Sends an order; an error means that it may or may not take effect, even later.
    pub order: Box<SendOrder>,
    /// Reads a report.
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
