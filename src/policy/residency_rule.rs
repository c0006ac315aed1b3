/// Which resident adapter makes room for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencyRule {
    /// The one whose last use is the longest ago.
    LeastRecent,
    /// The least popular one, except that a few slots turn over by last use.
    Popularity,
}
