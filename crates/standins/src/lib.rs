//! Simulated boundaries of the product: the platform, model engines and plain services.
//!
//! Each stand-in serves HTTP on a loopback address, injects faults that its settings name, and can
//! be changed at run time through its own methods or through control endpoints on the same port:
//!
//! - `GET /control/settings` and `PUT /control/settings` (a JSON object of the keys to change),
//! - `GET /control/counters`,
//! - engines and plain services: `GET /control/journal?after=N`, `POST /control/silence`,
//! - engines: `POST /control/restart` and `POST /control/cut`,
//! - the platform: `PUT /control/instances` (the list of instances).
//!
//! The crate is not part of the product.

pub mod capacity;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod journal;
pub mod load;
pub mod plain;
pub mod platform;
mod server;

pub use engine::EngineStandin;
pub use fleet::LocalFleet;
pub use plain::PlainStandin;
pub use platform::PlatformStandin;
