use prost::Message;

use crate::policy::AllowanceSums;

/// What the instances that a report covers use of the allowance of a workspace.
#[derive(Clone, PartialEq, Message)]
pub struct AllowanceUsage {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Decayed sum of the units that callers asked for.
    #[prost(double, tag = "2")]
    pub asked: f64,
    /// Decayed sum of the admitted units; negative if more were refunded.
    #[prost(double, tag = "3")]
    pub admitted: f64,
    /// Sum of the levels at which the instances see the bucket of the fleet.
    #[prost(double, tag = "4")]
    pub level: f64,
}

impl AllowanceUsage {
    /// Creates the message for the sums of a workspace.
    #[must_use]
    pub const fn from_sums(workspace: String, sums: &AllowanceSums) -> Self {
        Self {
            workspace,
            asked: sums.asked,
            admitted: sums.admitted,
            level: sums.level,
        }
    }

    /// Returns the sums as reported, without a check.
    #[must_use]
    pub const fn to_sums(&self) -> AllowanceSums {
        AllowanceSums {
            asked: self.asked,
            admitted: self.admitted,
            level: self.level,
        }
    }
}
