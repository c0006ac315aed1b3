use std::sync::Arc;

use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap, HeaderValue};

use super::forward_run::ForwardRun;
use super::local_response::{LocalResponse, RETRY_AFTER_START, reject, unavailable};
use super::{ForwardRoute, RequestRunner, RouteSet};
use crate::policy::{KeyFault, check_key, has_key_scheme};
use crate::workspace::{KeyDigest, WorkspaceEntry};

/// A workspace and the key by which a request belongs to it.
#[derive(Debug)]
pub(super) struct WorkspaceClaim {
    pub(super) workspace: Arc<WorkspaceEntry>,
    pub(super) key: KeyDigest,
}

/// The keys of workspaces.
impl RequestRunner {
    /// Finds the workspace of a request by its key, and removes from its headers what upstreams may not
    /// see: the key, and a workspace that the caller states.
    ///
    /// Returns `None` if the route or the configuration asks for no key.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that lacks a valid key.
    pub(super) fn claim_workspace(
        &self,
        routes: &RouteSet,
        route: &ForwardRoute,
        headers: &mut HeaderMap,
    ) -> Result<Option<WorkspaceClaim>, LocalResponse> {
        let Some(table) = routes.workspaces() else {
            return Ok(None);
        };
        headers.remove(&self.names.workspace);
        let credentials = || {
            headers
                .get_all(AUTHORIZATION)
                .iter()
                .map(HeaderValue::as_bytes)
        };
        if route.is_public {
            // Credentials of another scheme are meant for the upstream.
            if credentials().any(has_key_scheme) {
                headers.remove(AUTHORIZATION);
            }
            return Ok(None);
        }
        let find = |key: &[u8]| {
            let key = KeyDigest::from_key(key);
            let workspace = Arc::clone(table.find(&key)?);
            Some(WorkspaceClaim { workspace, key })
        };
        if let Some(refusal) = self.lease_refusal() {
            return Err(refusal);
        }
        let claim = check_key(credentials(), find).map_err(refusal)?;
        headers.remove(AUTHORIZATION);
        Ok(Some(claim))
    }

    /// Returns the refusal of a request that may not be sent, because its key no longer belongs to its
    /// workspace in the newest configuration, or that configuration is too old.
    pub(super) fn key_refusal(&self, run: &ForwardRun) -> Option<LocalResponse> {
        let (workspace, key) = (run.workspace.as_ref()?, run.key.as_ref()?);
        let routes = self.fleet.routes()?;
        let owner = routes.workspaces()?.find(key);
        let is_valid = owner.is_some_and(|owner| owner.name == workspace.name);
        if is_valid {
            self.lease_refusal()
        } else {
            Some(refusal(KeyFault::Withdrawn))
        }
    }

    /// Returns the refusal of all requests that need a key while the keys are not confirmed.
    fn lease_refusal(&self) -> Option<LocalResponse> {
        let is_valid = self.settings.key_lease.is_valid(self.fleet.config_age());
        (!is_valid).then(|| unavailable("keys not confirmed", RETRY_AFTER_START))
    }
}

const fn refusal(fault: KeyFault) -> LocalResponse {
    reject(StatusCode::UNAUTHORIZED, fault.as_str())
}
