/// Why the credentials of a request name no workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// The request has no `Authorization` header, or one without a key.
    Missing,
    /// The request has several `Authorization` headers, of which an upstream might read another one.
    Repeated,
    /// The credentials have another scheme than `Token`.
    OtherScheme,
    /// The key is longer than [`MAX_KEY_BYTES`].
    TooLong,
    /// No workspace has the key.
    Unknown,
    /// The key belonged to the workspace when the request arrived, and no longer does.
    Withdrawn,
}

/// Maximum length of an API key in bytes, so that callers can't have long values hashed. Keys are
/// random and need tens of bytes.
pub const MAX_KEY_BYTES: usize = 1024;

/// The scheme of the credentials that carry an API key; its case is ignored, as that of all schemes.
const KEY_SCHEME: &[u8] = b"Token";

impl KeyFault {
    /// Returns the reason as it appears in responses, logs and metrics; it contains nothing of the key.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Repeated => "several keys",
            Self::OtherScheme => "credentials of another scheme",
            Self::TooLong => "oversized key",
            Self::Unknown => "unknown key",
            Self::Withdrawn => "withdrawn key",
        }
    }
}

/// Finds the workspace of a request by the values of its `Authorization` headers; `find` returns the
/// workspace of a key.
///
/// # Errors
///
/// Returns why the request has no workspace. Each fault refuses the request.
pub fn check_key<'a, T>(
    credentials: impl IntoIterator<Item = &'a [u8]>,
    find: impl FnOnce(&[u8]) -> Option<T>,
) -> Result<T, KeyFault> {
    let mut credentials = credentials.into_iter();
    let value = credentials.next().ok_or(KeyFault::Missing)?;
    if credentials.next().is_some() {
        return Err(KeyFault::Repeated);
    }
    let key = key_of(value).ok_or(KeyFault::OtherScheme)?;
    if key.is_empty() {
        return Err(KeyFault::Missing);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(KeyFault::TooLong);
    }
    find(key).ok_or(KeyFault::Unknown)
}

/// Returns whether an `Authorization` value has the scheme of API keys, so that no upstream may see it.
#[must_use]
pub fn has_key_scheme(credentials: &[u8]) -> bool {
    key_of(credentials).is_some()
}

/// Returns the key, which may be empty, or `None` if the credentials have another scheme.
fn key_of(credentials: &[u8]) -> Option<&[u8]> {
    let credentials = credentials.trim_ascii();
    let (scheme, key) = credentials.split_at_checked(KEY_SCHEME.len())?;
    let is_scheme =
        scheme.eq_ignore_ascii_case(KEY_SCHEME) && key.first().is_none_or(u8::is_ascii_whitespace);
    is_scheme.then(|| key.trim_ascii())
}
