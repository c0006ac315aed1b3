//! Limits of size, time and rate, and objects that are unreadable or missing.

use std::sync::atomic::Ordering;
use std::time::Duration;

use comfreychute::claim::{ClaimConfig, ClaimKey, ClaimOutcome};
use comfreychute::id::CallerId;
use comfreychute::{ErrorKind, RunState};

use crate::claim_harness::ClaimHarness;
use crate::fixtures::{answer_of, attempt_of, instance_of, key_of, quick_config};

/// Guards against one write per claim, which would exceed the write rate of the object store.
#[tokio::test(start_paused = true)]
async fn claims_that_arrive_during_a_write_share_the_next_one() {
    let harness = ClaimHarness::new(quick_config());
    harness.fake.set_immediate(false);
    let tasks = (0..100_u8)
        .map(|number| {
            let store = harness.store.clone();
            tokio::spawn(async move {
                let attempt = attempt_of(u32::from(number));
                let time_left = Duration::from_secs(5);
                store
                    .claim(&key_of(number), 1, attempt, &instance_of(0), time_left)
                    .await
            })
        })
        .collect::<Vec<_>>();
    tokio::task::yield_now().await;
    harness.fake.set_immediate(true);

    for task in tasks {
        let outcome = task.await.expect("a claim does not panic");
        assert_eq!(outcome.ok(), Some(ClaimOutcome::Granted));
    }

    let counts = harness.store.counts();
    assert_eq!(counts.granted, 100);
    assert!(counts.writes <= 2, "{counts:?}");
}

/// Guards against overwriting claims that this version does not understand.
#[tokio::test(start_paused = true)]
async fn an_unreadable_object_is_refused_and_left_unchanged() {
    let harness = ClaimHarness::new(quick_config());
    harness.claim_and_finish(1, 10).await;
    harness.claim_and_finish(2, 10).await;
    let good = harness.fake.raw("claims/0").expect("claims were written");
    let mut newer = good.clone();
    newer[1] = 9;
    let mut extended = good.clone();
    extended.extend_from_slice(&[0x50, 1]);
    // The object ends with the second record; what precedes it can still be decoded.
    let first_record = 4 + 2 + usize::from(good[5]);
    let cut = good[..first_record].to_vec();

    for bad in [
        newer,
        extended,
        cut,
        good[..good.len() - 1].to_vec(),
        Vec::new(),
    ] {
        harness.fake.replace("claims/0", bad.clone());
        let refusal = harness.claim(&key_of(9), 1, attempt_of(9)).await;

        let refusal = refusal.expect_err("the object is unreadable");
        assert_eq!(refusal.kind(), ErrorKind::Platform);
        assert_eq!(refusal.run_state(), RunState::NotRun);
        assert_eq!(harness.fake.raw("claims/0"), Some(bad));
    }
}

/// Guards against a second run after the platform has lost the claims: a new object would have no
/// record of the first run.
#[tokio::test(start_paused = true)]
async fn a_missing_object_is_not_recreated() {
    let harness = ClaimHarness::new(quick_config());
    let key = key_of(1);
    let first = harness.claim(&key, 1, attempt_of(1)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Granted));

    harness.fake.remove("claims/0");
    let refusal = harness.claim(&key, 1, attempt_of(2)).await;

    let refusal = refusal.expect_err("the claims are lost");
    assert_eq!(refusal.kind(), ErrorKind::Platform);
    assert_eq!(refusal.run_state(), RunState::NotRun);
    assert_eq!(harness.fake.raw("claims/0"), None);
}

/// Guards against objects that grow without bound, and against claims dropped too early.
#[tokio::test(start_paused = true)]
async fn claims_expire_after_the_retention() {
    let harness = ClaimHarness::new(quick_config());
    let finished = harness.claim_and_finish(1, 10).await;
    let pending = key_of(2);
    let outcome = harness.claim(&pending, 1, attempt_of(2)).await;
    assert_eq!(outcome.ok(), Some(ClaimOutcome::Granted));

    let day_ms = 24 * 3_600_000;
    harness.wall_ms.fetch_add(day_ms - 1, Ordering::Relaxed);
    let kept_finished = harness.claim(&finished, 1, attempt_of(3)).await;
    let kept_pending = harness.claim(&pending, 1, attempt_of(4)).await;
    harness.wall_ms.fetch_add(1, Ordering::Relaxed);
    let other = harness.claim(&key_of(3), 1, attempt_of(5)).await;

    assert!(matches!(kept_finished, Ok(ClaimOutcome::Finished(_))));
    assert_eq!(kept_pending.ok(), Some(ClaimOutcome::Unknown));
    assert_eq!(other.ok(), Some(ClaimOutcome::Granted));
    assert_eq!(harness.fake.document("claims/0").len(), 1);
}

