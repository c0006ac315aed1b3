//! A serving layer for tens of thousands of LoRA adapters on shared model upstreams.
//!
//! A request takes this path; each step names the module to open:
//!
//! 1. [`entry`] parses and validates the caller's request and matches it to a route of the tables
//!    ([`table`]) that [`config`] holds.
//! 2. [`policy`] selects an upstream based on the residency that [`member`] tracks and the
//!    heartbeats that [`peer`] exchanges.
//! 3. [`peer`] forwards the request to the instance that owns the upstream, unless that is the
//!    instance that received it.
//! 4. [`owner`] queues it, loads the adapter with a permit from [`permit`] if necessary, and
//!    dispatches the request through [`upstream`].
//! 5. The response is relayed back along the same path.
//!
//! If a request to a plain service may not be repeated, [`entry`] claims its idempotency key
//! through [`claim`], in the object store behind [`platform_client`], before it is dispatched.
//!
//! [`node`] wires the modules together, [`command`] implements the command line, [`admin`] serves
//! operators, [`audit`] records changes and [`telemetry`] writes logs and metrics.
//!
//! The crate in `platform/` is a second program, which connects this crate to the users' wire
//! formats. It does not parse request bodies: [`forward`] matches a request by host and path and
//! forwards its body unchanged, [`workspace`] says whose request it is, [`allowance`] whether the workspace may still send it, [`residency`] replaces
//! [`owner`] and [`permit`], and [`relay`] distributes changes of the configuration. Both programs use [`peer`] and [`policy`].
//!
//! The remaining modules support the others: [`settings`] reads the settings of a node, [`id`]
//! defines the identifiers and [`error`] the error type, [`transport`] is the HTTP client, [`time`]
//! provides a clock and a timer service, [`shard`] a concurrent map, and [`mod@unit`] reads and
//! writes quantities with their units.

pub mod admin;
pub mod allowance;
pub mod audit;
pub mod claim;
pub mod command;
pub mod config;
pub mod entry;
pub mod error;
pub mod forward;
pub mod id;
pub mod member;
pub mod memory;
pub mod node;
pub mod owner;
pub mod peer;
pub mod permit;
pub mod platform_client;
pub mod policy;
pub mod relay;
pub mod residency;
pub mod settings;
pub mod shard;
pub mod table;
pub mod telemetry;
pub mod time;
pub mod transport;
pub mod unit;
pub mod upstream;
pub mod workspace;

pub use error::{Error, ErrorKind, Result, RunState};
