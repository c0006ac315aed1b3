//! Assembles the parts of a node and runs them from startup to graceful shutdown.
//!
//! [`Node::start`] builds the parts, connects them through closures (the hooks of the mesh and the
//! lookups of the router), and spawns the loops for membership, tables and the instance list.

mod call_forwarder;
mod config_loop;
mod entry_wiring;
mod epoch_lookup;
mod fleet_view;
mod member_loop;
mod mesh_wiring;
mod node_parts;
mod node_runner;
mod node_status;
mod owner_wiring;
mod permit_wiring;
mod running_node;

pub use fleet_view::FleetView;
pub use node_runner::run;
pub use running_node::Node;
