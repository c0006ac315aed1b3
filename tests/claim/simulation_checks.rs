use comfreychute::claim::{ClaimOutcome, ClaimState};
use comfreychute::{Result, RunState};
use futures_util::FutureExt;

use crate::claim_simulation::{ClaimSimulation, GrantPhase, HeldGrant, OpenClaim};
use crate::fixtures::answer_of;

impl ClaimSimulation {
    /// Records pending claims without a holder, which would block their key although the request
    /// did not run.
    pub fn check_orphaned_claims(&mut self) {
        let document = self.store.document("claims/0");
        for (_, record) in document.records() {
            let is_held = self.grants.iter().any(|grant| {
                record.belongs_to(grant.attempt)
                    && matches!(grant.phase, GrantPhase::Held | GrantPhase::Dispatched)
            });
            if record.state() == ClaimState::Pending && !is_held {
                self.violations
                    .push(format!("claim without holder stays pending: {record:?}"));
            }
        }
    }

    pub fn collect_claims(&mut self) {
        let (ended, open) = std::mem::take(&mut self.claims)
            .into_iter()
            .partition::<Vec<_>, _>(|claim| claim.task.is_finished());
        self.claims = open;
        for mut claim in ended {
            let result = (&mut claim.task)
                .now_or_never()
                .expect("the task has ended")
                .expect("a claim does not panic");
            self.check_outcome(&claim, result);
        }
    }

    fn check_outcome(&mut self, claim: &OpenClaim, result: Result<ClaimOutcome>) {
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(error) => {
                if error.run_state() != RunState::NotRun {
                    self.violations.push(format!("claim failed with {error:?}"));
                }
                return;
            }
        };
        if let Some(answer) = &claim.recorded_answer {
            let is_reused = self.grants.iter().any(|grant| {
                grant.key == claim.key
                    && grant.body != claim.body
                    && grant.phase != GrantPhase::Abandoned
            });
            let expected = if is_reused {
                ClaimOutcome::KeyReused
            } else {
                ClaimOutcome::Finished(answer.clone())
            };
            let is_older = self.has_stale_reads
                && matches!(outcome, ClaimOutcome::InProgress | ClaimOutcome::Unknown);
            if outcome != expected && !is_older {
                self.violations.push(format!(
                    "resend after the end gave {outcome:?} instead of {expected:?}"
                ));
            }
        }
        if outcome == ClaimOutcome::Granted {
            let rival = self
                .grants
                .iter()
                .find(|grant| grant.key == claim.key && grant.phase != GrantPhase::Abandoned);
            if let Some(rival) = rival {
                self.violations.push(format!(
                    "{} and {} both hold key {}",
                    rival.attempt, claim.attempt, claim.key
                ));
            }
            self.grants.push(HeldGrant {
                key: claim.key,
                body: claim.body,
                attempt: claim.attempt,
                entry: claim.entry,
                phase: GrantPhase::Held,
            });
        }
    }

    pub fn collect_finishes(&mut self) {
        let (ended, open) = std::mem::take(&mut self.finishes)
            .into_iter()
            .partition::<Vec<_>, _>(|finish| finish.task.is_finished());
        self.finishes = open;
        for mut finish in ended {
            let result = (&mut finish.task)
                .now_or_never()
                .expect("the task has ended")
                .expect("a finish does not panic");
            let grant = self
                .grants
                .iter_mut()
                .find(|grant| grant.attempt == finish.attempt)
                .expect("only grants are finished");
            match result {
                Ok(()) => {
                    grant.phase = GrantPhase::Finished;
                    self.answers.insert(grant.key, answer_of(grant.attempt));
                }
                Err(error) if error.run_state() == RunState::Ran => {}
                Err(error) => self
                    .violations
                    .push(format!("finish failed with {error:?}")),
            }
        }
    }
}
