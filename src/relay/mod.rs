//! Changes in the platform's store, passed on from one instance of a failure domain to the others.
//!
//! Each call to the store has a price and a share of a common rate, so one instance of each domain
//! watches the store and the others ask it. [`ChangeLog`] remembers what one kind of objects looks
//! like and since when, [`ChangeRelay`] answers the questions of peers from four logs, and
//! [`RelayClient`] asks. An instance whose watcher is silent, cut off from the store or gone asks
//! the store itself; [`elect_watcher`] decides whom to ask.

mod change_log;
mod change_page;
mod change_relay;
mod object_kind;
mod relay_client;
mod relayed_object;
mod watcher_election;

pub use change_log::ChangeLog;
pub use change_page::ChangePage;
pub use change_relay::ChangeRelay;
pub use object_kind::ObjectKind;
pub use relay_client::RelayClient;
pub use relayed_object::RelayedObject;
pub use watcher_election::elect_watcher;
