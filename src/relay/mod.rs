//! Relays changes in the platform's store from one instance of a failure domain to the others.
//!
//! Each call to the store has a cost and counts towards a rate that all instances share, so one
//! instance of each failure domain, the watcher, watches the store and the others request the
//! changes from it. [`ChangeLog`] keeps the objects of one kind and their history, [`ChangeRelay`]
//! replies to the requests of peers from four logs, one for each [`ObjectKind`], and
//! [`RelayClient`] sends the requests. An instance whose watcher is silent, cut off from the store
//! or gone calls the store itself; [`elect_watcher`] selects the watcher. If the store does not answer
//! that instance either, any peer that the store answers takes the place of the watcher;
//! [`choose_substitutes`] selects the peers to ask.

mod change_log;
mod change_page;
mod change_relay;
mod contact_age;
mod object_kind;
mod relay_client;
mod relayed_object;
mod relayed_page;
mod store_era;
mod substitute_choice;
mod substitute_state;
mod watcher_election;

pub use change_log::ChangeLog;
pub use change_page::ChangePage;
pub use change_relay::ChangeRelay;
pub use contact_age::ContactAge;
pub use object_kind::ObjectKind;
pub use relay_client::RelayClient;
pub use relayed_object::RelayedObject;
pub use relayed_page::RelayedPage;
pub use store_era::{plain_revision, revision_era, stamp_revision};
pub use substitute_choice::choose_substitutes;
pub use watcher_election::elect_watcher;
