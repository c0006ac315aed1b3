//! Queuing, dispatch and completion of calls.

use std::sync::{Arc, PoisonError};

use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use super::call_outcome::CallOutcome;
use super::call_runner;
use super::tracked_call::TrackedCall;
use super::upstream_owner::send_error;
use super::{OwnerCall, OwnerPhase, UpstreamOwner};
use crate::error::{Error, ErrorKind, RunState};
use crate::id::{EngineName, RequestId};
use crate::peer::CallOpen;
use crate::policy::{ScheduleAction, SuspectVerdict, WorkItem};
use crate::telemetry::{LogName, MetricName};

/// Tokens assumed for a request without a token limit.
const DEFAULT_TOKENS: u32 = 64;

impl UpstreamOwner {
    /// Queues a call, or refuses it with run state "not run".
    pub fn submit(&self, call: OwnerCall) {
        let call = Arc::new(call);
        match self.try_submit(&call) {
            Ok(actions) => self.perform(actions),
            Err(error) => send_error(&call, &error),
        }
    }

    fn try_submit(&self, call: &Arc<OwnerCall>) -> Result<Vec<ScheduleAction>, Error> {
        let context = &self.inner().context;
        let now = context.timer.clock().now();
        let fingerprint = fingerprint(&call.open);
        let mut state = self.state();
        if state.phase == OwnerPhase::Releasing {
            return Err(self.unavailable("its owner is changing"));
        }
        let is_reattached = state
            .calls
            .get(&call.request)
            .is_some_and(|tracked| tracked.is_dispatched);
        if is_reattached && call.open.is_repeatable {
            // The entry instance lost its link in mid-stream and has sent the call again.
            let is_stalled = state.is_stalled(call);
            let tracked = TrackedCall::new(call, fingerprint, is_stalled, now);
            if let Some(former) = state.calls.insert(
                call.request,
                TrackedCall {
                    is_dispatched: true,
                    ..tracked
                },
            ) {
                former.preempted.notify_one();
            }
            drop(state);
            self.spawn_runner(call.request);
            return Ok(Vec::new());
        }
        if state.calls.contains_key(&call.request) {
            return Err(self.unavailable("the same request is already queued"));
        }
        if !state.is_accepting {
            return Err(self.unavailable("it is draining"));
        }
        let verdict = self.check_quarantine(call)?;
        let item = WorkItem {
            request: call.request,
            adapter: call.adapter.clone(),
            caller: call.caller.clone(),
            rank: call.rank,
            deadline: call.deadline,
            tokens: match call.open.tokens {
                0 => DEFAULT_TOKENS,
                tokens => tokens,
            },
            is_preemptible: false,
            is_exclusive: verdict == SuspectVerdict::Exclusive,
        };
        let is_stalled = state.is_stalled(call);
        let tracked = TrackedCall::new(call, fingerprint, is_stalled, now);
        state.calls.insert(call.request, tracked);
        Ok(state.scheduler.offer(item, now))
    }

    /// Looks up the upstream crashes that occurred while requests with the call's content were in
    /// flight.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Quarantined`] if so many crashes are counted that the call must not
    /// run.
    pub(super) fn check_quarantine(&self, call: &OwnerCall) -> Result<SuspectVerdict, Error> {
        let verdict = self
            .inner()
            .context
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .verdict(fingerprint(&call.open), self.now());
        if verdict == SuspectVerdict::Refused {
            self.log(LogName::RequestQuarantined)
                .with("request", call.request)
                .with("caller", &call.caller)
                .send();
            return Err(Error::new(
                ErrorKind::Quarantined,
                format!("request {} was in flight at repeated crashes", call.request),
            ));
        }
        Ok(verdict)
    }

    pub(super) fn dispatch(&self, request: RequestId) {
        let now = self.now();
        {
            let mut state = self.state();
            let Some(tracked) = state.calls.get_mut(&request) else {
                return;
            };
            tracked.is_dispatched = true;
            let (metrics, pool) = (&self.inner().context.metrics, &self.inner().pool.name);
            let (rank, waited) = (
                tracked.call.rank.as_str(),
                now.saturating_sub(tracked.offered_at),
            );
            metrics.record(MetricName::QueueWait, pool, rank, waited);
            if tracked.is_stalled {
                metrics.add(MetricName::LoadStalls, pool, rank, 1);
            }
        }
        self.spawn_runner(request);
    }

    fn spawn_runner(&self, request: RequestId) {
        let owner = self.clone();
        tokio::spawn(async move {
            let Some((call, preempted)) = owner.running_call(request) else {
                return;
            };
            let outcome = call_runner::run_call(&owner, &call, &preempted).await;
            owner.finish(&call, outcome);
        });
    }

    fn running_call(&self, request: RequestId) -> Option<(Arc<OwnerCall>, Arc<Notify>)> {
        let state = self.state();
        state
            .calls
            .get(&request)
            .map(|tracked| (Arc::clone(&tracked.call), Arc::clone(&tracked.preempted)))
    }

    /// Completes a run: frees the scheduler's slot and sends a failure to the entry instance.
    fn finish(&self, call: &Arc<OwnerCall>, outcome: CallOutcome) {
        let now = self.now();
        let actions = {
            let mut state = self.state();
            let is_current = state
                .calls
                .get(&call.request)
                .is_some_and(|tracked| Arc::ptr_eq(&tracked.call, call));
            if !is_current {
                // The entry instance has reattached over another link; the slot belongs to the new
                // run.
                return;
            }
            state.calls.remove(&call.request);
            state.scheduler.finished(call.request, now)
        };
        match outcome {
            CallOutcome::Finished | CallOutcome::Abandoned => {}
            CallOutcome::Preempted => {
                let error = Error::new(
                    ErrorKind::Upstream,
                    "the request was cancelled to admit urgent work",
                );
                send_error(call, &error.with_run_state(RunState::Unknown));
            }
            CallOutcome::Failed(error) => send_error(call, &error),
        }
        self.perform(actions);
    }

    pub(super) fn engine_name(&self, call: &OwnerCall) -> Option<EngineName> {
        let adapter = call.adapter.as_ref()?;
        self.state().engine_names.get(adapter).cloned()
    }
}

/// Hashes what identifies a request across resends: route, adapter and body.
fn fingerprint(open: &CallOpen) -> u64 {
    let mut digest = Xxh3::new();
    for part in [open.route.as_bytes(), open.adapter.as_bytes(), &open.body] {
        digest.update(&(part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.digest()
}
