use std::fmt;

/// The source of a faulty setting or table row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputPlace {
    /// A line of a file.
    Line {
        /// The path of the file as the operator gave it.
        file: String,
        /// The line number, counted from 1.
        line: usize,
    },
    /// A whole file, for something that is missing from it.
    File(String),
    /// An environment variable.
    Variable(String),
    /// A command-line flag.
    Flag(String),
    /// Tables that did not come from a file, such as those in the object store.
    Stored,
}

impl fmt::Display for InputPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { file, line } => write!(f, "{file}:{line}"),
            Self::File(file) => f.write_str(file),
            Self::Variable(name) => write!(f, "environment variable {name}"),
            Self::Flag(flag) => write!(f, "flag {flag}"),
            Self::Stored => f.write_str("stored tables"),
        }
    }
}
