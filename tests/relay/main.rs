//! Tests of the relay, which passes changes in the store from one instance to its peers.

mod change_log;
mod replies;
mod watcher_election;
