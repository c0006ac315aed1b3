use std::sync::Arc;

use http::StatusCode;

use super::RequestRunner;
use super::local_response::LocalResponse;
use crate::allowance::AllowanceGrant;
use crate::workspace::WorkspaceEntry;

/// Reason of the refusal of a request beyond the allowance of its workspace.
const ALLOWANCE_REFUSAL: &str = "the allowance of the workspace is used up";

/// The allowances of workspaces.
impl RequestRunner {
    /// Takes what a request costs from the allowance of its workspace; returns `None` if nothing limits
    /// it. `token_counts` are its prompt tokens and its maximum number of output tokens, or `None` if
    /// it states none.
    pub(super) fn admit_allowance(
        &self,
        workspace: Option<&Arc<WorkspaceEntry>>,
        token_counts: Option<(u32, u32)>,
    ) -> Result<Option<AllowanceGrant>, LocalResponse> {
        let Some((workspace, allowance)) =
            workspace.and_then(|entry| Some((entry, entry.allowance?)))
        else {
            return Ok(None);
        };
        let cost = allowance.cost(token_counts);
        self.allowances
            .admit(workspace, cost)
            .map_err(|refusal| LocalResponse {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: ALLOWANCE_REFUSAL,
                retry_after: Some(refusal.retry_after),
                is_closing: false,
            })
    }
}
