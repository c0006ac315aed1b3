use std::fmt;

/// Closes the connection without a further byte when returned as the error of a reply or its body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CutConnection;

impl fmt::Display for CutConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is cut on order; change the stand-in's settings to avoid it")
    }
}

impl std::error::Error for CutConnection {}
