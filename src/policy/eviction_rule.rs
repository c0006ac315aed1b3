/// Which resident adapter makes room for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionRule {
    /// The one whose last use is the longest ago.
    LeastRecentlyUsed,
    /// The least popular one, except that a few slots turn over by last use.
    Popularity,
}
