use serde::{Deserialize, Serialize};

/// What an audit record reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// An accepted edit of the tables.
    Edit,
    /// An upstream has another owner.
    OwnerChange,
    /// Adapter loads were ordered.
    LoadOrder,
    /// Adapter evictions were ordered.
    EvictionOrder,
    /// An upstream or an instance is leaving.
    Drain,
}

impl AuditKind {
    /// Returns the name used in records.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Edit => "edit",
            Self::OwnerChange => "owner_change",
            Self::LoadOrder => "load_order",
            Self::EvictionOrder => "eviction_order",
            Self::Drain => "drain",
        }
    }

    /// Returns whether records of one flush with the same subject and reason are joined.
    #[must_use]
    pub const fn is_merged(self) -> bool {
        matches!(self, Self::LoadOrder | Self::EvictionOrder)
    }
}
