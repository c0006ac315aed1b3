/// The answer of an instance to a [`LeaseClaim`](super::LeaseClaim).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The instance lets the claimant send orders, and takes over only after the takeover timeout.
    Acknowledged,
    /// The instance knows of a later epoch or is taking over; the claimant must give the lease up.
    Contested,
    /// The instance has started again and does not know whether it took over before. The claimant
    /// keeps the lease, but needs a renewal in the store.
    Unverified,
}
