//! A serving layer for tens of thousands of LoRA adapters on shared model upstreams.
//!
//! A request takes this path; each step names the module to open:
//!
//! 1. [`entry`] parses the caller's request, matches a route of the tables in [`config`] and
//!    refuses bad input.
//! 2. [`policy`] chooses an upstream from what [`member`] and the heartbeats of [`peer`] tell.
//! 3. [`peer`] forwards the request to the instance that owns the upstream.
//! 4. [`owner`] queues it, has the adapter loaded with a permit of [`permit`], and dispatches it
//!    through [`upstream`].
//! 5. The answer returns the same way; requests that may not be repeated are recorded by
//!    [`claim`] in the object store of [`platform_client`] first.
//!
//! [`node`] wires the parts together; [`command`] is the command line.
//!
//! On the users' machines requests take the opaque path of [`forward`] instead, with [`residency`]
//! in place of [`owner`] and [`permit`] and [`relay`] for changes of the configuration; the crate in `platform/` connects both to the users' wire.

pub mod admin;
pub mod audit;
pub mod claim;
pub mod command;
pub mod config;
pub mod entry;
pub mod error;
pub mod forward;
pub mod id;
pub mod member;
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

pub use error::{Error, ErrorKind, Result, RunState};
