use std::fmt;

use super::InputPlace;

/// One fault in the settings or the tables: where it is, what is wrong and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InputFault {
    /// The source that the faulty value was read from.
    pub place: InputPlace,
    /// The key or the table row that is faulty.
    pub subject: String,
    /// Why the value is rejected.
    pub problem: String,
    /// How to correct the value; empty if there is no advice.
    pub remedy: String,
}

impl fmt::Display for InputFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.subject, self.problem)?;
        if self.remedy.is_empty() {
            return Ok(());
        }
        write!(f, "; {}", self.remedy)
    }
}
