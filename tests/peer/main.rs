//! Tests of the peer protocol: codec, handshake, links and mesh, on loopback.

mod calls;
mod failures;
mod fixture;
mod test_proxy;
