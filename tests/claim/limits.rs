//! Limits of size, time and rate, and objects that cannot be read.

use std::sync::atomic::Ordering;
use std::time::Duration;

use comfreychute::claim::{ClaimConfig, ClaimKey, ClaimOutcome};
use comfreychute::id::CallerId;
use comfreychute::{ErrorKind, RunState};

use crate::bench::Bench;
use crate::fixtures::{answer_of, attempt_of, instance_of, key_of, quick_config};

/// Guards against one write per claim, which would exceed the write rate of the object store.
#[tokio::test(start_paused = true)]
async fn claims_that_arrive_during_a_write_share_the_next_one() {
    let bench = Bench::new(quick_config());
    bench.fake.set_immediate(false);
    let tasks = (0..100_u8)
        .map(|number| {
            let store = bench.store.clone();
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
    bench.fake.set_immediate(true);

    for task in tasks {
        let outcome = task.await.expect("a claim does not panic");
        assert_eq!(outcome.ok(), Some(ClaimOutcome::Granted));
    }

    let counts = bench.store.counts();
    assert_eq!(counts.granted, 100);
    assert!(counts.writes <= 2, "{counts:?}");
}

/// Guards against overwriting claims that this version does not understand.
#[tokio::test(start_paused = true)]
async fn an_unreadable_object_refuses_and_is_left_as_it_is() {
    let bench = Bench::new(quick_config());
    bench.finish_with(1, 10).await;
    bench.finish_with(2, 10).await;
    let good = bench.fake.raw("claims/0").expect("claims were written");
    let mut newer = good.clone();
    newer[1] = 9;
    let mut extended = good.clone();
    extended.extend_from_slice(&[0x50, 1]);
    // The second record ends the object; without it the rest still decodes.
    let first_record = 4 + 2 + usize::from(good[5]);
    let cut = good[..first_record].to_vec();

    for bad in [
        newer,
        extended,
        cut,
        good[..good.len() - 1].to_vec(),
        Vec::new(),
    ] {
        bench.fake.replace("claims/0", bad.clone());
        let refusal = bench.claim(&key_of(9), 1, attempt_of(9)).await;

        let refusal = refusal.expect_err("the object is unreadable");
        assert_eq!(refusal.kind(), ErrorKind::Platform);
        assert_eq!(refusal.run_state(), RunState::NotRun);
        assert_eq!(bench.fake.raw("claims/0"), Some(bad));
    }
}

/// Guards against a second run after the platform has lost the claims.
#[tokio::test(start_paused = true)]
async fn an_object_that_vanishes_is_not_created_anew() {
    let bench = Bench::new(quick_config());
    let key = key_of(1);
    let first = bench.claim(&key, 1, attempt_of(1)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Granted));

    bench.fake.remove("claims/0");
    let refusal = bench.claim(&key, 1, attempt_of(2)).await;

    let refusal = refusal.expect_err("the claims are lost");
    assert_eq!(refusal.kind(), ErrorKind::Platform);
    assert_eq!(refusal.run_state(), RunState::NotRun);
    assert_eq!(bench.fake.raw("claims/0"), None);
}

/// Guards against objects that grow without bound, and against claims dropped too early.
#[tokio::test(start_paused = true)]
async fn claims_are_kept_for_the_retention_only() {
    let bench = Bench::new(quick_config());
    let finished = bench.finish_with(1, 10).await;
    let pending = key_of(2);
    let outcome = bench.claim(&pending, 1, attempt_of(2)).await;
    assert_eq!(outcome.ok(), Some(ClaimOutcome::Granted));

    let day_ms = 24 * 3_600_000;
    bench.wall_ms.fetch_add(day_ms - 1, Ordering::Relaxed);
    let kept_finished = bench.claim(&finished, 1, attempt_of(3)).await;
    let kept_pending = bench.claim(&pending, 1, attempt_of(4)).await;
    bench.wall_ms.fetch_add(1, Ordering::Relaxed);
    let other = bench.claim(&key_of(3), 1, attempt_of(5)).await;

    assert!(matches!(kept_finished, Ok(ClaimOutcome::Finished(_))));
    assert_eq!(kept_pending.ok(), Some(ClaimOutcome::Unknown));
    assert_eq!(other.ok(), Some(ClaimOutcome::Granted));
    assert_eq!(bench.fake.document("claims/0").len(), 1);
}

/// Guards against stored answers beyond the size that the retention was planned for.
#[tokio::test(start_paused = true)]
async fn a_large_body_is_recorded_as_finished_without_it() {
    let bench = Bench::new(quick_config());
    let small = bench.finish_with(1, 4 * 1024).await;
    let large = bench.finish_with(2, 4 * 1024 + 1).await;

    let small = bench.claim(&small, 1, attempt_of(3)).await;
    let large = bench.claim(&large, 1, attempt_of(4)).await;

    let Ok(ClaimOutcome::Finished(small)) = small else {
        panic!("expected the stored answer");
    };
    let Ok(ClaimOutcome::Finished(large)) = large else {
        panic!("expected the stored answer");
    };
    assert_eq!(small.body.map(|body| body.len()), Some(4 * 1024));
    assert_eq!((large.status, large.body), (200, None));
}

/// Guards against values beyond the platform's limit: bodies go first, then new claims are refused,
/// and the results of granted claims still find room.
#[tokio::test(start_paused = true)]
async fn a_full_object_drops_bodies_and_then_refuses() {
    let limit = 20_000;
    let bench = Bench::new(ClaimConfig {
        object_limit: limit,
        ..quick_config()
    });
    for number in 0..8 {
        bench.finish_with(number, 4 * 1024).await;
    }
    let mut granted = Vec::new();
    let refusal = loop {
        let number = 1_000 + u32::try_from(granted.len()).expect("a few hundred claims");
        let key = ClaimKey::new(&CallerId::from_name("c"), "r", &number.to_string());
        match bench.claim(&key, 1, attempt_of(number)).await {
            Ok(outcome) => {
                assert_eq!(outcome, ClaimOutcome::Granted);
                granted.push((key, attempt_of(number)));
            }
            Err(error) => break error,
        }
        let size = bench.fake.raw("claims/0").map_or(0, |value| value.len());
        assert!(size <= limit, "{size}");
    };

    for (key, attempt) in &granted {
        let mut answer = answer_of(*attempt);
        answer.content_type = "application/json; charset=utf-8; profile=orders-of-the-press".into();
        bench
            .store
            .finish(key, *attempt, answer)
            .await
            .expect("a result finds room");
        let size = bench.fake.raw("claims/0").map_or(0, |value| value.len());
        assert!(size <= limit, "{size}");
    }

    assert!(granted.len() > 50, "{}", granted.len());
    assert_eq!(refusal.kind(), ErrorKind::Overloaded);
    assert_eq!(refusal.run_state(), RunState::NotRun);
    assert!(refusal.retry_after().is_some());
}

/// Guards against an unbounded queue while the object store is slow.
#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_as_not_run() {
    let bench = Bench::new(ClaimConfig {
        queue_limit: 4,
        batch_limit: 2,
        ..quick_config()
    });
    bench.fake.set_immediate(false);
    let tasks = (0..12_u8)
        .map(|number| {
            let store = bench.store.clone();
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
    bench.fake.set_immediate(true);

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
