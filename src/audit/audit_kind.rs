use serde::{Deserialize, Serialize};

/// The kind of change that an audit record reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditKind {
    /// An accepted edit of the tables.
    Edit,
    /// A change of the owner of an upstream.
    OwnerChange,
    /// One or more ordered adapter loads.
    LoadOrder,
    /// One or more ordered adapter evictions.
    EvictionOrder,
    /// The start or the end of the drain of an upstream.
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

    /// Returns whether records with the same subject and reason are merged within a flush.
    #[must_use]
    pub const fn is_merged(self) -> bool {
        matches!(self, Self::LoadOrder | Self::EvictionOrder)
    }
}
