//! The outcomes of claims in each state of an earlier claim.

use std::sync::atomic::Ordering;

use comfreychute::claim::ClaimOutcome;
use comfreychute::{ErrorKind, RunState};

use crate::claim_harness::{ClaimHarness, within};
use crate::fake_store::CallResolution;
use crate::fixtures::{answer_of, attempt_of, key_of, quick_config};

/// Guards against a wrong outcome of a resend in any state of the first claim.
#[tokio::test(start_paused = true)]
async fn a_resend_returns_the_state_of_the_first_attempt() {
    let harness = ClaimHarness::new(quick_config());
    let key = key_of(1);
    let first = harness.claim(&key, 1, attempt_of(1)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Granted));

    let while_running = harness.claim(&key, 1, attempt_of(2)).await;
    let other_body = harness.claim(&key, 2, attempt_of(3)).await;
    harness.is_live.store(false, Ordering::Relaxed);
    let after_death = harness.claim(&key, 1, attempt_of(4)).await;
    harness.is_live.store(true, Ordering::Relaxed);
    harness.wall_ms.fetch_add(5_001, Ordering::Relaxed);
    let after_deadline = harness.claim(&key, 1, attempt_of(5)).await;
    let answer = answer_of(attempt_of(1));
    let finish = harness.store.finish(&key, attempt_of(1), answer.clone());
    finish.await.expect("the store answers");
    let after_end = harness.claim(&key, 1, attempt_of(6)).await;

    assert_eq!(while_running.ok(), Some(ClaimOutcome::InProgress));
    assert_eq!(other_body.ok(), Some(ClaimOutcome::KeyReused));
    assert_eq!(after_death.ok(), Some(ClaimOutcome::Unknown));
    assert_eq!(after_deadline.ok(), Some(ClaimOutcome::Unknown));
    assert_eq!(after_end.ok(), Some(ClaimOutcome::Finished(answer)));
}

/// Guards against a key that stays blocked although its request did not run, and against a second
/// grant to the abandoned attempt.
#[tokio::test(start_paused = true)]
async fn an_abandoned_key_is_granted_to_a_new_attempt_only() {
    let harness = ClaimHarness::new(quick_config());
    let key = key_of(1);
    let first = harness.claim(&key, 1, attempt_of(1)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Granted));
    harness
        .store
        .abandon(&key, attempt_of(1))
        .await
        .expect("the store answers");

    let same = harness.claim(&key, 1, attempt_of(1)).await;
    let next = harness.claim(&key, 1, attempt_of(2)).await;
    let late = harness.store.abandon(&key, attempt_of(1)).await;
    let third = harness.claim(&key, 1, attempt_of(3)).await;

    assert_eq!(same.map_err(|error| error.kind()), Err(ErrorKind::Internal));
    assert_eq!(next.ok(), Some(ClaimOutcome::Granted));
    assert!(
        late.is_ok(),
        "a repeated abandon of an earlier attempt changes nothing"
    );
    assert_eq!(third.ok(), Some(ClaimOutcome::InProgress));
}

/// Guards against two grants for two claims that mistakenly use the same attempt id.
#[tokio::test(start_paused = true)]
async fn one_attempt_id_is_granted_once() {
    let harness = ClaimHarness::new(quick_config());
    let key = key_of(1);

    let first = harness.claim(&key, 1, attempt_of(1)).await;
    let second = harness.claim(&key, 1, attempt_of(1)).await;

    assert_eq!(first.ok(), Some(ClaimOutcome::Granted));
    assert_eq!(second.ok(), Some(ClaimOutcome::InProgress));
}

/// Guards against two grants when two claims with one attempt id share a write whose reply is lost.
#[tokio::test(start_paused = true)]
async fn one_attempt_id_is_granted_once_after_a_lost_reply() {
    let harness = ClaimHarness::new(quick_config());
    harness.fake.set_immediate(false);
    let key = key_of(1);
    let calls = async {
        tokio::join!(
            harness.claim(&key, 1, attempt_of(1)),
            harness.claim(&key, 1, attempt_of(1)),
        )
    };
    let faults = async {
        for resolution in [CallResolution::Succeed, CallResolution::LoseReply] {
            harness.resolve_next(resolution).await;
        }
        harness.fake.set_immediate(true);
    };

    let ((first, second), ()) = within(async { tokio::join!(calls, faults) }).await;

    let outcomes = [first.ok(), second.ok()];
    assert!(
        outcomes.contains(&Some(ClaimOutcome::Granted)),
        "{outcomes:?}"
    );
    assert!(
        outcomes.contains(&Some(ClaimOutcome::InProgress)),
        "{outcomes:?}"
    );
}

/// Guards against a dispatch during an outage, and against a key that stays blocked afterwards
/// because a delayed write of its claim took effect.
#[tokio::test(start_paused = true)]
async fn an_outage_refuses_as_not_run_and_leaves_the_key_free() {
    let harness = ClaimHarness::new(quick_config());
    harness.fake.set_immediate(false);
    let key = key_of(1);
    let outage = async {
        // The read succeeds and a write is sent, which takes effect only after the refusal.
        for resolution in [
            CallResolution::Succeed,
            CallResolution::Delay,
            CallResolution::Fail,
            CallResolution::Fail,
            CallResolution::Fail,
        ] {
            harness.resolve_next(resolution).await;
        }
    };

    let claim = harness.claim(&key, 1, attempt_of(1));
    let (refusal, ()) = within(async { tokio::join!(claim, outage) }).await;
    harness.fake.run_delayed(0);
    harness.fake.set_immediate(true);
    let resend = harness.claim(&key, 1, attempt_of(2)).await;

    let refusal = refusal.expect_err("the store did not answer");
    assert_eq!(refusal.kind(), ErrorKind::Platform);
    assert_eq!(refusal.run_state(), RunState::NotRun);
    assert_eq!(resend.ok(), Some(ClaimOutcome::Granted));
}
