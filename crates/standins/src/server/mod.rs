//! An HTTP server that can cut or ignore single connections, which dropshot does not expose.

mod connection_gate;
mod connection_server;
mod cut_connection;
mod reply;
mod request_part;

pub(crate) use connection_gate::ConnectionGate;
pub(crate) use connection_server::{AnswerBody, ConnectionServer};
pub(crate) use cut_connection::CutConnection;
pub(crate) use reply::{json_reply, refusal, whole_reply};
pub(crate) use request_part::{query_number, read_body};
