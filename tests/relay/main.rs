//! Tests of the relay, which passes changes in the store from one instance to its peers.

mod change_log;
mod peer_fixture;
mod replies;
mod substitute_choice;
mod watcher_election;
