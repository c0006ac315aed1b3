use std::sync::Arc;
use std::time::Duration;

use super::{LoadOwner, LoadPriority, ResidencyDirectory};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::forward::ModelRef;
use crate::id::{InstanceId, UpstreamId};
use crate::peer::{
    AdapterReply, AdapterRequest, PeerMesh, PeerReply, PeerRequest, RefusalBody, ask, reply,
};
use crate::time::ClockSource;

/// Requests adapter loads from the owner of an upstream, which may be this instance or a peer.
#[derive(Debug, Clone)]
pub struct LoadClient {
    /// The id of this instance.
    pub instance: InstanceId,
    /// Serves the loads at upstreams that this instance owns.
    pub owner: Arc<LoadOwner>,
    /// Supplies the owner of an upstream and records adapters that became resident.
    pub directory: Arc<ResidencyDirectory>,
    /// The links to the other instances, for upstreams that they own.
    pub mesh: PeerMesh,
    /// Supplies the current time, which decides whether the known owner of an upstream has expired.
    pub clock: ClockSource,
}

impl LoadClient {
    /// Requests an adapter and waits until it is resident; returns the resident version.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if no owner is known or reachable, and
    /// [`ErrorKind::Overloaded`] if the load would not finish in time.
    pub async fn request_load(
        &self,
        upstream: &UpstreamId,
        model: &ModelRef,
        min_version: u64,
        priority: LoadPriority,
    ) -> Result<u64> {
        let Some(owner) = self.directory.owner_of(upstream, self.clock.now()) else {
            return Err(refusal(
                ErrorKind::Unavailable,
                "no owner of the upstream is known",
            ));
        };
        let version = if owner == self.instance {
            self.owner
                .request_load(upstream, model, min_version, priority)
                .await
                .map_err(|cause| refusal(ErrorKind::Overloaded, &format!("{cause:?}")))?
        } else {
            let request = AdapterRequest {
                upstream: upstream.as_str().to_owned(),
                model: model.model.clone(),
                adapter: model.adapter.clone(),
                min_version,
                useful_ms: to_millis(priority.expires_after),
                on_time_ms: to_millis(priority.late_after),
                value: priority.value,
            };
            let message = PeerRequest {
                body: Some(ask::Body::Want(request)),
            };
            match self.mesh.request(&owner, message).await?.body {
                Some(reply::Body::Resident(grant)) => grant.version,
                Some(reply::Body::Refused(body)) => return Err(body.to_error()),
                _ => {
                    return Err(refusal(
                        ErrorKind::Protocol,
                        "the owner's reply is of another kind",
                    ));
                }
            }
        };
        self.directory.record_resident(upstream, model, version);
        Ok(version)
    }

    /// Serves a peer's request for an adapter at an upstream that this instance owns.
    pub async fn serve_peer(owner: Arc<LoadOwner>, request: AdapterRequest) -> PeerReply {
        let upstream = UpstreamId::from_name(&request.upstream);
        let model = ModelRef::new(&request.model, &request.adapter);
        let priority = LoadPriority {
            value: request.value,
            late_after: Duration::from_millis(u64::from(request.on_time_ms)),
            expires_after: Duration::from_millis(u64::from(request.useful_ms)),
        };
        let answer = owner
            .request_load(&upstream, &model, request.min_version, priority)
            .await;
        let body = match answer {
            Ok(version) => reply::Body::Resident(AdapterReply { version }),
            Err(cause) => {
                let error = refusal(ErrorKind::Overloaded, &format!("{cause:?}"));
                reply::Body::Refused(RefusalBody::from_error(&error))
            }
        };
        PeerReply { body: Some(body) }
    }
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn refusal(kind: ErrorKind, detail: &str) -> Error {
    Error::new(kind, detail).with_run_state(RunState::NotRun)
}
