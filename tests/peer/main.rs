//! Tests of the peer protocol: codec, handshake, links and mesh, on loopback.

mod calls;
mod codec;
mod dial_grace;
mod failures;
mod fixture;
mod given_up;
mod handshake;
mod idle_links;
mod link_rules;
mod panics;
mod raw_peer;
mod replaced_links;
mod test_proxy;
mod traffic;
