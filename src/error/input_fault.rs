use std::fmt;

use super::InputPlace;

/// One fault in the settings or the tables: where it is, what is wrong and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InputFault {
    /// Where the faulty value stands.
    pub place: InputPlace,
    /// The key or the row.
    pub subject: String,
    /// What is wrong.
    pub problem: String,
    /// What to change.
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