/// Guards against stored bodies above the size limit, which would fill the object before the
/// retention ends.
#[tokio::test(start_paused = true)]
async fn an_oversized_body_is_not_stored() {
    let harness = ClaimHarness::new(quick_config());
    let small = harness.claim_and_finish(1, 4 * 1024).await;
    let large = harness.claim_and_finish(2, 4 * 1024 + 1).await;

    let small = harness.claim(&small, 1, attempt_of(3)).await;
    let large = harness.claim(&large, 1, attempt_of(4)).await;

    let Ok(ClaimOutcome::Finished(small)) = small else {
        panic!("expected the stored answer");
    };
    let Ok(ClaimOutcome::Finished(large)) = large else {
        panic!("expected the stored answer");
    };
    assert_eq!(small.body.map(|body| body.len()), Some(4 * 1024));
    assert_eq!((large.status, large.body), (200, None));
}

/// Guards against values above the platform's size limit: bodies are dropped first, then new claims
/// are refused, and the results of granted claims still fit.
#[tokio::test(start_paused = true)]
async fn a_full_object_drops_bodies_and_then_refuses() {
    let limit = 20_000;
    let harness = ClaimHarness::new(ClaimConfig {
        object_limit: limit,
        ..quick_config()
    });
    for number in 0..8 {
        harness.claim_and_finish(number, 4 * 1024).await;
    }
    let mut granted = Vec::new();
    let refusal = loop {
        let number = 1_000 + u32::try_from(granted.len()).expect("a few hundred claims");
        let key = ClaimKey::new(&CallerId::from_name("c"), "r", &number.to_string());
        match harness.claim(&key, 1, attempt_of(number)).await {
            Ok(outcome) => {
                assert_eq!(outcome, ClaimOutcome::Granted);
                granted.push((key, attempt_of(number)));
            }
            Err(error) => break error,
        }
        let size = harness.fake.raw("claims/0").map_or(0, |value| value.len());
        assert!(size <= limit, "{size}");
    };

    for (key, attempt) in &granted {
        let mut answer = answer_of(*attempt);
        answer.content_type = "application/json; charset=utf-8; profile=orders-of-the-press".into();
        harness
            .store
            .finish(key, *attempt, answer)
            .await
            .expect("the result of a granted claim fits");
        let size = harness.fake.raw("claims/0").map_or(0, |value| value.len());
        assert!(size <= limit, "{size}");
    }

    assert!(granted.len() > 50, "{}", granted.len());
    assert_eq!(refusal.kind(), ErrorKind::Overloaded);
    assert_eq!(refusal.run_state(), RunState::NotRun);
    assert!(refusal.retry_after().is_some());
}

/// Guards against an unbounded queue while the object store does not reply.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_as_not_run() {
    let harness = ClaimHarness::new(ClaimConfig {
        queue_limit: 4,
        batch_limit: 2,
        ..quick_config()
    });
    harness.fake.set_immediate(false);
    let tasks = (0..12_u8)
        .map(|number| {
            let store = harness.store.clone();
            tokio::spawn(async move {
                let attempt = attempt_of(u32::from(number));
                let time_left = Duration::from_secs(5);
                store
                    .claim(&key_of(number), 1, attempt, &instance_of(0), time_left)
                    .await
            })
        })
        .collect::<Vec<_>>();
    tokio::task::yield_now().await;
    harness.fake.set_immediate(true);

    let mut refused = 0;
    for task in tasks {
        if let Err(error) = task.await.expect("a claim does not panic") {
            assert_eq!(error.kind(), ErrorKind::Overloaded);
            assert_eq!(error.run_state(), RunState::NotRun);
            refused += 1;
        }
    }

    assert!((6..=8).contains(&refused), "{refused}");
}
