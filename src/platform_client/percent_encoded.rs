use std::fmt::{self, Write as _};

/// Formats a value for a query string, with reserved characters percent-encoded.
#[derive(Debug)]
pub(super) struct PercentEncoded<'a>(pub(super) &'a str);

impl fmt::Display for PercentEncoded<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0.bytes() {
            if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/') {
                f.write_char(char::from(byte))?;
            } else {
                write!(f, "%{byte:02X}")?;
            }
        }
        Ok(())
    }
}
