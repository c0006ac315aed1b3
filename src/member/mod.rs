//! Membership: live instances from the platform's list and from heartbeats.
