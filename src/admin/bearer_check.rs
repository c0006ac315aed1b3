use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Checks the bearer token of requests to the admin port.
#[derive(Clone, Default)]
pub(super) struct BearerCheck {
    token: Option<String>,
}

impl BearerCheck {
    /// Creates a check; without a token, every request is allowed.
    pub fn new(token: Option<&str>) -> Self {
        Self {
            token: token.map(ToOwned::to_owned),
        }
    }

    /// Returns whether the request is allowed; compares the token in constant time.
    pub fn is_allowed(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let sent = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        sent.is_some_and(|sent| bool::from(sent.as_bytes().ct_eq(token.as_bytes())))
    }
}

impl std::fmt::Debug for BearerCheck {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BearerCheck")
            .field("has_token", &self.token.is_some())
            .finish()
    }
}
